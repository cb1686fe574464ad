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
