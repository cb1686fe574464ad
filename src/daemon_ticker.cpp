// The rhythm of an entry: one thread that calls each part when its time has come. Nothing here waits for an answer.
#include <algorithm>
#include <map>

#include "daemon_app_p.h"
#include "daemon_clock_p.h"
#include "log_line_p.h"

namespace skylarkhub {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(10);

// What is called how often.
struct rhythm {
    duration interval;
    std::function<void()> call;
    instant next{};
};

seen_target from_listed(const listed_instance& i)
{
    return {target_id(i.id), i.data_centre, i.address, i.slots, i.connections, i.leaving};
}

seen_target from_wire(const wire::target_wire& t)
{
    return {
        target_id(t.target), data_centre_id(t.data_centre), net_address(t.address), t.slots, t.connections, t.leaving};
}

} // namespace

void daemon_app::run_ticker()
{
    using namespace std::chrono_literals;
    std::vector<rhythm> rhythms{
        {10ms, [this] { router_->tick(); }},
        {50ms, [this] { cells_->tick(); }},
        {50ms, [this] { members_->tick(); }},
        {250ms, [this] { see_members(); }},
        {250ms, [this] { see_targets_of_cells(); }},
        {1s, [this] { tick_lists(); }},
        {1s, [this] { tick_news(); }},
        {5s, [this] { settings_keeper_->poll(); }},
        {5s, [this] { standing_->refresh(); }},
        {500ms, [this] { standing_->tick(); }},
        {250ms, [] { flush_log(); }},
    };
    while (!stopping_.load()) {
        const instant now = read_clock();
        for (rhythm& r : rhythms) {
            if (now >= r.next) {
                r.next = now + r.interval;
                r.call();
            }
        }
        std::this_thread::sleep_for(tick_interval);
    }
}

void daemon_app::register_self(bool leaving)
{
    listed_instance self;
    self.id = self_.str();
    self.role = instance_role::entry;
    self.data_centre = settings_.data_centre;
    self.address = http_server_->address();
    self.peer_address = peer_server_->address();
    self.leaving = leaving;
    platform_.register_instance(self, [](bool) {});
}

void daemon_app::tick_lists()
{
    register_self(leaving_.load());
    if (listing_.exchange(true)) {
        return;
    }
    platform_.list_instances([this](const std::optional<std::vector<listed_instance>>& instances) {
        listing_.store(false);
        if (instances) {
            see_instances(*instances);
        }
    });
}

void daemon_app::see_instances(const std::vector<listed_instance>& instances)
{
    cells_->see_instances(instances);
    members_->see_instances(instances);
    std::map<service_id, std::vector<seen_target>> targets;
    for (const listed_instance& i : instances) {
        if (i.role == instance_role::target && i.service.valid()) {
            targets[i.service].push_back(from_listed(i));
        }
    }
    router_->see_targets(target_source::platform_list, targets);
    if (!listed_.exchange(true)) {
        ready_.store(!leaving_.load());
        write_log(log_level::info, "entry", "ready", {{"instances", std::to_string(instances.size())}});
    }
}

void daemon_app::see_cell_news(const std::vector<wire::cell_news>& news)
{
    for (const wire::cell_news& n : news) {
        cells_->see_news(n);
    }
}

void daemon_app::see_targets_of_cells()
{
    std::map<service_id, std::vector<seen_target>> targets;
    for (const wire::cell_news& news : cells_->all_news()) {
        for (const wire::target_wire& t : news.targets) {
            targets[service_id(t.service_name)].push_back(from_wire(t));
        }
    }
    router_->see_targets(target_source::cell_owners, targets);
}

void daemon_app::see_members()
{
    const std::vector<incarnation_id> live = members_->live_in(settings_.data_centre);
    cells_->see_members(live);
    std::vector<incarnation_id> everywhere{self_};
    for (const member& peer : members_->peers()) {
        if (peer.state != member_state::leaving) {
            everywhere.push_back(peer.incarnation);
        }
    }
    std::sort(everywhere.begin(), everywhere.end());
    const auto rank = [&](const std::vector<incarnation_id>& list) {
        const auto found = std::find(list.begin(), list.end(), self_);
        return static_cast<std::int32_t>(found == list.end() ? 0 : found - list.begin());
    };
    entries_seen seen;
    seen.in_data_centre = std::max<std::int32_t>(1, static_cast<std::int32_t>(live.size()));
    seen.rank_in_data_centre = rank(live);
    seen.everywhere = static_cast<std::int32_t>(everywhere.size());
    seen.rank_everywhere = rank(everywhere);
    router_->see_entries(seen);
}

void daemon_app::tick_news()
{
    const std::vector<wire::cell_news> news = cells_->own_news();
    const settings_version version = settings_keeper_->version();
    for (const member& peer : members_->peers()) {
        if (!news.empty()) {
            peers_.tell_cells(peer.peer_address, self_.str(), news, config::probe_timeout, [](const auto&) {});
        }
        // The table may be out of reach: whoever holds newer settings hands them on.
        if (version < peer.settings) {
            peers_.pull_settings(peer.peer_address, version.value(), config::probe_timeout * 3,
                                 [this](const peer_result<wire::settings_push>& result) {
                                     if (result.answer) {
                                         settings_keeper_->take_push(*result.answer);
                                     }
                                 });
        }
    }
}

} // namespace skylarkhub
