// Time-outs, intervals and limits of flows. A hold is the exchange with a worker that renews its leases and returns
// what it runs. An order is a command to a worker. A hello is the periodic message between entries; news is the state
// that it reports. A gang is a step whose tasks must run together. Filling work uses processor time that other tasks
// leave unused; lasting work runs until it is cancelled.
#pragma once

#include <algorithm>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::flow_limits {

using namespace std::chrono_literals;

// --- leases of workers ---
// Longer than a takeover (owner_silence_local, one read, one commit, one exchange) plus one lost exchange. Work on an
// unreachable worker is restarted elsewhere only after this time.
inline constexpr duration lease = 6s;
inline constexpr duration max_worker_lease = 10s; // workers shorten longer leases
// Relative; a worker's clock may be 2% slow and the entry's clock slightly fast.
inline constexpr double clock_drift = 0.03;
inline constexpr duration lease_margin = 150ms; // for the duration of an exchange
// A worker delays its answer at most this long for a run to end; bounds the age of measurements.
inline constexpr duration hold_wait = 1000ms;
inline constexpr duration missing_after = 2 * hold_wait; // a run that a hold sent this much later does not list is gone
inline constexpr duration min_hold_interval =
    25ms; // least time between two holds of a worker, so that ends close together share one
inline constexpr duration min_hold_interval_unconfirmed =
    60ms; // while an end is not yet durable, since the worker then answers holds at once
inline constexpr duration hold_retry = 300ms;   // after a hold without an answer
inline constexpr duration hold_timeout = 900ms; // in addition to hold_wait
// Holds without a lease, each sent because the last one had left no connection that is kept; then a worker counts as
// one that keeps none.
inline constexpr int max_looks_in_a_row = 5;

// --- orders ---
inline constexpr duration start_timeout = 600ms;
inline constexpr duration start_retry = 60ms;
inline constexpr duration gang_start_timeout =
    1000ms; // for a gang member's unanswered start; the other members give up at 3 s
// A worker may leave an order unanswered and execute it seconds later, at most this long after it was sent.
inline constexpr duration late_order_most = 12s;
// Together with stop_retry this allows several attempts within the time in which a cancelled task must end.
inline constexpr duration stop_timeout = 300ms;
inline constexpr duration stop_retry = 150ms;
inline constexpr duration pace_timeout = 800ms;
inline constexpr duration start_backoff = 1s;     // before the next start on a worker that refused one
inline constexpr int max_unanswered_holds = 2;    // consecutive; no starts are sent to the worker after that
inline constexpr duration drain_interval = 250ms; // a draining worker remains for two to three seconds only

// --- ownership ---
inline constexpr duration tick_interval = 100ms;
inline constexpr duration renew_interval = 1s;
inline constexpr duration renew_retry = 250ms;
// How long an owner that cannot renew continues, counted from sending its last successful renewal. Allows one renewal
// with a lost answer. A new owner waits for this time plus a lease before it treats an unreachable worker as idle;
// tasks that may run there do not progress meanwhile.
inline constexpr duration ownership_lease = 3s;
// The same while no entry reaches the table, when no other entry can take the cell over.
inline constexpr duration ownership_lease_outage = 10s;
// If the table answered a peer later than this after the owner's last renewal, there is no general outage. Covers the
// renewal interval and the age of what peers report.
inline constexpr duration outage_slack = 1500ms;
inline constexpr duration max_row_read_age = 2s; // two reads by the first candidate
// Of a live owner's row, by the first candidate; also bounds the owner's renewal.
inline constexpr duration row_watch_interval = 1s;
// Without a renewal, before an entry of the same data centre takes over.
inline constexpr duration owner_silence_local = 2500ms;
inline constexpr duration owner_silence_remote = 5500ms; // before an entry of another data centre takes over
inline constexpr duration candidate_stagger = 400ms; // between candidates, so that one attempts the takeover at a time
inline constexpr duration restarted_grace = 1s;      // in which a restarted owner may take its own cell before others
inline constexpr duration row_read_interval = 500ms; // for a row whose owner does not renew it
inline constexpr duration leaving_row_interval = 120ms; // for a row whose owner is stopping
inline constexpr duration max_free_row_age = 200ms;     // maximum age of the read before a free row is taken
inline constexpr duration stop_drain_timeout = 1500ms;  // for pending answers, before a planned stop releases the row

