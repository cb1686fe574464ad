// One cell: a rack's workers, the jobs bound to them, and who owns both. The same machine runs in the owner, in its
// deputies and in every other entry of the data centre; only events and time move it.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "config.h"
#include "peer_types.h"
#include "place_p.h"
#include "skylarkhub/skylarkhub.h"
#include "start_permission_p.h"

namespace skylarkhub {

struct cell_settings {
    duration lease_length = config::lease_length;
    duration lease_renew_interval = config::lease_renew_interval;
    duration renew_interval = config::cell_renew_interval;
    duration hold = config::cell_hold;
    duration orphan = config::cell_orphan;
    duration promise = config::hold_promise;
    duration drift_margin = config::drift_margin;
    int deputies = 2;
    duration job_kept = config::job_kept;                       // an ended job's row, for operators
    double writes_per_second = config::table_writes_per_second; // this cell's share of the table's budget
    std::vector<work_kind> kinds;
    std::vector<place_settings::team_share> teams;
    start_permission starts = start_permission::allowed; // in the cell's data centre
};

enum class cell_role : std::uint8_t { watching, taking, fencing, owning, handing_over };

// What the cell knows of one of its jobs, for operators.
struct job_view {
    wire::job_row row;
    std::int32_t running = 0;
    std::int32_t queued = 0;
    std::int32_t finished = 0;
    std::int32_t parked = 0;
    std::int32_t cancelled = 0;
    std::string last_reason;
};

struct cell_stats {
    std::int64_t starts = 0;
    std::int64_t finishes = 0;
    std::int64_t evictions = 0;
    std::int64_t resumes = 0;
    std::int64_t lapses = 0;
    std::int64_t commits = 0;
    std::int64_t takeovers = 0;
    std::int64_t adopted = 0;     // running tasks taken over from an earlier owner
    double work_lost_seconds = 0; // progress redone after evictions, lapses and failures
};

class cell {
public:
    cell(cell_id id, incarnation_id self, cell_settings settings);
    ~cell();
    cell(cell&&) noexcept;
    cell& operator=(cell&&) noexcept;

    // The only way in: takes one event at `now` and appends what is to be done, in order.
    void decide(instant now, const cell_event& event, std::vector<cell_action>& actions);

    void change_settings(cell_settings settings);

    cell_role role() const;
    skylarkhub::epoch epoch() const;
    incarnation_id owner() const; // as last seen in the row
    const cell_stats& stats() const;

    // Of an owner; empty elsewhere.
    std::vector<job_view> jobs() const;
    std::vector<wire::target_wire> targets() const;
    wire::cell_summary summary() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace skylarkhub
