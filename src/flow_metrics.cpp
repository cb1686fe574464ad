#include "flow_metrics_p.h"

#include <fmt/format.h>

#include <algorithm>

namespace skylarkhub {

namespace {

std::string braced(std::string_view labels)
{
    return labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
}

} // namespace

void latency_buckets::add(duration latency)
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(latency).count());
    seconds_(seconds);
    const auto* const at = std::lower_bound(bucket_ends.begin(), bucket_ends.end(), seconds);
    if (at != bucket_ends.end()) {
        ++counts_[static_cast<std::size_t>(at - bucket_ends.begin())];
    }
}

std::int64_t latency_buckets::count() const
{
    return static_cast<std::int64_t>(boost::accumulators::count(seconds_));
}

void latency_buckets::write(std::string& page, std::string_view name, std::string_view labels) const
{
    const std::string_view comma = labels.empty() ? "" : ",";
    std::int64_t so_far = 0;
    for (std::size_t i = 0; i < bucket_ends.size(); ++i) {
        so_far += counts_[i];
        page += fmt::format("skylarkhub_{}_bucket{{{}{}le=\"{}\"}} {}\n", name, labels, comma, bucket_ends[i], so_far);
    }
    page += fmt::format("skylarkhub_{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, comma, count());
    page += fmt::format("skylarkhub_{}_sum{} {:.6f}\n", name, braced(labels), boost::accumulators::sum(seconds_));
    page += fmt::format("skylarkhub_{}_count{} {}\n", name, braced(labels), count());
}

void write_value(std::string& page, std::string_view name, std::string_view labels, std::int64_t value)
{
    page += fmt::format("skylarkhub_{}{} {}\n", name, braced(labels), value);
}

void write_stats(std::string& page, const flow_entry_stats& stats)
{
    write_value(page, "jobs_accepted_total", "", stats.accepted);
    write_value(page, "jobs_repeated_total", "", stats.repeated);
    write_value(page, "jobs_refused_total", "", stats.refused);
    write_value(page, "jobs_unsettled_total", "", stats.outcome_unknown);
    write_value(page, "requests_dropped_total", "", stats.dropped);
    write_value(page, "cancels_total", "", stats.cancels);
    write_value(page, "state_requests_total", "", stats.states);
    write_value(page, "state_reads_total", "", stats.state_reads);
    write_value(page, "pending_reads_total", "", stats.pending_reads);
    write_value(page, "pending_refused_total", "", stats.pending_refused);
    write_value(page, "unknown_queue_requests_total", "", stats.unknown_queues);
    write_value(page, "config_checks_total", "", stats.config_checks);
    write_value(page, "config_copies_sent_total", "", stats.config_copies);
    write_value(page, "config_bytes_sent_total", "", stats.config_bytes);
    write_value(page, "config_pieces_refused_total", "", stats.config_pieces_refused);
    write_value(page, "config_looks_unanswered_total", "", stats.config_looks_unanswered);
    write_value(page, "peer_exchanges_unanswered_total", "", stats.peers_unanswered);
    write_value(page, "worker_entries_unusable", "", stats.unusable_entries);
    write_value(page, "worker_lists_from_peers_total", "", stats.worker_lists_from_peers);
    write_value(page, "worker_list_age_ms", "", stats.worker_list_age_ms);
    write_value(page, "worker_entries_unusable_noticed_total", "", stats.unusable_entries_noticed);
    write_value(page, "job_news_behind_ms", "", stats.news_behind_ms);
    write_value(page, "evacuated_data_centres", "", stats.evacuated_data_centres);
    write_value(page, "evacuations_age_ms", "", stats.evacuations_age_ms);
    stats.accept_times.write(page, "accept_seconds", "");
}

void write_stats(std::string& page, std::string_view cell, const flow_cell_stats& stats)
{
    const std::string labels = fmt::format("cell=\"{}\"", cell);
    const auto ended = [&](std::string_view how, std::int64_t count) {
        write_value(page, "runs_ended_total", fmt::format("{},how=\"{}\"", labels, how), count);
    };
    write_value(page, "runs_started_total", labels, stats.starts);
    ended("done", stats.done);
    ended("failed", stats.failed);
    ended("stopped", stats.stopped);
    ended("lapsed", stats.lapsed);
    ended("lost", stats.lost);
    write_value(page, "runs_behind_total", labels, stats.behind);
    write_value(page, "runs_moved_total", labels, stats.moved);
    write_value(page, "tasks_given_away_total", labels, stats.handed_off);
    write_value(page, "places_asked_total", labels, stats.places_asked);
    write_value(page, "places_promised_total", labels, stats.places_promised);
    write_value(page, "places_refused_total", labels, stats.places_refused);
    write_value(page, "commits_total", labels, stats.commits);
    write_value(page, "commits_failed_total", labels, stats.commits_failed);
    write_value(page, "commits_conflicted_total", labels, stats.commits_conflicted);
    write_value(page, "exchanges_total", labels, stats.holds);
    write_value(page, "exchanges_unanswered_total", labels, stats.holds_unanswered);
    write_value(page, "takeovers_total", labels, stats.takeovers);
    write_value(page, "cells_lost_total", labels, stats.ownership_losses);
    for (std::size_t kind = 0; kind < task_kind_names.size(); ++kind) {
        stats.waits[kind].write(page, "task_wait_seconds",
                                fmt::format("{},kind=\"{}\"", labels, task_kind_names[kind]));
    }
    stats.job_times.write(page, "job_seconds", labels);
    stats.start_times.write(page, "start_seconds", labels);
}

} // namespace skylarkhub
