#include "flow_row_p.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>

namespace skylarkhub {

namespace {

// Bit i of flow_step_row::traits stores the i-th of these flags.
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
std::vector<wire::flow_occurrence_span> to_rows(const occurrence_set& occurrences)
{
    std::vector<wire::flow_occurrence_span> rows;
    for (const auto& [first, past_last] : occurrences.spans()) {
        wire::flow_occurrence_span& row = rows.emplace_back();
        row.first = first;
        row.past_last = past_last;
    }
    return rows;
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
    constexpr std::array names{"accepted",   "fenced",        "stale_run", "expired", "no_room",  "no_ticket",
                               "other_life", "no_connection", "unhealthy", "invalid", "no_answer"};
    return names.at(static_cast<std::size_t>(result));
}

std::string text_of(const flow_task_id& task)
{
    return fmt::format("{}.{}.{}.{}", task.job.str(), task.occurrence, task.step, task.index);
}

namespace {

constexpr char separator = '/';           // between the components of a key; cell names and job ids do not contain it
constexpr char after_separator = '/' + 1; // the next character, which ends a range of keys with a common prefix
constexpr char mark = '!';                // first character of reserved names; no cell name or job id starts with it
constexpr const char* accepted_mark = "!accepted";
constexpr const char* cancelled_mark = "!cancelled";
constexpr const char* ends_mark = "!ends-";
constexpr const char* fence_mark = "!fence"; // sorts before the keys of all jobs
constexpr const char* withdrawn_mark = "!withdrawn";

} // namespace

row_writer_kind job_row_name::writer_kind() const
{
    return is_own() ? row_writer_kind::own : is_cell(writer) ? row_writer_kind::other_cell : row_writer_kind::entry;
}

bool is_cell(const std::string& writer)
{
    return !writer.empty() && writer.front() != mark;
}

job_row_name own_row(const cell_id& cell, const job_id& job)
{
    return {cell, job, cell.str()};
}
job_row_name accepted_row(const cell_id& cell, const job_id& job)
{
    return {cell, job, accepted_mark};
}
job_row_name cancel_row(const cell_id& cell, const job_id& job)
{
    return {cell, job, cancelled_mark};
}
job_row_name late_ends_row(const cell_id& cell, const job_id& job, const incarnation_id& entry)
{
    return {cell, job, ends_mark + entry.str()};
}

store_key job_row_key(const job_row_name& name)
{
    const std::string key = name.cell.str() + separator + name.job.str();
    return name.is_own() ? store_key{jobs_table, job_part(name.job), key}
                         : store_key{news_table, job_part(name.job), key + separator + name.writer};
}

job_row_name parse_job_row_key(const store_key& key)
{
    const std::size_t cell_end = key.key.find(separator);
    if (cell_end == std::string::npos) {
        return {};
    }
    const cell_id cell(key.key.substr(0, cell_end));
    const std::size_t job_end = key.key.find(separator, cell_end + 1);
    if (job_end == std::string::npos) {
        return own_row(cell, job_id(key.key.substr(cell_end + 1)));
    }
    return {cell, job_id(key.key.substr(cell_end + 1, job_end - cell_end - 1)), key.key.substr(job_end + 1)};
}

store_range cell_rows(const char* table, const cell_id& cell, const std::string& part)
{
    return {table, part, cell.str() + separator, cell.str() + after_separator};
}

store_range news_rows(const cell_id& cell, const job_id& job)
{
    const std::string key = cell.str() + separator + job.str();
    return {news_table, job_part(job), key + separator, key + after_separator};
}

store_key fence_key(const cell_id& cell, const std::string& part)
{
    return {jobs_table, part, cell.str() + separator + fence_mark};
}

bool is_fence(const store_key& key)
{
    return key.table == jobs_table && key.key.ends_with(std::string(1, separator) + fence_mark);
}

store_key index_key(const job_id& job)
{
    return {index_table, job_part(job), job.str()};
}
store_key index_cancel_key(const job_id& job)
{
    return {index_table, job_part(job), job.str() + separator + cancelled_mark};
}
store_key withdrawn_key(const job_id& job)
{
    return {index_table, job_part(job), withdrawn_mark + (separator + job.str())};
}
store_range index_rows(const job_id& job)
{
    return {index_table, job_part(job), job.str(), job.str() + after_separator};
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

std::vector<store_key> keys_of(const std::vector<store_row>& rows)
{
    std::vector<store_key> keys;
    keys.reserve(rows.size());
    std::transform(rows.begin(), rows.end(), std::back_inserter(keys), [](const store_row& row) { return row.key; });
    return keys;
}

store_range single_row_range(store_key key)
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

wire::flow_job_row without_spec(wire::flow_job_row row)
{
    row.payload.clear();
    row.steps.clear();
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
