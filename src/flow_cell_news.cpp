// What the owner of a cell reports of it to the other entries.
#include <algorithm>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "flow_row_p.h"

namespace skylarkhub {

using namespace flow_limits;

// Adds a worker's capacity for each filling image, and the processors that its serving tasks use by image, to the row
// of its pool.
void flow_cell::add_filling_capacity(const cell_worker& w, wire::flow_pool_row& pool) const
{
    const std::int64_t unused_cpu = std::max<std::int64_t>(0, available_for_filling(option_of(w.clock_read_at, w)));
    const double room = static_cast<double>(std::max<std::int64_t>(1, w.listing.room.cpu_millis));
    std::vector<double> spare_pressure;
    spare_pressure.reserve(w.serving_groups.size());
    for (const serving_group& group : w.serving_groups) {
        spare_pressure.push_back(
            std::max(0.0, group.mean_tolerated_pressure * w.tolerance_margin - pressure_on(w, group)));
    }
    for (int f = 0; f < interference_.filling_count(); ++f) {
        double fillable_share = static_cast<double>(unused_cpu) / room;
        for (std::size_t g = 0; g < spare_pressure.size(); ++g) {
            fillable_share =
                std::min(fillable_share, spare_pressure[g] / std::max(0.01, interference_.interference_coefficient(
                                                                                w.serving_groups[g].image, f)));
        }
        pool.fill_cpu_millis[interference_.filling_name(f)] += static_cast<std::int32_t>(fillable_share * room);
    }
    for (const auto& [task, run] : w.ledger) {
        if (run.tail_target > duration(0)) {
            pool.serving_cpu_millis[run.image] += run.need.cpu_millis;
        }
    }
}

// Returns the image of the serving tasks on the worker: empty when there are none, several_images when they differ.
std::string flow_cell::serving_image(const cell_worker& w) const
{
    if (w.serving_groups.empty()) {
        return "";
    }
    const int first = w.serving_groups.front().image;
    const bool same = std::all_of(w.serving_groups.begin(), w.serving_groups.end(),
                                  [first](const serving_group& g) { return g.image == first; });
    return same ? interference_.serving_name(first) : several_images;
}

// Summarises for peers, by service, the capacity and the use of the workers that take part in placement, and the
// learned interference coefficients.
wire::flow_cell_news flow_cell::news(instant now) const
{
    wire::flow_cell_news news;
    news.cell = id_.str();
    news.epoch = epoch_.value();
    std::map<std::string, wire::flow_pool_row> pools;
    for (const auto& [id, w] : workers_) {
        if (!w.listed || w.listing.draining) {
            continue;
        }
        wire::flow_pool_row& pool = pools[w.listing.service];
        pool.service_name = w.listing.service;
        if (!w.fenced || w.silent >= max_unanswered_holds) {
            continue;
        }
        const resources promised = promises_.room_on(w.listing.worker);
        const resources unused = w.listing.room - w.held - promised;
        const std::int64_t free = unused.cpu_millis;
        pool.total_cpu_millis += w.listing.room.cpu_millis;
        pool.free_cpu_millis += free;
        pool.unused_cpu_millis += available_for_filling(option_of(w.clock_read_at, w));
        wire::flow_worker_room worker_room;
        worker_room.free_cpu_millis = static_cast<std::int32_t>(free);
        worker_room.__set_free_memory_mib(unused.memory_mib);
        worker_room.__set_free_accelerators(unused.accelerators);
        worker_room.serving = serving_image(w);
        std::vector<std::string>& known = pool.labels;
        for (const std::string& label : w.listing.labels) {
            const auto at = std::find(known.begin(), known.end(), label);
            worker_room.labels.push_back(static_cast<std::int32_t>(at - known.begin()));
            if (at == known.end()) {
                known.push_back(label);
            }
        }
        pool.each.push_back(worker_room);
        pool.largest_free_memory_mib = std::max(pool.largest_free_memory_mib, unused.memory_mib);
        pool.lasting_cpu_millis += w.lasting_cpu;
        if (!w.is_reserved(now)) {
            pool.largest_reservable_cpu_millis = std::max(
                pool.largest_reservable_cpu_millis, w.listing.room.cpu_millis - w.lasting_cpu - promised.cpu_millis);
        }
        ++pool.workers;
        add_filling_capacity(w, pool);
    }
    for (const auto& [id, job] : jobs_) {
        const auto pool = pools.find(job->row().service_name);
        if (pool == pools.end()) {
            continue;
        }
        for (const flow_stage& stage : job->stages()) {
            const std::int64_t queued = stage.ready * job->step(stage).need.cpu_millis;
            pool->second.unused_cpu_millis -= queued;
            if (stage.ready > 0 && job->step(stage).filling) {
                pool->second.fill_cpu_millis[job->step(stage).image] -= static_cast<std::int32_t>(queued);
            }
            if (!job->step(stage).filling) {
                pool->second.free_cpu_millis -= queued;
            }
        }
    }
    news.presses = interference_.learned();
    for (auto& [service, pool] : pools) {
        const auto demand = demand_.find(service);
        pool.demand_cpu_millis = (demand == demand_.end() ? batch_demand() : demand->second)
                                     .cpu_millis(now, taken_at_, pool.total_cpu_millis);
        std::sort(pool.each.begin(), pool.each.end(),
                  [](const auto& a, const auto& b) { return a.free_cpu_millis > b.free_cpu_millis; });
        news.pools.push_back(std::move(pool));
    }
    return news;
}

std::int64_t flow_cell::job_bytes() const
{
    std::int64_t bytes = 0;
    for (const auto& [id, job] : jobs_) {
        bytes += job->held_bytes();
    }
    return bytes;
}

// Returns the news, rebuilt at most every news_cache_ttl. The learned interference coefficients are included only
// during the first presses_report_window of each presses_interval.
const wire::flow_cell_news& flow_cell::cached_news(instant now)
{
    if (cached_news_generation_ != ownership_generation_ + 1 || cached_news_at_ + news_cache_ttl <= now) {
        cached_news_ = news(now);
        cached_news_at_ = now;
        cached_news_generation_ = ownership_generation_ + 1;
        if (now - presses_sent_since_ >= presses_interval) {
            presses_sent_since_ = now;
        }
        if (now - presses_sent_since_ > presses_report_window) {
            cached_news_.presses.clear();
        }
    }
    return cached_news_;
}

} // namespace skylarkhub
