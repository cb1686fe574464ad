#include "cell_ledger_p.h"

#include <algorithm>
#include <utility>

namespace skylarkhub::detail {

namespace {

// The index first: it differs far more often than the job, and costs no comparison of text.
bool same(const ledger_entry& entry, const task_id& task)
{
    return entry.task.index == task.index && entry.task.job == task.job;
}

} // namespace

resources worker_ledger::committed() const
{
    resources sum;
    for (const ledger_entry& entry : entries_) {
        if (may_run(entry)) {
            sum = sum + entry.committed;
        }
    }
    return sum;
}

ledger_entry* worker_ledger::find(const task_id& task, attempt_number attempt)
{
    const auto found = std::find_if(entries_.begin(), entries_.end(), [&](const ledger_entry& entry) {
        return same(entry, task) && entry.attempt == attempt;
    });
    return found == entries_.end() ? nullptr : &*found;
}

ledger_entry* worker_ledger::find_task(const task_id& task)
{
    const auto found =
        std::find_if(entries_.begin(), entries_.end(), [&](const ledger_entry& entry) { return same(entry, task); });
    return found == entries_.end() ? nullptr : &*found;
}

ledger_entry& worker_ledger::add(ledger_entry entry)
{
    entries_.push_back(std::move(entry));
    return entries_.back();
}

void worker_ledger::remove(const task_id& task, attempt_number attempt)
{
    std::erase_if(entries_, [&](const ledger_entry& entry) { return entry.attempt == attempt && entry.task == task; });
}

} // namespace skylarkhub::detail