// --- rows of jobs ---
inline constexpr duration commit_batch_delay = 60ms; // how long ends that do not complete a step wait to share a commit
inline constexpr duration commit_retry = 100ms;
inline constexpr duration commit_retry_max = 800ms;
// For reading all jobs of a cell. Kept small so that pages arrive over the narrow link of a small entry before the read
// times out.
inline constexpr int job_read_concurrency = 2;
inline constexpr int job_page_rows = 100;
inline constexpr std::size_t max_commit_rows = 24; // rows per transaction
inline constexpr std::size_t max_commit_entries =
    96; // checks, writes and removals per transaction; the store accepts 100 and 1 MB
// Of a transaction as JSON, with its values in base64; the store accepts 1 MB.
inline constexpr std::size_t max_commit_bytes = 900'000;
inline constexpr std::size_t entry_names_bytes = 96; // of the names of the fields of one entry
inline constexpr std::size_t start_record_bytes = 4; // that the record of one start adds to a packed row at most
inline constexpr duration unwritable_retry = 10s;    // of a row that the store does not take
// Bounds the cells of one job so that one transaction can notify all of them of its end, even if two cells have handed
// tasks to cells that the first one does not know of.
inline constexpr std::size_t max_cells_per_job = 40;
inline constexpr std::size_t max_cells_notified = 90;
inline constexpr duration removal_interval = 10s; // rows of ended jobs cost time only at a takeover
inline constexpr duration watch_interval = 2s;    // bounds the delay that a lost message about a new row causes
// Age of an owner's knowledge of the news. A round of watching takes well below a second where the owner keeps up.
inline constexpr duration news_behind_logged_after = watch_interval + 1s;
// An answer to a watch with this many rows was probably cut. After fewer, the next call probably shows none and ends
// the round, so that the round does not need to ask for the table's version.
inline constexpr std::size_t many_changes = 200;

inline constexpr duration summary_interval = 2s; // of the log line that reports the use of a cell
// For the log lines that report why tasks wait. Filling work regularly waits for seconds, so only some tasks are
// logged.
inline constexpr duration waits_log_interval = 1s;
inline constexpr duration wait_logged_after = 1s;
inline constexpr std::size_t max_waits_logged = 8;

