// Checkpoints of running batch work, in turn. A worker writes one only when it is told to, so a task that nobody asks
// for a checkpoint begins afresh when its worker dies, however far it had come.
#include "cell_state_p.h"

namespace skylarkhub::detail {

namespace {

// Between two orders of a cell. With some 700 cells this is 140 writes a second of the platform's several hundred; it
// leaves out what a task has done since its last turn, and turns come further apart the more tasks the cell runs.
constexpr duration checkpoint_turn = std::chrono::seconds(5);

bool takes_turns(const ledger_entry& entry)
{
    return entry.stage == entry_stage::running && !entry.persistent && !entry.checkpoint_wanted;
}

// The one whose last order is the oldest; one seen for the first time only begins to wait, so that short tasks cost
// nothing.
ledger_entry* find_next_turn(cell_state& s)
{
    ledger_entry* next = nullptr;
    for (auto& [id, worker] : s.workers) {
        for (ledger_entry& entry : worker.ledger.entries()) {
            if (!takes_turns(entry)) {
                continue;
            }
            if (entry.checkpoint_ordered == instant{}) {
                entry.checkpoint_ordered = s.now;
            }
            else if (next == nullptr || entry.checkpoint_ordered < next->checkpoint_ordered) {
                next = &entry;
            }
        }
    }
    return next;
}

} // namespace

// One task each turn, so that the writes to the object store depend on the number of cells, not on that of tasks. The
// order goes out with the next renewal.
void checkpoint_due(cell_state& s)
{
    if (s.role != cell_role::owning || !s.held || s.now < s.next_checkpoint_turn) {
        return;
    }
    s.next_checkpoint_turn = s.now + checkpoint_turn;
    ledger_entry* const next = find_next_turn(s);
    if (next != nullptr) {
        next->checkpoint_wanted = true;
        next->checkpoint_ordered = s.now;
    }
}

} // namespace skylarkhub::detail
