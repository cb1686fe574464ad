#include "flow_row_p.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <array>

namespace skylarkhub {

namespace {

// Bits of flow_step_row::traits.
constexpr std::array<bool flow_step::*, 6> trait_bits{&flow_step::checkpointing, &flow_step::gang,
                                                      &flow_step::same_rack,     &flow_step::speculative,
                                                      &flow_step::lasting,       &flow_step::filling};

std::int64_t to_ms(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}
duration from_ms(std::int64_t ms)
{
    return std::chrono::milliseconds(ms);
}

} // namespace

std::string job_part(int number)
{
    return fmt::format("jobs-{}", number);
}
std::string job_part(const job_id& job)
{
    return job_part(static_cast<int>(XXH64(job.str().data(), job.str().size(), 0) % job_parts));
}
const char* name_of(flow_state state)
{
    constexpr std::array names{"queued", "running", "done", "failed", "cancelled"};
    return names.at(static_cast<std::size_t>(state));
}

const char* name_of(run_end how)
{
    constexpr std::array names{"done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names.at(static_cast<std::size_t>(how));
}

const char* name_of(order_result result)
{
    constexpr std::array names{"accepted",  "fenced",     "stale_run", "expired", "no_room",
                               "no_ticket", "other_life", "unhealthy", "invalid", "no_answer"};
    return names.at(static_cast<std::size_t>(result));
}

std::string text_of(const flow_task_id& task)
{
    return fmt::format("{}.{}.{}.{}", task.job.str(), task.occurrence, task.step, task.index);
}

store_key job_key(const job_id& job)
{
    return {jobs_table, job_part(job), job.str()};
}

namespace {

// Sorts right after the end of a job's id, so that its rows follow each other. In the names of rows that are no cell's
// the mark keeps them apart from cells.
constexpr char writer_separator = '/';
constexpr char after_separator = '/' + 1;
constexpr char no_cell_mark = '!';

} // namespace

store_key job_row_key(const job_row_name& name)
{
    const std::string& job = name.job.str();
    return {jobs_table, job_part(name.job), name.writer.empty() ? job : job + writer_separator + name.writer};
}

job_row_name job_row_of(const store_key& key)
{
    const std::size_t at = key.key.find(writer_separator);
    if (at == std::string::npos) {
        return {job_id(key.key), ""};
    }
    return {job_id(key.key.substr(0, at)), key.key.substr(at + 1)};
}

job_row_name cancel_row(const job_id& job)
{
    return {job, std::string(1, no_cell_mark) + "cancelled"};
}

job_row_name left_ends_row(const job_id& job, const incarnation_id& entry)
{
    return {job, std::string(1, no_cell_mark) + "ends-" + entry.str()};
}

store_range job_rows(const job_id& job)
{
    return {jobs_table, job_part(job), job.str(), job.str() + after_separator};
}

store_key cell_key(const cell_id& cell)
{
    return {cells_table, shared_part, cell.str()};
}
store_key entry_key(const entry_id& entry)
{
    return {entries_table, shared_part, entry.str()};
}
store_key layout_key(const data_centre_id& data_centre)
{
    return {layouts_table, shared_part, data_centre.str()};
}

store_range only_row(store_key key)
{
    std::string end = key.key + '\0';
    return {std::move(key.table), std::move(key.part), std::move(key.key), std::move(end)};
}

wire::flow_step_row to_row(const flow_step& step)
{
    wire::flow_step_row row;
    row.count = step.count;
    row.cpu_millis = step.need.cpu_millis;
    row.memory_mib = step.need.memory_mib;
    row.accelerators = step.need.accelerators;
    row.estimate_ms = to_ms(step.estimate);
    row.after = step.after;
    for (std::size_t bit = 0; bit < trait_bits.size(); ++bit) {
        row.traits |= step.*trait_bits[bit] ? 1 << bit : 0;
    }
    row.label = step.label;
    row.data_rack = step.data_rack.str();
    row.per_worker_most = step.per_worker_most;
    row.image = step.image;
    row.tail_target_ms = to_ms(step.tail_target);
    row.unavailable_most = step.unavailable_most;
    return row;
}

flow_step from_row(const wire::flow_step_row& row)
{
    flow_step step;
    step.count = row.count;
    step.need = {row.cpu_millis, row.memory_mib, row.accelerators};
    step.estimate = from_ms(row.estimate_ms);
    step.after = row.after;
    for (std::size_t bit = 0; bit < trait_bits.size(); ++bit) {
        step.*trait_bits[bit] = (row.traits & (1 << bit)) != 0;
    }
    step.label = row.label;
    step.data_rack = rack_id(row.data_rack);
    step.per_worker_most = row.per_worker_most;
    step.image = row.image;
    step.tail_target = from_ms(row.tail_target_ms);
    step.unavailable_most = row.unavailable_most;
    return step;
}

wire::flow_job_row make_job_row(const flow_spec& spec)
{
    wire::flow_job_row row;
    row.payload = spec.payload;
    row.starts_noted = true;
    for (const flow_step& step : spec.steps) {
        row.steps.push_back(to_row(step));
    }
    row.occurrences = spec.occurrences;
    row.first_due_ms = to_ms(spec.first_due.time_since_epoch());
    row.interval_ms = to_ms(spec.interval);
    return row;
}

flow_spec spec_of(const wire::flow_job_row& row)
{
    flow_spec spec;
    spec.payload = row.payload;
    for (const wire::flow_step_row& step : row.steps) {
        spec.steps.push_back(from_row(step));
    }
    spec.occurrences = row.occurrences;
    spec.first_due = wall_time(from_ms(row.first_due_ms));
    spec.interval = from_ms(row.interval_ms);
    return spec;
}

flow_state state_of(const wire::flow_job_row& row)
{
    switch (row.outcome) {
    case 1:
        return flow_state::done;
    case 2:
        return flow_state::failed;
    default:
        break;
    }
    if (row.cancelled) {
        return flow_state::cancelled;
    }
    return row.started ? flow_state::running : flow_state::queued;
}

} // namespace skylarkhub
