// What one worker may be running, as its cell's owner must assume. An entry takes room from the moment its start may
// leave until the worker's accepted report, or the certain lapse of its lease, says that it runs no more.
#pragma once

#include <vector>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::detail {

// starting: ordered, not yet seen. draining: runs on under its lease until stop_at. stopping: stop is ordered.
// ended: runs no more, kept until the worker's inventory has dropped it.
enum class entry_stage : std::uint8_t { starting, running, draining, stopping, ended };

struct ledger_entry {
    task_id task;
    attempt_number attempt;
    resources committed; // what counts: never less than what its worker holds
    resources wanted;    // what it is to be, once the worker has said that it holds so
    entry_stage stage = entry_stage::starting;
    sequence_number first_sent; // of the request that first carried its start; 0 while none has
    bool persistent = false;
    bool forget = false; // ended and its outcome durable
    bool stop_sent = false;
    sequence_number seen;           // of the newest request whose answer has shown it; 0 while none has
    bool checkpoint_wanted = false; // until a request that orders one was taken in
    sequence_number checkpoint_sent;
    instant checkpoint_ordered{}; // for its turn; of a task that had none yet, when its turns began
    double checkpoint_seen = 0;   // progress of its newest durable checkpoint
    resources reported;           // what its worker holds for it, by its newest report
    std::int32_t throttle_wanted = 100;
    std::int32_t throttle_reported = 100;
    instant stop_at{}; // of a draining one
    net_address address;
};

class worker_ledger {
public:
    resources committed() const; // of every entry that may run
    ledger_entry* find(const task_id& task, attempt_number attempt);
    ledger_entry* find_task(const task_id& task); // any attempt
    ledger_entry& add(ledger_entry entry);
    void remove(const task_id& task, attempt_number attempt);

    std::vector<ledger_entry>& entries() { return entries_; }
    const std::vector<ledger_entry>& entries() const { return entries_; }
    bool empty() const { return entries_.empty(); }

private:
    std::vector<ledger_entry> entries_; // some tens at most: a search through them is short
};

inline bool may_run(const ledger_entry& entry)
{
    return entry.stage != entry_stage::ended;
}

} // namespace skylarkhub::detail
