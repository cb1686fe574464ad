// Times and limits of flows' cells.
#pragma once

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::flow_limits {

using namespace std::chrono_literals;

// --- leases of workers ---
// Outlasts a takeover (owner_silence_local, one read, one commit, one exchange) with one lost exchange to spare;
// everything on a worker that nobody can reach waits this long before it is started again elsewhere.
inline constexpr duration lease = 6s;
inline constexpr double clock_drift = 0.03;     // a worker's clock may be 2% slow; ours a little fast
inline constexpr duration lease_margin = 150ms; // for an exchange's own time
inline constexpr duration hold_wait = 1000ms;   // an exchange waits this long for an end; measurements are this fresh
inline constexpr duration missing_after = 2 * hold_wait; // a run that an exchange sent later does not list is gone
inline constexpr duration min_hold_interval =
    25ms; // least between two exchanges with a worker: ends close together share one
inline constexpr duration min_hold_interval_unconfirmed =
    60ms;                                       // while an end waits to become durable: answers come at once then
inline constexpr duration hold_retry = 300ms;   // after an exchange without an answer
inline constexpr duration hold_timeout = 900ms; // on top of the exchange's own wait

// --- orders ---
inline constexpr duration start_timeout = 600ms;
inline constexpr duration start_retry = 60ms;
inline constexpr duration gang_start_timeout =
    1000ms; // of a member whose start is not answered; the others give up at 3 s
// A worker may leave an order unanswered and carry it out seconds later: with stop_retry, several tries in the time
// that a cancelled task has to end.
inline constexpr duration stop_timeout = 300ms;
inline constexpr duration stop_retry = 150ms;
inline constexpr duration pace_timeout = 800ms;
inline constexpr duration start_backoff = 1s;     // of starts on a worker that refused one
inline constexpr int max_unanswered_holds = 2;    // exchanges in a row without an answer, then no starts
inline constexpr duration drain_interval = 250ms; // a worker that drains is there for two to three seconds

// --- ownership ---
inline constexpr duration tick_interval = 100ms;
inline constexpr duration renew_interval = 1s;
inline constexpr duration renew_retry = 250ms;
// An owner that cannot renew goes on this long, counted from sending its last renewal that succeeded: long enough for
// one renewal whose answer is lost. A taker waits for it, and a lease, before it believes that a worker it cannot reach
// is idle; tasks that may run there stand still that long.
inline constexpr duration ownership_lease = 3s;
// The same while the table answers nobody, and nobody can take the cell.
inline constexpr duration ownership_lease_outage = 10s;
// A peer that the table has answered later than this after the owner's last renewal shows that it is no outage. The
// interval of renewals and the age of what a peer says of itself.
inline constexpr duration outage_slack = 1500ms;
inline constexpr duration max_row_read_age = 2s;   // two looks of the first candidate
inline constexpr duration row_watch_interval = 1s; // of a live owner's row, by the first candidate: bounds its renewal
inline constexpr duration owner_silence_local = 2500ms;  // row unrenewed before an entry of the data centre takes over
inline constexpr duration owner_silence_remote = 5500ms; // before one of another does
inline constexpr duration candidate_stagger = 400ms;     // between candidates, so that one tries at a time
inline constexpr duration restarted_grace = 1s;          // an owner's next life takes its own cell first
inline constexpr duration row_read_interval = 500ms;     // of a row whose owner is silent
inline constexpr duration leaving_row_interval = 120ms;  // of a row whose owner is stopping
inline constexpr duration max_free_row_age = 200ms;      // a row that is free was read this lately before it is taken
inline constexpr duration stop_drain_timeout = 1500ms;   // for answers under way before a planned stop releases the row

// --- rows of jobs ---
inline constexpr duration commit_batch_delay = 60ms; // ends that do not complete a step wait this long for others
inline constexpr duration commit_retry = 100ms;
inline constexpr duration commit_retry_max = 800ms;
// Of the reading of all jobs: so few that they arrive over the narrow link of a small entry before they are given up.
inline constexpr int job_read_concurrency = 2;
inline constexpr int job_page_rows = 100;
inline constexpr std::size_t max_commit_rows = 24; // of one transaction
inline constexpr std::size_t max_commit_entries =
    96; // checks, writes and removals of one; the store takes 100 and 1 MB
// A job is in no more cells, so that all of them can be told of its end in one transaction, also where two cells have
// given tasks to others that the first does not know of.
inline constexpr std::size_t max_cells_per_job = 40;
inline constexpr std::size_t max_cells_notified = 90;
inline constexpr duration removal_interval = 10s; // rows of ended jobs cost nothing but at a takeover
inline constexpr duration watch_interval = 2s;    // a lost message about a new row costs this much

inline constexpr duration summary_interval = 2s; // of the log line that tells how full a cell is
// Of the lines that tell why tasks wait. Filling work waits for seconds by design: a few of it show why.
inline constexpr duration waits_log_interval = 1s;
inline constexpr duration wait_logged_after = 1s;
inline constexpr std::size_t max_waits_logged = 8;

// --- entries ---
inline constexpr duration hello_interval = 500ms;
// Between hellos that name the entries heard of: most of a hello's bytes on a large site. An entry that starts is named
// them at once, and the table has them too, so they tell news only while the table is away.
inline constexpr duration members_interval = 5s;
// Peers hear each other's news this seldom anyway.
inline constexpr duration news_cache_ttl = 250ms;
// Presses change over tens of seconds: told for somewhat more than one round of hellos, then left out for the rest.
inline constexpr duration presses_interval = 3s;
inline constexpr duration presses_report_window = 700ms;
inline constexpr duration peer_silence = 1600ms; // three hellos
inline constexpr duration peer_forgotten = 20s;  // a removed entry's address is not tried for ever
inline constexpr duration peers_learned = 700ms; // after a start, before it looks for cells to own
inline constexpr duration register_retry = 500ms;
inline constexpr duration earlier_jobs_interval = 10s; // between looks whether an earlier release's jobs are gone
inline constexpr duration entries_interval_start = 1s; // entries start within moments of each other
inline constexpr duration entries_interval = 10s;      // after that they hear of each other
inline constexpr duration list_interval_owner = 1s;    // a draining worker must get no work within 2 s
inline constexpr duration list_interval_other = 3s;
// An unusable entry is told again only after it has been away this long: one that two writers write in turns would be
// news with every reading of the list.
inline constexpr duration unusable_retention = 60s;
inline constexpr std::size_t unusable_lines_most = 20; // in the log, for one reading of the list
inline constexpr duration list_wait_timeout = 1s;      // of a new owner for the list, before it starts tasks without
inline constexpr duration operator_wait = 1s; // of one look for changes; a connection that went silent costs this
inline constexpr duration operator_retry = 200ms;
// What the table tells of the newest configuration: a look and a second for its answer, less than a change may take.
inline constexpr duration config_told_fresh = operator_wait + 1s;
inline constexpr duration unknown_queue_log_interval = 1s;
inline constexpr duration pending_log_interval = 1s;
// A change that peers tell of first: the table is a moment behind, and gives it to each entry once.
inline constexpr duration config_table_first = 600ms;
inline constexpr std::size_t config_piece_bytes = 32 << 10; // a seventh of a second over 2 Mbit/s
inline constexpr std::size_t config_readers_most = 2;       // entries that are handed pieces at a time
inline constexpr duration config_reader_kept = 1500ms;      // since its last piece: longer than one is waited for
inline constexpr duration config_ask_pause = 60ms;          // after a peer that handed out nothing
// An entry that knows for this long of a newer configuration takes no jobs by its own: half a second of the time a
// change may take is left for those under way.
inline constexpr duration config_behind_most = 1500ms;
// Of an entry that starts, for the table to tell which version is the newest.
inline constexpr duration config_start_patience = 2s;
inline constexpr duration own_news_fresh = 100ms;
inline constexpr duration untold_retry = 300ms; // rows that an owner has not taken note of

// --- cells ---
// About what the smallest entry bears besides its callers.
inline constexpr std::int64_t cell_workers_usual = 24;
// A data centre, or a cell that a rack is added to, is not split for a few workers more.
inline constexpr std::int64_t max_cell_workers = 30;
inline constexpr duration layout_list_interval = 250ms; // while a listed rack is in no cell
inline constexpr duration layout_settle = 300ms;        // a list that has not changed this long is whole
inline constexpr duration layout_settle_most = 2s;      // one that changes all the time is not waited for
inline constexpr duration layout_wait_remote = 3s;      // before an entry of another data centre lays racks
// Entries that start together learn of a new layout within moments of each other for this long: one that knew it
// seconds before the others would take cells that are not its turn.
inline constexpr duration layouts_start = 6s;
inline constexpr duration layouts_interval = 10s; // between reads of all layouts; a rack of no cell is one too
inline constexpr duration deal_interval = 1s;     // between rankings while every cell has a live owner

// --- the table through a peer ---
inline constexpr int table_failures_most = 3;           // in a row; one or two are a moment's trouble
inline constexpr duration table_probe_interval = 400ms; // of whether the table answers this entry again

// --- callers ---
inline constexpr std::int32_t tasks_per_step_most = 4096;
inline constexpr duration default_patience = 3s; // of a caller that does not say how long it waits
inline constexpr duration answer_margin = 150ms; // before the caller's time is up
inline constexpr duration accept_retry = 120ms;
inline constexpr int accept_tries = 3; // while the table refuses; a write in doubt is tried until time is up
// Lasting jobs leave to work that ends what it is seen to need of a service's processors: at the least this share,
// since brief tasks come in bursts and each needs its room on one worker, at the most the other.
inline constexpr double min_batch_reserve = 0.1;
inline constexpr double max_batch_reserve = 0.4;
// Until jobs that end were seen: lasting jobs taken on before can't be given up again, those refused can come later.
inline constexpr double default_demand_share = 0.3;
inline constexpr duration demand_window = 20s;    // longer than rates of jobs swing
inline constexpr duration full_retry = 4s;        // some lasting job ends within this on a site that is full
inline constexpr duration unavailable_retry = 1s; // what a caller is told when the table or the cells are away
// Of a count of the jobs that wait in a cell: with the time that a hello takes, less than the five seconds after which
// an accepted job is to be counted.
inline constexpr duration pending_fresh = 4s;
inline constexpr duration pending_answer_most = 1500ms; // then a caller is told to come back
inline constexpr duration pending_read_pause = 500ms;   // after a read of the rows that did not have all counts
inline constexpr duration state_fresh = 1500ms; // an owner tells each end at once; older than this, the row is read

inline constexpr duration ended_job_retention =
    120s; // an ended job is known this long; a message may be as old as a cut is long

// --- workers that crash ---
inline constexpr duration start_only_run_age = 1s; // taken of a run of which only its noted start is known
inline constexpr duration lapsed_retention = 60s;  // for a worker's next life
inline constexpr duration solo_hold_interval =
    50ms; // between exchanges in the first moments of a task alone on its worker
inline constexpr duration worker_answer_timeout = 100ms; // of a worker that is there

// --- placement ---
// A waiting task goes to another cell after this: well before a task that has its turn may be missed, and long enough
// for the ends that a full cell sees every few milliseconds to make room first.
inline constexpr duration handoff_after = 800ms;
inline constexpr std::int32_t max_move_backoff_doublings = 4; // of that wait, for filling work that has moved before
inline constexpr duration handoff_interval = 250ms;
// Tasks at a time. Each is taken off the room that its new cell has told of, so many may go at once; a bound all the
// same, since what was told may be old.
inline constexpr int max_handoffs = 40;
// A lasting task that waits this long has a worker kept free for it: brief tasks that end make room sooner otherwise.
inline constexpr duration reserve_after = 300ms;
inline constexpr duration reservation_timeout = 1s; // unless the task still waits then
inline constexpr double max_reserved_share = 0.125; // of a cell's workers; the others go on taking short work
// A gang for which its cell is too small is spread over several after this: twice handoff_after, so that a larger
// cell can have it whole first.
inline constexpr duration gang_spread_after = 1600ms;
// The same where its cell is only full: short runs that make room end within this, and a gang in one cell neither waits
// for messages between cells nor for room that is gone again.
inline constexpr duration gang_spread_after_full = 5s;
// Members that a cell has not started by then go back, and the others are stopped: a third of what those wait for them.
inline constexpr duration gang_join_timeout = 1000ms;
inline constexpr duration fill_interference_wait =
    12000ms;                                      // of a filling task for a place where what it presses on bears it
inline constexpr double fill_overcommit = 0.25;   // of a worker: filling tasks use four fifths of what they ask for
inline constexpr duration evict_cooldown = 500ms; // a run is not moved again sooner than it can have settled
inline constexpr double distrust_half_life_s = 6; // of the memory that runs failed on a worker
// fill_interference_wait for a job of which nothing runs on a site that is half free: with a move to another cell
// before, under the 3 s after which it is missed there.
inline constexpr duration fill_interference_wait_idle = 1s;
inline constexpr double idle_site_use = 0.55; // half, and what cells' news are behind

// The least wait on our clock after which `d` has certainly passed on a worker's.
inline duration certainly(duration d)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(d.count()) * (1 + clock_drift))) + lease_margin;
}

// An entry that starts anew cannot own a cell that its earlier life had taken before whoever was followed by that life
// has fallen silent: it learns of its peers and sees the row unrenewed for longer.
static_assert(peers_learned + owner_silence_local > ownership_lease);

} // namespace skylarkhub::flow_limits
