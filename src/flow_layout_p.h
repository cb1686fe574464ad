// Assigns racks to cells, and ranks entries as candidate owners of cells.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "flow_types.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// Number of workers by rack in one data centre. The empty rack id stands for workers that name no rack.
using rack_workers = std::map<rack_id, std::int32_t>;

struct assigned_rack {
    cell_id cell;
    std::int32_t workers = 0; // number of workers that the rack was assumed to have when it was assigned
};
// The assignment of the racks of one data centre. A rack never changes its cell, because a worker knows the fencing
// tokens of one cell only.
using cell_layout = std::map<rack_id, assigned_rack>;

cell_layout from_row(const wire::flow_layout_row& row);
wire::flow_layout_row to_row(const cell_layout& layout);

// Returns whether `listed` has a rack that `layout` lacks.
bool has_new_racks(const cell_layout& layout, const rack_workers& listed);
// Returns `layout` with the racks of `listed` added. A new data centre is split into cells of about
// typical_cell_workers workers each. A rack added later goes to the cell with the fewest workers, or to a new cell if
// that one would exceed max_cell_workers.
cell_layout extend_layout(const data_centre_id& data_centre, cell_layout layout, const rack_workers& listed);
// Returns the number of workers of each cell. A rack counts with its listed workers or its assumed number, whichever is
// greater.
std::map<cell_id, std::int64_t> count_workers(const cell_layout& layout, const rack_workers& listed);

// --- candidate owners ---

struct ranking_entry {
    entry_id entry;
    data_centre_id data_centre;
    double cores = 1;
    std::int64_t workers = 0; // in the cells that the entry owns
};
struct ranking_cell {
    cell_id cell;
    data_centre_id data_centre;
    std::int64_t workers = 0;
    entry_id owner; // invalid: no live owner
};

// Returns the rank of `self` as a candidate owner of each cell: the number of entries of the same kind (in the cell's
// data centre, or outside it) that precede `self`. Entries are ordered by the workers per core that they would have
// after taking the cell. Cells without an owner are processed in turn, each counted as assigned to its first candidate,
// so that entries which start together divide them. For an owned cell the rank determines which entry takes over when
// the owner fails.
std::map<cell_id, int> rank_for_ownership(const entry_id& self, std::vector<ranking_entry> entries,
                                          const std::vector<ranking_cell>& cells);

} // namespace skylarkhub
