// Which cell the workers of a rack belong to, and which entry is to own which cell.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "flow_types.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// Workers by rack, of one data centre. The empty rack stands for the workers that name none.
using rack_workers = std::map<rack_id, std::int32_t>;

struct laid_rack {
    cell_id cell;
    std::int32_t workers = 0; // that it was taken to have when it was laid
};
// Of one data centre. A rack that is in it stays in its cell: a worker knows the fencing tokens of one cell.
using cell_layout = std::map<rack_id, laid_rack>;

cell_layout from_row(const wire::flow_layout_row& row);
wire::flow_layout_row to_row(const cell_layout& layout);

// Whether `listed` has a rack that `layout` lacks.
bool has_new_racks(const cell_layout& layout, const rack_workers& listed);
// `layout` and the racks that it lacks. A data centre begins with cells of about cell_workers_usual each; a rack that
// comes later goes to the cell with the fewest workers, or to a new one if that would have over max_cell_workers.
cell_layout extend_layout(const data_centre_id& data_centre, cell_layout layout, const rack_workers& listed);
// The workers of each cell: of a rack as many as are listed, or as it was taken to have if that is more.
std::map<cell_id, std::int64_t> count_workers(const cell_layout& layout, const rack_workers& listed);

// --- which entry is to own which cell ---

struct ranking_entry {
    entry_id entry;
    data_centre_id data_centre;
    double cores = 1;
    std::int64_t workers = 0; // of the cells that it owns
};
struct ranking_cell {
    cell_id cell;
    data_centre_id data_centre;
    std::int64_t workers = 0;
    entry_id owner; // invalid: nobody, or nobody that lives
};

// For each cell, how many entries of the same kind as `self` (of the cell's data centre, or of another) come before it
// to own the cell. First comes who would have the fewest workers per core with it. Cells without an owner are dealt one
// after the other, as if each went to the entry that comes first, so that entries which all start at the same time
// share them out; of a cell that has an owner the rank tells who follows.
std::map<cell_id, int> rank_for_ownership(const entry_id& self, std::vector<ranking_entry> entries,
                                          const std::vector<ranking_cell>& cells);

} // namespace skylarkhub
