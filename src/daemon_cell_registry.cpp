#include <algorithm>

#include "daemon_cells_p.h"

namespace skylarkhub {

namespace {

resources from_wire(const wire::resources_row& row)
{
    return {row.cpu_millis, row.memory_mib, row.accelerators};
}

resources larger(const resources& a, const resources& b)
{
    return {std::max(a.cpu_millis, b.cpu_millis), std::max(a.memory_mib, b.memory_mib),
            std::max(a.accelerators, b.accelerators)};
}

} // namespace

cell_id cell_of(const data_centre_id& data_centre, const rack_id& rack)
{
    return cell_id(data_centre.str() + "." + rack.str());
}

cell_registry::cell_registry(data_centre_id own, incarnation_id self, cell_settings settings, cell_edges edges)
    : own_(std::move(own)), self_(std::move(self)), edges_(std::move(edges)), settings_(std::move(settings))
{}

void cell_registry::ensure_host(const cell_id& cell)
{
    absl::MutexLock lock(&mutex_);
    if (hosts_.contains(cell)) {
        return;
    }
    auto host = std::make_shared<cell_host>(cell, self_, settings_, edges_);
    if (!live_.empty()) {
        host->post(cell_members_seen{live_});
    }
    hosts_.emplace(cell, std::move(host));
}

void cell_registry::see_instances(const std::vector<listed_instance>& instances)
{
    std::map<cell_id, std::vector<listed_worker>> own_workers;
    std::map<cell_id, known_cell> known;
    for (const listed_instance& i : instances) {
        if (i.role != instance_role::worker) {
            continue;
        }
        const cell_id cell = cell_of(i.data_centre, i.rack);
        known_cell& k = known[cell];
        k.data_centre = i.data_centre;
        k.largest_worker = larger(k.largest_worker, i.capacity);
        k.total = k.total + i.capacity;
        if (i.data_centre == own_) {
            own_workers[cell].push_back({worker_id(i.id), i.data_centre, i.rack, i.address, i.capacity, i.leaving});
        }
    }
    {
        absl::MutexLock lock(&mutex_);
        known_ = std::move(known);
    }
    for (auto& [cell, workers] : own_workers) {
        ensure_host(cell);
        find(cell)->post_workers(std::move(workers));
    }
}

void cell_registry::see_members(const std::vector<incarnation_id>& live)
{
    {
        absl::MutexLock lock(&mutex_);
        live_ = live;
    }
    for (const auto& host : hosts()) {
        host->post(cell_members_seen{live});
    }
}

void cell_registry::see_news(const wire::cell_news& news)
{
    absl::MutexLock lock(&mutex_);
    wire::cell_news& kept = news_[cell_id(news.summary.cell)];
    const bool newer = news.summary.epoch > kept.summary.epoch ||
                       (news.summary.epoch == kept.summary.epoch && news.summary.stamp >= kept.summary.stamp);
    if (newer) {
        kept = news;
    }
}

void cell_registry::tick()
{
    for (const auto& host : hosts()) {
        host->post_tick();
    }
}

void cell_registry::plan_stop()
{
    for (const auto& host : hosts()) {
        host->post(cell_stop_planned{});
    }
}

bool cell_registry::handed_over() const
{
    const auto all = hosts();
    return std::all_of(all.begin(), all.end(), [](const auto& host) { return host->handed_over(); });
}

void cell_registry::change_settings(const cell_settings& settings, std::vector<data_centre_id> evacuated)
{
    {
        absl::MutexLock lock(&mutex_);
        settings_ = settings;
        evacuated_ = std::move(evacuated);
    }
    for (const auto& host : hosts()) {
        host->change_settings(settings);
    }
}

std::shared_ptr<cell_host> cell_registry::find(const cell_id& cell) const
{
    absl::MutexLock lock(&mutex_);
    const auto found = hosts_.find(cell);
    return found == hosts_.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<cell_host>> cell_registry::hosts() const
{
    absl::MutexLock lock(&mutex_);
    std::vector<std::shared_ptr<cell_host>> out;
    out.reserve(hosts_.size());
    for (const auto& [cell, host] : hosts_) {
        out.push_back(host);
    }
    return out;
}

std::vector<wire::cell_news> cell_registry::own_news() const
{
    std::vector<wire::cell_news> out;
    for (const auto& host : hosts()) {
        if (host->role() == cell_role::owning) {
            out.push_back(host->news());
        }
    }
    return out;
}

std::vector<wire::cell_news> cell_registry::all_news() const
{
    std::vector<wire::cell_news> out = own_news();
    absl::MutexLock lock(&mutex_);
    for (const auto& item : news_) {
        const wire::cell_news& news = item.second;
        const bool own =
            std::any_of(out.begin(), out.end(), [&](const auto& o) { return o.summary.cell == news.summary.cell; });
        if (!own) {
            out.push_back(news);
        }
    }
    return out;
}

std::vector<cell_room> cell_registry::rooms() const
{
    const std::vector<wire::cell_news> news = all_news();
    absl::MutexLock lock(&mutex_);
    std::vector<cell_room> out;
    for (const auto& [cell, known] : known_) {
        cell_room room{cell, known.data_centre, known.largest_worker, known.total, known.total, 0};
        room.evacuated = std::find(evacuated_.begin(), evacuated_.end(), known.data_centre) != evacuated_.end();
        for (const wire::cell_news& n : news) {
            if (n.summary.cell == cell.str()) {
                room.free = from_wire(n.summary.free);
                room.queued = n.summary.queued;
            }
        }
        out.push_back(std::move(room));
    }
    return out;
}

} // namespace skylarkhub
