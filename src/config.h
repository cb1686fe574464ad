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

// --- cell ---
inline constexpr duration read_patience = 3s;   // a read not answered for this long is sent again
inline constexpr duration commit_retry = 250ms; // after a commit that was refused or is unsettled
inline constexpr int watch_reads_far = 8;       // renewal intervals between row reads of entries that are no deputies
inline constexpr std::size_t commit_rows_most = 96;  // rows of one transaction
inline constexpr duration inbox_scan_interval = 2s;  // a lost hint costs this much; below the 3.8 s of urgent work
inline constexpr duration place_interval = 50ms;     // between two passes of placement
inline constexpr std::size_t place_queued_most = 32; // queued tasks of one job in a pass
inline constexpr duration evict_grace = 2s;          // for a last checkpoint before the stop
inline constexpr duration service_grace = 4s;        // for entries to drop a leaving target before it is stopped
inline constexpr duration refused_pause = 1s;        // of starts on a worker that has refused one
inline constexpr duration handover_wait = 500ms;     // for answers to the last renewals
inline constexpr duration checkpoint_record_interval = 30s; // a row is written for newer checkpoints alone this often
inline constexpr duration job_kept = 24h;                   // an ended job's row
inline constexpr duration unreadable_kept = 10min;          // an inbox row that cannot be read, before it is removed

// --- table ---
inline constexpr duration commit_interval_least = 20ms;
inline constexpr duration commit_interval_most = 2s;
inline constexpr double table_writes_per_second = 40; // one entry's share of the platform's budget
inline constexpr double table_reads_per_second = 150;

// --- membership ---
inline constexpr duration probe_interval = 500ms;
inline constexpr duration probe_timeout = 300ms;
inline constexpr int probe_relays = 2;
inline constexpr duration suspect_timeout = 2s;

// --- placement ---
inline constexpr double slowdown_limit = 1.5; // of a service whose kind names no other

// --- request path ---
inline constexpr std::int64_t body_bytes_most = 1 << 20;
inline constexpr duration deadline_default = 5s;
inline constexpr int queue_length_default = 256;
inline constexpr double retry_share_default = 0.1;
inline constexpr double hedge_share_default = 0.05;

// --- daemon ---
inline constexpr int http_threads_default = 4;
inline constexpr std::size_t thread_stack_bytes = 256 * 1024;

} // namespace skylarkhub::config