// --- entries ---
inline constexpr duration hello_interval = 500ms;
// On a larger site each pair of entries exchanges hellos less often, so that an entry's hellos a second do not grow
// with the site.
inline constexpr std::size_t max_frequent_hello_entries = 64;
// An entry that starts and has had no answer of the table for this long learns of the others from the peers that greet
// it.
inline constexpr duration members_wanted_after = 2s;
// Peers exchange news less often than this.
inline constexpr duration news_cache_ttl = 250ms;
// A press (measured interference between tasks) changes over tens of seconds. Presses are sent for slightly more than
// one round of hellos, then omitted for the rest of the interval.
inline constexpr duration presses_interval = 3s;
inline constexpr duration presses_report_window = 700ms;
inline constexpr duration peer_timeout_margin = 100ms; // in addition to three hello intervals
// After that a silent peer is removed, so that its address is not tried for ever.
inline constexpr duration peer_retention = 20s;
inline constexpr duration peer_discovery_time = 700ms; // after a start, before the entry takes over cells
inline constexpr duration register_retry = 500ms;
inline constexpr duration legacy_jobs_check_interval = 10s; // between checks for jobs of an earlier release
inline constexpr duration entries_interval_start = 1s;      // just after a start, since entries often start together
inline constexpr duration entries_interval = 10s;           // later, when hellos report new entries
inline constexpr duration list_interval_owner = 1s;         // a draining worker must receive no work after 2 s
inline constexpr duration list_interval_other = 3s;
inline constexpr duration list_retry = 500ms; // after a read of the list without an answer; between requests to peers
// An owner whose list is older asks its peers for a newer one.
inline constexpr duration list_patience = 2s;
// No task is started by an older list while the table answers any entry. Allows two requests without an answer.
inline constexpr duration worker_list_validity = 4s;
// Between two lists told to peers, for each worker of the list: told lists take an eighth of a link of 10 Mbit/s.
inline constexpr duration told_worker_time = 600us;
// An unusable entry of the worker list is reported again only after being absent this long. Otherwise two writers that
// alternately write an entry would cause a report at every read of the list.
inline constexpr duration unusable_retention = 60s;
inline constexpr std::size_t max_unusable_lines = 20; // log lines per read of the worker list
// How long a new owner waits for the worker list before it starts tasks without it.
inline constexpr duration list_wait_timeout = 1s;
// Of one watch call; also the delay caused by a connection that fails silently.
inline constexpr duration operator_wait = 1s;
inline constexpr duration operator_retry = 200ms;
// For requests that the configuration in force does not allow, which wait until the table confirms that it is the
// newest.
inline constexpr duration config_check_timeout = 1500ms; // after that the caller is told to retry
inline constexpr duration config_check_pause = 100ms;    // between two calls
inline constexpr duration config_check_retry = 500ms;    // after a call that confirmed nothing
inline constexpr std::size_t max_config_check_requests = 256;
// How long an entry's knowledge of evacuations is valid. An evacuation has to be obeyed everywhere five seconds after
// the operator wrote it; a watch call renews the knowledge about every second.
inline constexpr duration evacuations_validity = 4s;
inline constexpr duration unknown_queue_log_interval = 1s;
inline constexpr duration pending_log_interval = 1s;
// How long the table is preferred after a peer reported a newer version: the table is slightly later than peers, and
// sends each entry the text only once.
inline constexpr duration config_table_preference = 600ms;
inline constexpr std::size_t config_piece_bytes = 32 << 10; // takes a seventh of a second over 2 Mbit/s
inline constexpr std::size_t max_config_readers = 2;        // entries that receive pieces at the same time
inline constexpr duration config_reader_retention =
    1500ms;                                        // after the last piece; longer than the time-out of one piece
inline constexpr duration config_ask_pause = 60ms; // after a peer sent no piece
// After knowing of a newer configuration for this long, an entry accepts no jobs by its own. Leaves half a second of
// the time that a change may take to jobs being accepted.
inline constexpr duration max_config_behind = 1500ms;
// How long a starting entry waits for the table to report which version is the newest.
inline constexpr duration config_start_timeout = 2s;
inline constexpr duration max_own_news_age = 100ms;
inline constexpr duration row_resend_interval = 300ms; // for rows that a cell's owner has not acknowledged
// Between messages about such cancels to the owners of all other cells; a cancelled task has to end within four
// seconds.
inline constexpr duration cancel_spread_interval = 1s;

// --- cells ---
// About the number of workers that the smallest entry can manage besides serving callers.
inline constexpr std::int64_t typical_cell_workers = 24;
// A data centre, or a cell that a rack is added to, is split only above this, not for a few workers more.
inline constexpr std::int64_t max_cell_workers = 30;
inline constexpr duration layout_list_interval = 250ms; // while a listed rack has no cell
inline constexpr duration layout_settle = 300ms;   // an unchanged worker list is considered complete after this time
inline constexpr duration max_layout_settle = 2s;  // upper limit of that wait, for a list that keeps changing
inline constexpr duration layout_wait_remote = 3s; // before an entry of another data centre assigns the racks
// For this long after its start an entry reads the layouts every layout_list_interval. Entries that start together then
// learn of a new layout at about the same time; one that knew it seconds earlier would take over more cells than its
// share.
inline constexpr duration layouts_start = 6s;
// Between reads of all layouts; a listed rack without a cell also causes a read.
inline constexpr duration layouts_interval = 10s;
// Between rankings of the candidate owners while every cell has a live owner.
inline constexpr duration ranking_interval = 1s;

