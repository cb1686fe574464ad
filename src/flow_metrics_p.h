// The counters and histograms of an entry, and their text form on the metrics page.
#pragma once

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <cstdint>
#include <string>
#include <string_view>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// A latency histogram for the metrics page. Histograms of several entries can be added up.
class latency_buckets {
public:
    // Upper bounds in seconds, from an answer out of memory up to a job that waited during an outage.
    static constexpr std::array<double, 13> bucket_ends{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
                                                        1,     2.5,  5,     10,   25,  60};
    void add(duration latency);
    std::int64_t count() const;
    // Appends the histogram's lines to `page`. `labels` is empty or a list without a final comma, such as
    // `kind="short"`.
    void write(std::string& page, std::string_view name, std::string_view labels) const;

private:
    std::array<std::int64_t, bucket_ends.size()> counts_{}; // by bucket, not cumulative
    boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum>>
        seconds_;
};

// The kinds of tasks that waits are counted by: `filling` tasks use processor time that others leave unused, `lasting`
// tasks run until they are cancelled.
enum class task_kind : std::uint8_t { short_lived, filling, lasting };
inline constexpr std::array<const char*, 3> task_kind_names{"short", "filling", "lasting"};

// Counters of one cell while this entry owned it, since the entry started.
struct flow_cell_stats {
    std::int64_t starts = 0;
    std::int64_t done = 0;
    std::int64_t failed = 0;
    std::int64_t stopped = 0;
    std::int64_t lapsed = 0; // runs whose lease lapsed, or that another member of their gang stopped
    std::int64_t lost = 0;   // runs that ended because their worker did
    std::int64_t behind = 0; // slow runs that were restarted or copied
    std::int64_t moved = 0;  // filling runs moved because they disturbed other tasks
    std::int64_t handed_off = 0;
    std::int64_t places_asked = 0;    // of other cells, for lasting tasks here
    std::int64_t places_promised = 0; // here, to lasting tasks of this cell and of others
    std::int64_t places_refused = 0;  // here
    std::int64_t commits = 0;
    std::int64_t commits_failed = 0;
    std::int64_t commits_conflicted = 0;
    std::int64_t holds = 0;
    std::int64_t holds_unanswered = 0;
    std::int64_t takeovers = 0;
    std::int64_t ownership_losses = 0;                         // ownerships lost to another entry
    std::array<latency_buckets, task_kind_names.size()> waits; // from ready to placed, by task kind
    latency_buckets job_times;   // from accepted to ended, on the wall clock of this entry
    latency_buckets start_times; // from sending a start to the worker's confirmation, including retries
};

struct flow_entry_stats {
    std::int64_t accepted = 0;
    std::int64_t repeated = 0;
    std::int64_t refused = 0;
    std::int64_t outcome_unknown = 0;
    std::int64_t dropped = 0; // requests whose connection ended unanswered, for want of memory
    std::int64_t cancels = 0;
    std::int64_t states = 0;
    std::int64_t state_reads = 0;
    std::int64_t pending_reads = 0;   // reads of the cells' rows, for counts that no peer reported
    std::int64_t pending_refused = 0; // refused requests for the number of waiting jobs
    std::int64_t unknown_queues = 0;  // requests for queues that the configuration lacks
    std::int64_t config_checks = 0;   // calls that ask the table whether the configuration is the newest
    std::int64_t config_copies = 0;   // copies sent to peers
    std::int64_t config_bytes = 0;
    std::int64_t config_pieces_refused = 0;   // pieces requested from peers and not received
    std::int64_t config_looks_unanswered = 0; // watch calls of the table without an answer
    std::int64_t peers_unanswered = 0;        // messages to peers without an answer
    std::int64_t unusable_entries = 0;        // in the last read of the worker list
    std::int64_t worker_lists_from_peers = 0;
    std::int64_t worker_list_age_ms = -1;      // -1: none is known
    std::int64_t unusable_entries_noticed = 0; // entries that became unusable, or whose reason changed
    std::int64_t news_behind_ms = 0;           // age of the oldest knowledge of an owned cell's news
    std::int64_t evacuated_data_centres = 0;   // as far as this entry knows
    std::int64_t evacuations_age_ms = 0;       // of that knowledge
    latency_buckets accept_times;              // from the caller's request to the answer, including refusals
};

// Appends one value to `page`: a counter if the name ends in _total, otherwise a gauge. `labels` as in
// latency_buckets::write().
void write_value(std::string& page, std::string_view name, std::string_view labels, std::int64_t value);
void write_stats(std::string& page, const flow_entry_stats& stats);
void write_stats(std::string& page, std::string_view cell, const flow_cell_stats& stats);

} // namespace skylarkhub
