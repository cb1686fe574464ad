#include "job_record_p.h"

#include <algorithm>
#include <utility>

namespace skylarkhub {

wire::job_spec_row format_job_spec(const job_spec& spec)
{
    wire::resources_row declared;
    declared.__set_cpu_millis(spec.declared.cpu_millis);
    declared.__set_memory_mib(spec.declared.memory_mib);
    declared.__set_accelerators(spec.declared.accelerators);
    wire::job_spec_row row;
    row.__set_team(spec.team.str());
    row.__set_name(spec.name);
    row.__set_kind(spec.kind.str());
    row.__set_declared(declared);
    row.__set_task_count(spec.task_count);
    row.__set_urgency(static_cast<std::int32_t>(spec.urgency));
    row.__set_run_time_ms(std::chrono::duration_cast<std::chrono::milliseconds>(spec.run_time).count());
    row.__set_attempt_limit(spec.attempt_limit);
    row.__set_is_service(spec.is_service);
    row.__set_slots(spec.slots);
    row.__set_connections(spec.connections);
    row.__set_payload(spec.payload);
    row.__set_standing(spec.standing);
    row.__set_due_ms(std::chrono::duration_cast<std::chrono::milliseconds>(spec.due.time_since_epoch()).count());
    return row;
}

job_spec parse_job_spec(const wire::job_spec_row& row)
{
    job_spec spec;
    spec.team = team_id(row.team);
    spec.name = row.name;
    spec.kind = kind_id(row.kind);
    spec.declared = {row.declared.cpu_millis, row.declared.memory_mib, row.declared.accelerators};
    spec.task_count = row.task_count;
    const bool known_urgency = row.urgency >= 0 && row.urgency <= static_cast<std::int32_t>(urgency::urgent);
    spec.urgency = known_urgency ? static_cast<urgency>(row.urgency) : urgency::normal;
    spec.run_time = std::chrono::milliseconds(row.run_time_ms);
    spec.attempt_limit = row.attempt_limit;
    spec.is_service = row.is_service;
    spec.slots = row.slots;
    spec.connections = row.connections;
    spec.payload = row.payload;
    spec.standing = row.standing;
    spec.due = wall_time(std::chrono::milliseconds(row.due_ms));
    return spec;
}

std::vector<wire::task_row> expand_tasks(const wire::job_row& row)
{
    std::vector<wire::task_row> tasks = row.tasks;
    for (const wire::task_span_row& span : row.spans) {
        for (std::int32_t i = 0; i < span.count && i < row.task_total; ++i) {
            wire::task_row task;
            task.__set_index(span.first + i);
            task.__set_phase(span.phase);
            tasks.push_back(std::move(task));
        }
    }
    std::sort(tasks.begin(), tasks.end(), [](const auto& a, const auto& b) { return a.index < b.index; });
    return tasks;
}

} // namespace skylarkhub