// --- the table through a peer ---
inline constexpr int max_table_failures = 3;            // consecutive; one or two may be a short disturbance
inline constexpr duration table_probe_interval = 400ms; // between checks whether an unreachable table answers again

// --- callers ---
inline constexpr std::int32_t max_tasks_per_step = 4096;
inline constexpr duration default_request_timeout = 3s; // for a caller that states no time-out
inline constexpr duration max_request_timeout = 60s;    // a longer one that a caller states counts as this
inline constexpr duration answer_margin = 150ms;        // the answer is sent this long before the caller's time-out
inline constexpr duration accept_retry = 120ms;
// Of a waiting request whatever it asks: the call to the table, the answer, what its path and fields take.
inline constexpr std::int64_t waiting_request_bytes = 32 << 10;
// While the table refuses the write; a write with an unknown outcome is retried until the caller's time-out.
inline constexpr int max_accept_attempts = 3;
// Lasting jobs leave a share of a service's processors to jobs that end by themselves, as much as the observed demand
// of those jobs. The minimum is needed because short tasks come in bursts and each needs room on one worker.
inline constexpr double min_batch_reserve = 0.1;
inline constexpr double max_batch_reserve = 0.4;
// The assumed demand share until jobs that end were observed. Accepted lasting jobs can't be withdrawn, while refused
// ones can be submitted again.
inline constexpr double default_demand_share = 0.3;
inline constexpr duration demand_window = 20s; // longer than the fluctuations of the job rate
inline constexpr duration full_retry = 4s;     // on a full site some lasting job ends within this time
// Retry delay for callers while the table or the cells are unavailable.
inline constexpr duration unavailable_retry = 1s;
// Maximum age of a count of the jobs that wait in a cell. Together with the time that a hello takes it is below the
// five seconds after which an accepted job must be counted.
inline constexpr duration max_pending_count_age = 4s;
inline constexpr duration pending_answer_timeout = 1500ms; // after that the caller is told to retry
inline constexpr duration pending_read_pause = 500ms; // after a read of the cells' rows that did not yield all counts
// Maximum age of a known job state before its row is read; owners report each end at once.
inline constexpr duration max_job_state_age = 1500ms;

// An ended job's record is retained this long, since a message may be delayed as long as a network partition lasts.
inline constexpr duration ended_job_retention = 120s;

// --- workers that crash ---
// What the cell's row tells of workers that stopped answering, and of runs there.
inline constexpr std::size_t told_silences_most = 64;
inline constexpr std::size_t told_lost_runs_most = 128;
inline constexpr duration start_only_run_age = 1s; // the assumed age of a run of which only the recorded start is known
inline constexpr duration lapsed_retention = 60s;  // how long lapsed runs are remembered in case their worker restarts
inline constexpr duration solo_hold_interval =
    50ms; // between holds during the first moments of a task that is alone on its worker
inline constexpr duration worker_answer_timeout = 100ms; // time in which a worker that is alive answers

