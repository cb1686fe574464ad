// What an owner shows of its cell to operators, to its peers and to the request path.
#include <fmt/format.h>

#include "cell_state_p.h"
#include "row_keys_p.h"

namespace skylarkhub {

namespace {

wire::target_wire format_target(const detail::cell_worker& worker, const detail::ledger_entry& entry,
                                const job_spec& spec)
{
    wire::target_wire target;
    // Another attempt is another process at another address, so it is another target.
    target.__set_target(fmt::format("{}@{}", format_task(entry.task), entry.attempt.value()));
    target.__set_service_name(spec.team.str() + "/" + spec.name);
    target.__set_data_centre(worker.listing.data_centre.str());
    target.__set_address(entry.address.str());
    target.__set_slots(spec.slots);
    target.__set_connections(spec.connections);
    // One that stays on a leaving worker, for want of another place, serves on.
    target.__set_leaving(entry.stage != detail::entry_stage::running);
    return target;
}

wire::resources_row format_resources(const resources& r)
{
    wire::resources_row row;
    row.__set_cpu_millis(r.cpu_millis);
    row.__set_memory_mib(r.memory_mib);
    row.__set_accelerators(r.accelerators);
    return row;
}

} // namespace

std::vector<job_view> cell::jobs() const
{
    std::vector<job_view> views;
    for (const auto& [id, job] : state_->jobs) {
        job_view view;
        view.row = job.to_row();
        view.running = job.count(detail::task_phase::bound);
        view.queued = job.count(detail::task_phase::queued);
        view.finished = job.count(detail::task_phase::finished);
        view.parked = job.count(detail::task_phase::parked);
        view.cancelled = job.count(detail::task_phase::cancelled);
        view.last_reason = job.last_reason();
        views.push_back(std::move(view));
    }
    return views;
}

std::vector<wire::target_wire> cell::targets() const
{
    std::vector<wire::target_wire> targets;
    for (const auto& [id, worker] : state_->workers) {
        for (const detail::ledger_entry& entry : worker.ledger.entries()) {
            const detail::job_record* const job = detail::find_job(*state_, entry.task.job);
            const bool serves = job != nullptr && job->spec().is_service && detail::may_run(entry);
            if (serves && entry.address.valid()) {
                targets.push_back(format_target(worker, entry, job->spec()));
            }
        }
    }
    return targets;
}

wire::cell_summary cell::summary() const
{
    resources free;
    std::int64_t queued = 0;
    std::int64_t running = 0;
    for (const auto& [id, worker] : state_->workers) {
        if (worker.fenced && worker.listed && !worker.leaving) {
            free = free + (worker.capacity - worker.ledger.committed());
        }
    }
    for (const auto& [id, job] : state_->jobs) {
        queued += job.count(detail::task_phase::queued);
        running += job.count(detail::task_phase::bound);
    }
    wire::cell_summary summary;
    summary.__set_cell(state_->id.str());
    summary.__set_owner(owner().str());
    summary.__set_epoch(epoch().value());
    summary.__set_free(format_resources(free));
    summary.__set_queued(queued);
    summary.__set_running(running);
    summary.__set_stamp(state_->now.time_since_epoch().count());
    return summary;
}

} // namespace skylarkhub
