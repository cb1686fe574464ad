// Compile-time knobs, in one place. Times that operators may change live in the settings; these are their defaults.
#pragma once

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::config {

using namespace std::chrono_literals;

// --- ownership and leases ---
inline constexpr duration lease_length = 12s;        // of a task, in the worker's clock; longer than a takeover lasts
                                                     // (hold, margin, one read, commit, fence), so tasks are adopted
inline constexpr duration lease_renew_interval = 2s; // one exchange with each worker; a lease survives two lost ones
inline constexpr duration cell_renew_interval = 1s;  // an owner's write of its row when nothing else is to be written
inline constexpr duration cell_hold = 5s;            // T_hold: an owner without promises stops this long after its
                                                     // last successful renewal was sent
inline constexpr duration cell_orphan = 10min;       // T_orphan: past it anyone in the data centre may take the cell
inline constexpr duration hold_promise = 5s;         // what a deputy promises at a time
inline constexpr double clock_drift = 0.01;          // most by which two clocks' rates differ
inline constexpr duration drift_margin = 500ms;      // added where two clocks are compared across a drift

// --- workers that crash ---
inline constexpr duration watched_exchange_interval = 100ms; // with a worker on which a suspected task has just begun

// --- workers ---
// The most that a worker is believed to hold: far above any machine, and the sums over a cell's workers stay within 32
// bits for processors and accelerators.
inline constexpr resources worker_room_most{10'000'000, std::int64_t{1} << 30, 100'000};

// --- cell ---
inline constexpr duration read_patience = 3s;    // a read not answered for this long is sent again
inline constexpr duration commit_patience = 10s; // a commit not answered for this long has an unknown outcome
inline constexpr duration commit_retry = 250ms;  // after a commit that was refused or is unsettled
inline constexpr int watch_reads_far = 8;        // renewal intervals between row reads of entries that are no deputies
inline constexpr std::size_t commit_rows_most = 96;     // rows of one transaction
inline constexpr duration inbox_scan_interval = 2s;     // a lost hint costs this much; below the 3.8 s of urgent work
inline constexpr duration place_interval_urgent = 50ms; // least between two passes of placement
inline constexpr duration place_interval = 250ms;       // without urgent work; ends are heard of 1 s late on average
inline constexpr duration place_interval_per_task =
    50us;                                            // and as much for each task that runs: a pass looks at them all
inline constexpr std::size_t place_queued_most = 32; // queued tasks of one job in a pass
inline constexpr duration evict_grace = 2s;          // for a last checkpoint before the stop
inline constexpr duration service_grace = 4s;        // for entries to drop a leaving target before it is stopped
inline constexpr duration refused_pause = 1s;        // of starts on a worker that has refused one
inline constexpr duration handover_wait = 500ms;     // for answers to the last renewals
inline constexpr duration checkpoint_record_interval = 30s; // a row is written for newer checkpoints alone this often
inline constexpr duration job_kept = 24h;                   // an ended job's row
inline constexpr duration prune_interval = 10s;
inline constexpr std::size_t prunes_most = 4;       // of one interval
inline constexpr duration unknown_job_kept = 15s;   // an instruction about a job that no scan has shown yet
inline constexpr duration place_idle_interval = 1s; // between two passes when nothing has ended or come
inline constexpr duration service_replace = 5s;     // a service task on a silent worker is started elsewhere
inline constexpr duration unreadable_kept = 10min;  // an inbox row that cannot be read, before it is removed

// --- table ---
inline constexpr duration commit_interval_least = 20ms;
inline constexpr duration commit_interval_most = 2s;
inline constexpr double table_writes_per_second = 40; // one entry's share of the platform's budget
inline constexpr double table_reads_per_second = 150;
inline constexpr duration table_burst = 1s;      // of each budget, as time at its rate
inline constexpr int table_breaker_failures = 5; // in a row, until calls are held back
inline constexpr duration table_backoff_first = 50ms;
inline constexpr duration table_backoff_most = 1s; // also the longest between two probes of a table that is down
inline constexpr int table_calls_in_flight_most = 64;
inline constexpr int table_settling_most = 256;  // settled commits under way; more are refused at once
inline constexpr int table_page_rows = 500;      // of one page of a scan
inline constexpr duration table_scan_most = 10s; // a scan that its budget holds back longer is incomplete

// --- membership ---
inline constexpr duration probe_interval = 500ms;
inline constexpr duration probe_timeout = 300ms;
inline constexpr int probe_relays = 2;
inline constexpr duration suspect_timeout = 2s;
inline constexpr int news_per_message = 8;        // changes carried by one probe or answer
inline constexpr int news_sends_factor = 3;       // a change is sent this often for each doubling of the members
inline constexpr int probe_suspects_most = 2;     // suspects asked again in each interval
inline constexpr int probe_dead_every = 4;        // intervals between two questions to members held for dead
inline constexpr int leave_probes = 3;            // members told at once of a planned stop
inline constexpr duration contact_lately = 10s;   // a data centre without an answer for so long is not reachable
inline constexpr duration dead_memory = 2h;       // regions lose each other for an hour now and then
inline constexpr std::size_t members_most = 2048; // live and remembered together

// --- between entries ---
inline constexpr std::int64_t peer_message_bytes_most = 1 << 20;   // both ways; a larger one is refused unread
inline constexpr std::int64_t peer_short_message_bytes = 64 << 10; // passes whatever others hold
inline constexpr std::int32_t peer_list_most = 65'536;             // elements of one list within a message or a row
inline constexpr std::size_t peer_server_threads = 4;              // handlers that may wait at the same time
inline constexpr std::size_t peer_server_connections = 256;        // more are closed at accept
inline constexpr std::size_t peer_connections_each = 2;            // to one peer
inline constexpr std::size_t peer_connections_most = 128;          // to all peers
inline constexpr std::size_t peer_calls_most = 512;                // begun and not ended
inline constexpr duration peer_idle = 15s;                         // an unused connection is closed after this

// --- placement ---
inline constexpr double slowdown_limit = 1.5;    // of a service whose kind names no other
inline constexpr double size_prior_ratio = 1.0;  // of use to declared size while nothing was measured
inline constexpr double size_quantile_cpu = 0.6; // of the tasks' peaks that a commitment covers
inline constexpr double size_quantile_memory = 0.99;
inline constexpr double size_margin = 1.1;        // over a task's own measured peak
inline constexpr duration size_settled = 60s;     // measured for so long, a task's own peak stands for it
inline constexpr duration measured_within = 2min; // a service not measured within it is judged by the ledger alone
inline constexpr std::size_t size_families_most = 4096;
inline constexpr duration blame_window = 10min; // evidence older than this counts no more
inline constexpr double quarantine_share = 0.5; // most of a cell's workers that may be kept out
inline constexpr duration quarantine_least = 30s;
inline constexpr duration quarantine_most = 15min;
inline constexpr duration probe_good_after = 2min;   // a probe that runs so long counts as good
inline constexpr duration patient_ageing = 10min;    // patient work that waited so long counts as normal
inline constexpr duration throttle_hold = 60s;       // after lowering a task, nothing on its worker is raised
inline constexpr duration eviction_wait = 15s;       // for a stop to be confirmed before it is asked for again
inline constexpr duration eviction_interval = 10min; // in which one eviction per worker may be spent on interference
inline constexpr double eviction_burst = 0.125;      // of these evictions that may come together, per worker
inline constexpr duration starving_after = 10min; // a task that no gap was large enough for gets a worker's room kept
inline constexpr duration draining_for = 10min;   // and for so long
inline constexpr double draining_share = 0.04;    // most of a cell's workers that keep room so
inline constexpr duration load_history = 3min;    // how far back a measurement may lie
inline constexpr duration load_interval = 5s;     // between kept views of a worker's load

// --- request path ---
inline constexpr std::int64_t body_bytes_most = 1 << 20;
inline constexpr duration deadline_default = 5s;
inline constexpr int queue_length_default = 256;
inline constexpr double retry_share_default = 0.1;
inline constexpr double hedge_share_default = 0.05;

// --- routing ---
inline constexpr duration service_time_default = 20ms; // believed of a service before its first answers
inline constexpr double service_time_gain = 0.1;       // least weight of the newest answer in a target's mean
inline constexpr int service_time_prior = 3;           // answers that the service's mean counts for at first
inline constexpr duration service_time_memory = 10s;   // a target's mean falls back to the service's in this time
inline constexpr int quantile_window = 400;            // answers from which hedging takes its quantile
inline constexpr double hedge_quantile = 0.95;
inline constexpr double budget_burst = 10;             // retries or hedges saved up at most
inline constexpr double spill_connection_share = 0.25; // of a target's connections, for entries of other centres
inline constexpr double spill_success_least = 0.5;     // below it a centre gets one spilled send a pause
inline constexpr duration spill_pause = 100ms;
inline constexpr int share_total_least = 8;       // slots an entry is to see in sum before shares may be 0
inline constexpr double slow_factor = 3;          // times the service's mean that make a target slow
inline constexpr double stall_factor = 8;         // times the service's mean without an answer: stalled
inline constexpr int failures_in_row_most = 3;    // before a target is ejected
inline constexpr double failure_rate_most = 0.5;  // smoothed, before a target is ejected
inline constexpr double ejected_share_most = 0.3; // of the known targets
inline constexpr duration ejection_first = 1s;    // doubles with each ejection in a row
inline constexpr duration ejection_most = 60s;
inline constexpr duration target_probe_first = 500ms; // doubles while the target stays away
inline constexpr duration target_probe_most = 10s;
inline constexpr duration slow_start = 5s;          // in which a returned target's limit grows to its share
inline constexpr duration refusal_hold_least = 1ms; // doubles with each refusal in a row
inline constexpr duration refusal_hold_most = 1s;
inline constexpr int centre_failures_in_row = 3;    // targets in a row, before a data centre counts as cut off
inline constexpr duration unlisted_grace = 3s;      // an unlisted target that answers keeps its work so long
inline constexpr duration unlisted_keep = 5min;     // an unlisted target is remembered after its last answer
inline constexpr duration route_tick = 100ms;       // looks at targets that are out of use, slow or ramping
inline constexpr duration queue_tick = 10ms;        // while any request is queued
inline constexpr duration standing_window = 100ms;  // a queue that stands through it is shortened
inline constexpr double standing_services = 5;      // service times that the window lasts at least
inline constexpr double standing_wait = 0.125;      // of a service time: the wait that a standing queue is cut to
inline constexpr double standing_wait_first = 2;    // service times, halved with each window
inline constexpr double standing_turned_away = 0.1; // share of arrivals below which the cut is eased
inline constexpr duration claim_answer_grace = 1s;  // past the deadline, to keep a claimed request's late answer
inline constexpr duration retry_after_least = 50ms;
inline constexpr duration retry_after_most = 10s;

// --- daemon ---
inline constexpr int memory_mib_default = 512;
inline constexpr int http_threads_default = 4;
inline constexpr std::size_t thread_stack_bytes = 256 * 1024;

} // namespace skylarkhub::config
