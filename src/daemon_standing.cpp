#define XXH_INLINE_ALL
#include "daemon_standing_p.h"

#include <xxhash.h>

#include <algorithm>

#include "daemon_clock_p.h"
#include "job_standing_p.h"
#include "log_line_p.h"
#include "row_codec_p.h"
#include "row_keys_p.h"

namespace skylarkhub {

namespace {

// Later than this after the due time, entries that do not rank first step in.
constexpr std::int64_t backup_after_ms = 5000;
constexpr duration settle_time = std::chrono::seconds(5);

std::uint64_t score(const incarnation_id& entry, const wire::standing_row& row)
{
    const std::string text = entry.str() + "/" + row.team + "/" + row.name;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

standing_runner::standing_runner(incarnation_id self, standing_edges edges)
    : self_(std::move(self)), edges_(std::move(edges))
{}

void standing_runner::refresh()
{
    if (refreshing_.exchange(true)) {
        return;
    }
    edges_.platform.scan(
        table_traffic::background, standing_prefix(), [self = shared_from_this()](const table_scan_result& result) {
            self->refreshing_.store(false);
            if (!result.complete) {
                return;
            }
            std::vector<known_row> rows;
            for (const table_row& row : result.rows) {
                const auto standing = row.value ? decode_row<wire::standing_row>(*row.value) : std::nullopt;
                if (standing) {
                    rows.push_back({*standing, row.version, false});
                }
            }
            absl::MutexLock lock(&self->mutex_);
            self->rows_ = std::move(rows);
        });
}

bool standing_runner::ranks_first(const wire::standing_row& row) const
{
    const auto live = edges_.live();
    const auto best = std::max_element(live.begin(), live.end(),
                                       [&](const auto& a, const auto& b) { return score(a, row) < score(b, row); });
    return best != live.end() && *best == self_;
}

void standing_runner::tick()
{
    const wall_time now = read_wall_clock();
    std::vector<known_row> due;
    {
        absl::MutexLock lock(&mutex_);
        for (known_row& known : rows_) {
            if (!known.busy && plan_standing(known.row, now)) {
                due.push_back(known);
            }
        }
    }
    for (const known_row& known : due) {
        const bool late = wall_ms(now) - known.row.next_due_ms > backup_after_ms;
        if (!late && !ranks_first(known.row)) {
            continue;
        }
        {
            absl::MutexLock lock(&mutex_);
            for (known_row& kept : rows_) {
                kept.busy = kept.busy || (kept.row.team == known.row.team && kept.row.name == known.row.name);
            }
        }
        look(known.row, known.version);
    }
}

void standing_runner::look(const wire::standing_row& row, row_version version)
{
    if (row.open_job.empty()) {
        run(row, version);
        return;
    }
    check_open(row, version, 0);
}

// A run that is still open holds the next one back: the same watch must not run in two places.
void standing_runner::check_open(const wire::standing_row& row, row_version version, std::size_t cell)
{
    if (cell == row.open_cells.size()) {
        run(row, version);
        return;
    }
    const cell_id id(row.open_cells[cell]);
    edges_.platform.read(table_traffic::work, inbox_key(id, operation_id(row.open_operation)),
                         [self = shared_from_this(), row, version, cell, id](const std::optional<table_row>& inbox) {
                             if (!inbox || inbox->value) {
                                 self->settle(row);
                                 return;
                             }
                             self->edges_.platform.read(
                                 table_traffic::work, job_key(id, job_id(row.open_job)),
                                 [self, row, version, cell](const std::optional<table_row>& job) {
                                     const auto found =
                                         job && job->value ? decode_row<wire::job_row>(*job->value) : std::nullopt;
                                     const bool ended = job && (!job->value || (found && found->ended_ms > 0));
                                     if (ended) {
                                         self->check_open(row, version, cell + 1);
                                     }
                                     else {
                                         self->settle(row);
                                     }
                                 });
                         });
}

void standing_runner::run(const wire::standing_row& row, row_version version)
{
    const wall_time now = read_wall_clock();
    const auto step = plan_standing(row, now);
    std::vector<field_error> errors;
    const std::uint64_t pick =
        XXH3_64bits(row.name.data(), row.name.size()) + static_cast<std::uint64_t>(row.run_count);
    std::vector<cell_part> parts;
    if (step) {
        parts = split_job(spec_of_due(row, step->due.front()), edges_.rooms(), pick, &errors);
    }
    if (!step || parts.empty()) {
        settle(row);
        return;
    }
    table_transaction transaction = run_due(row, version, *step, parts, now);
    edges_.platform.commit_settled(
        table_traffic::work, std::move(transaction), settle_time,
        [self = shared_from_this(), row, parts, missed = step->missed](const table_result& result) {
            if (result.outcome == table_outcome::applied) {
                write_log(log_level::info, "standing", "due_run",
                          {{"team", row.team}, {"name", row.name}, {"missed", std::to_string(missed)}});
                self->edges_.accepted(parts);
                self->edges_.counted(team_id(row.team), true, missed);
            }
            self->settle(row);
        });
}

void standing_runner::settle(const wire::standing_row& row)
{
    {
        absl::MutexLock lock(&mutex_);
        // Left out until the next scan has read the row anew.
        std::erase_if(rows_, [&](const known_row& k) { return k.row.team == row.team && k.row.name == row.name; });
    }
    refresh();
}

std::vector<wire::standing_row> standing_runner::rows() const
{
    absl::MutexLock lock(&mutex_);
    std::vector<wire::standing_row> out;
    out.reserve(rows_.size());
    for (const known_row& known : rows_) {
        out.push_back(known.row);
    }
    return out;
}

} // namespace skylarkhub
