// What an entry counts about flows, and the text page that shows it.
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

// Latencies in the buckets of a metrics page. Counts of several entries add up.
class latency_buckets {
public:
    // Upper ends in seconds: from an answer out of memory to a job that waited for a whole outage.
    static constexpr std::array<double, 13> bucket_ends{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
                                                        1,     2.5,  5,     10,   25,  60};
    void add(duration latency);
    std::int64_t count() const;
    // Appends the histogram's lines; `labels` is empty or ends without a comma: `kind="short"`.
    void write(std::string& page, std::string_view name, std::string_view labels) const;

private:
    std::array<std::int64_t, bucket_ends.size()> counts_{}; // of each bucket alone
    boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum>>
        seconds_;
};

// What kind of task a figure is of.
enum class task_kind : std::uint8_t { short_lived, filling, lasting };
inline constexpr std::array<const char*, 3> task_kind_names{"short", "filling", "lasting"};

// Of the cells that an entry owned since it started.
struct flow_cell_stats {
    std::int64_t starts = 0;
    std::int64_t done = 0;
    std::int64_t failed = 0;
    std::int64_t stopped = 0;
    std::int64_t lapsed = 0; // lapsed, or broken off by another member of a gang
    std::int64_t lost = 0;   // runs that ended with their worker
    std::int64_t behind = 0; // runs that had fallen behind and were started again or copied
    std::int64_t moved = 0;  // filling runs moved to where they press on nobody
    std::int64_t handed_off = 0;
    std::int64_t commits = 0;
    std::int64_t commits_failed = 0;
    std::int64_t commits_conflicted = 0;
    std::int64_t holds = 0;
    std::int64_t holds_unanswered = 0;
    std::int64_t takeovers = 0;
    std::int64_t ownership_losses = 0;                         // of a cell to another owner
    std::array<latency_buckets, task_kind_names.size()> waits; // from ready to placed
    latency_buckets job_times;                                 // from accepted to ended, on this entry's wall clock
    latency_buckets start_times; // from sending a start to its worker's yes, retries included
};

struct flow_entry_stats {
    std::int64_t accepted = 0;
    std::int64_t repeated = 0;
    std::int64_t refused = 0;
    std::int64_t outcome_unknown = 0;
    std::int64_t cancels = 0;
    std::int64_t states = 0;
    std::int64_t state_reads = 0;
    std::int64_t pending_reads = 0;   // of the cells' rows, for counts that were not heard of
    std::int64_t pending_refused = 0; // questions how many jobs wait
    std::int64_t unknown_queues = 0;  // requests
    std::int64_t config_copies = 0;   // sent to peers
    std::int64_t config_bytes = 0;
    std::int64_t config_pieces_refused = 0;    // asked of peers in vain
    std::int64_t config_looks_unanswered = 0;  // at the table
    std::int64_t peers_unanswered = 0;         // exchanges with peers
    std::int64_t unusable_entries = 0;         // of the list of workers, as read last
    std::int64_t unusable_entries_noticed = 0; // newly unusable, or for another reason than before
    latency_buckets accept_times;              // from the caller's request to the answer, refusals included
};

// A counter, or a gauge whose name does not end in _total; `labels` as above.
void write_value(std::string& page, std::string_view name, std::string_view labels, std::int64_t value);
void write_stats(std::string& page, const flow_entry_stats& stats);
void write_stats(std::string& page, std::string_view cell, const flow_cell_stats& stats);

} // namespace skylarkhub
