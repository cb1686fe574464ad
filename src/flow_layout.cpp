#include "flow_layout_p.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

#include "flow_limits_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

// Names the first cell of a data centre after it, and the others with a number added.
cell_id name_cell(const data_centre_id& data_centre, std::size_t number)
{
    return cell_id(number == 0 ? data_centre.str() : data_centre.str() + '.' + std::to_string(number));
}

// Returns the number of cells to start with: the existing ones, or as many as the workers of a new layout need.
std::size_t count_cells(const std::map<cell_id, std::int64_t>& cells, std::int64_t workers)
{
    if (!cells.empty()) {
        return cells.size();
    }
    return workers <= max_cell_workers ? 1 : static_cast<std::size_t>((workers - 1) / typical_cell_workers) + 1;
}

// Returns a pseudo-random order of entries for a cell, the same at every entry.
std::uint64_t ownership_tie_break(const cell_id& cell, const entry_id& entry)
{
    const std::string text = cell.str() + '/' + entry.str();
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

cell_layout from_row(const wire::flow_layout_row& row)
{
    cell_layout layout;
    for (const auto& [rack, assigned] : row.racks) {
        layout[rack_id(rack)] = {cell_id(assigned.cell), assigned.workers};
    }
    return layout;
}

wire::flow_layout_row to_row(const cell_layout& layout)
{
    wire::flow_layout_row row;
    for (const auto& [rack, assigned] : layout) {
        wire::flow_laid_rack to;
        to.cell = assigned.cell.str();
        to.workers = assigned.workers;
        row.racks[rack.str()] = to;
    }
    return row;
}

bool has_new_racks(const cell_layout& layout, const rack_workers& listed)
{
    return std::any_of(listed.begin(), listed.end(), [&](const auto& rack) { return layout.count(rack.first) == 0; });
}

cell_layout extend_layout(const data_centre_id& data_centre, cell_layout layout, const rack_workers& listed)
{
    // While a site starts, the list contains only some of each rack's workers. With these numbers all racks would be
    // assigned to one cell permanently. The racks of a data centre are alike, so each counts with the size of the
    // largest.
    std::int32_t largest = 0;
    for (const auto& [rack, workers] : listed) {
        largest = std::max(largest, workers);
    }
    std::int64_t new_workers = 0;
    std::map<cell_id, std::int64_t> cells = count_workers(layout, listed);
    std::vector<rack_id> racks;
    for (const auto& [rack, workers] : listed) {
        if (layout.count(rack) == 0) {
            racks.push_back(rack);
            new_workers += largest;
        }
    }
    for (std::size_t n = cells.size(), most = count_cells(cells, new_workers); n < most; ++n) {
        cells[name_cell(data_centre, n)] = 0;
    }
    for (const rack_id& rack : racks) {
        auto to = std::min_element(cells.begin(), cells.end(),
                                   [](const auto& a, const auto& b) { return a.second < b.second; });
        if (to->second > 0 && to->second + largest > max_cell_workers) {
            std::size_t number = cells.size();
            while (cells.count(name_cell(data_centre, number)) != 0) {
                ++number;
            }
            to = cells.emplace(name_cell(data_centre, number), 0).first;
        }
        to->second += largest;
        layout[rack] = {to->first, largest};
    }
    return layout;
}

std::map<cell_id, std::int64_t> count_workers(const cell_layout& layout, const rack_workers& listed)
{
    std::map<cell_id, std::int64_t> cells;
    for (const auto& [rack, assigned] : layout) {
        const auto now = listed.find(rack);
        cells[assigned.cell] += std::max(assigned.workers, now == listed.end() ? 0 : now->second);
    }
    return cells;
}

std::map<cell_id, int> rank_for_ownership(const entry_id& self, std::vector<ranking_entry> entries,
                                          const std::vector<ranking_cell>& cells)
{
    std::map<cell_id, int> ranks;
    for (const ranking_cell& cell : cells) {
        const auto key = [&](const ranking_entry& e) {
            return std::make_tuple(e.data_centre != cell.data_centre,
                                   static_cast<double>(e.workers + cell.workers) / e.cores,
                                   ownership_tie_break(cell.cell, e.entry));
        };
        const auto own =
            std::find_if(entries.begin(), entries.end(), [&](const ranking_entry& e) { return e.entry == self; });
        ranking_entry* first = nullptr;
        int preceding = 0;
        for (ranking_entry& e : entries) {
            if (e.entry == cell.owner) {
                continue;
            }
            if (first == nullptr || key(e) < key(*first)) {
                first = &e;
            }
            const bool same_kind =
                own != entries.end() && (e.data_centre == cell.data_centre) == (own->data_centre == cell.data_centre);
            preceding += same_kind && key(e) < key(*own) ? 1 : 0;
        }
        ranks[cell.cell] = preceding;
        if (!cell.owner.valid() && first != nullptr) {
            first->workers += cell.workers;
        }
    }
    return ranks;
}

} // namespace skylarkhub
