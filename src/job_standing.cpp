#include "job_standing_p.h"

#include <fmt/format.h>

#include <algorithm>

#include "row_codec_p.h"
#include "row_keys_p.h"

namespace skylarkhub {

namespace {

std::int64_t to_ms(wall_time t)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(t.time_since_epoch()).count();
}

wall_time from_ms(std::int64_t ms)
{
    return wall_time(std::chrono::milliseconds(ms));
}

} // namespace

std::optional<standing_step> plan_standing(const wire::standing_row& row, wall_time now)
{
    const std::int64_t now_ms = to_ms(now);
    if (row.stopped || row.period_ms <= 0 || row.next_due_ms > now_ms) {
        return std::nullopt;
    }
    const std::int64_t passed = (now_ms - row.next_due_ms) / row.period_ms + 1;
    const std::int64_t kept = std::clamp<std::int64_t>(row.catch_up, 1, passed);
    standing_step step;
    step.missed = passed - kept;
    for (std::int64_t i = passed - kept; i < passed; ++i) {
        step.due.push_back(from_ms(row.next_due_ms + i * row.period_ms));
    }
    step.next_due = from_ms(row.next_due_ms + passed * row.period_ms);
    return step;
}

job_spec spec_of_due(const wire::standing_row& row, wall_time due)
{
    job_spec spec = from_row(row.spec);
    spec.team = team_id(row.team);
    spec.standing = row.name;
    spec.due = due;
    return spec;
}

table_transaction run_due(const wire::standing_row& row, row_version version, const standing_step& step,
                          const std::vector<cell_part>& parts, wall_time now)
{
    const wall_time due = step.due.front();
    const job_spec spec = spec_of_due(row, due);
    const job_id job = derive_job_id(spec.team, operation_id(fmt::format("standing/{}/{}", row.name, to_ms(due))));
    table_transaction transaction = accept_job(job, spec, parts, now);

    wire::standing_row next = row;
    next.next_due_ms = step.due.size() > 1 ? to_ms(step.due[1]) : to_ms(step.next_due);
    next.run_count += 1;
    next.missed_count += step.missed;
    next.open_job = job.str();
    next.open_operation = transaction.operation.str();
    next.open_cells.clear();
    for (const cell_part& part : parts) {
        next.open_cells.push_back(part.cell.str());
    }
    next.last_run_ms = to_ms(due);
    const std::string key = standing_key(spec.team, row.name);
    transaction.checks.push_back({key, version});
    transaction.writes.push_back({key, encode_row(next)});
    return transaction;
}

} // namespace skylarkhub