// --- placement ---
// A waiting task is handed to another cell after this. It is well before a task that is next in line may be reported as
// missed, and long enough for runs ending in a full cell, every few milliseconds, to make room first.
inline constexpr duration handoff_after = 800ms;
// Doublings of handoff_after for filling work that has moved before.
inline constexpr std::int32_t max_move_backoff_doublings = 4;
inline constexpr duration handoff_interval = 250ms;
// Tasks handed off at a time. Each is subtracted from the room that the receiving cell reported, so many may be handed
// off at once; the number is bounded because that report may be old.
inline constexpr int max_handoffs = 40;
// The same in an evacuated data centre, where nothing that waits can start.
inline constexpr int max_handoffs_evacuated = 400;
// A lasting task that waits this long has a worker reserved for it. Before that, ending short tasks usually make room
// sooner.
inline constexpr duration reserve_after = 300ms;
inline constexpr duration reservation_timeout = 1s; // a reservation ends after this time, unless the task still waits
inline constexpr double max_reserved_share = 0.125; // of a cell's workers; the others continue to take short work
// How long a place that is promised to a task of another cell is held for it: its run there is stopped meanwhile, and a
// row is written.
inline constexpr duration place_promise_timeout = 3s;
// A task asks another cell for a place after this, since a draining worker remains for two to three seconds only.
inline constexpr duration place_answer_timeout = 300ms;
// Before a cell that refused a place to a task of a step is asked again for that step; its next report may say more.
inline constexpr duration place_refusal_retention = 1s;
inline constexpr duration place_search_retention = 2s; // of what is known for a task that no longer wants a place
inline constexpr int max_places_asked =
    16; // requests of one owner in a pass over waiting tasks, or over draining workers
// A task leaves a worker that has drained for this long for a place that is only reserved, since it would otherwise be
// down for a lease after the worker's exit.
inline constexpr duration drain_patience = 1s;
// Before the lease of a silent worker ends, places are sought for its lasting tasks for this long: most short work ends
// within it.
inline constexpr duration lapse_preparation = 2s;
// A gang that its cell is too small for is spread over several cells after this: twice handoff_after, so that a larger
// cell can take it whole first.
inline constexpr duration gang_spread_after = 1600ms;
// The same if the cell is large enough but full. Short runs that make room end within this time, and a gang in one cell
// depends neither on messages between cells nor on room that may be taken meanwhile.
inline constexpr duration gang_spread_after_full = 5s;
// Gang members that a cell has not started within this time are handed back, and the other members are stopped. A third
// of the time that the other members wait for them.
inline constexpr duration gang_join_timeout = 1000ms;
inline constexpr duration fill_interference_wait =
    12000ms; // how long a filling task waits for a worker where it does not disturb the other tasks
inline constexpr double fill_overcommit = 0.25; // share of a worker; filling tasks use four fifths of what they request
inline constexpr duration evict_cooldown = 500ms; // between moves of a run, so that it can settle
inline constexpr double distrust_half_life_s = 6; // half-life of a worker's record of failed runs
// Replaces fill_interference_wait for a job without running tasks on a site that is half free. Together with one
// earlier move to another cell it is below the 3 s after which the job is reported as missed.
inline constexpr duration fill_interference_wait_idle = 1s;
inline constexpr double idle_site_use = 0.55; // half, plus the delay of the cells' news

// Returns the time between two hellos of a pair of entries, on a site with this many.
inline duration hello_interval_of(std::size_t entries)
{
    const auto size = static_cast<std::int64_t>(std::max(entries, max_frequent_hello_entries));
    return hello_interval * size / static_cast<std::int64_t>(max_frequent_hello_entries);
}

// Returns after how long a silent peer counts as failed.
inline duration peer_timeout_of(std::size_t entries)
{
    return 3 * hello_interval_of(entries) + peer_timeout_margin;
}

// Returns the shortest wait on this entry's clock after which `d` has certainly passed on a worker's clock.
inline duration certainly(duration d)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(d.count()) * (1 + clock_drift))) + lease_margin;
}

// A restarted entry must not take over a cell of its earlier life before the peers that its earlier life monitored have
// been detected as failed: it waits to learn of its peers, and then for the row to stay unrenewed, for longer than an
// ownership lease.
static_assert(peer_discovery_time + owner_silence_local > ownership_lease);

} // namespace skylarkhub::flow_limits
