#include "daemon_app_p.h"

#include <malloc.h>

#include <algorithm>
#include <map>

#include "daemon_clock_p.h"
#include "daemon_life_p.h"
#include "log_line_p.h"

namespace skylarkhub {

namespace {

constexpr std::size_t large_body_bytes = 64 << 10;
constexpr std::int64_t parsed_values_most = 100'000; // of one body
constexpr std::string_view requests_path = "/v1/request/";
constexpr int pool_threads = 4;
constexpr duration balancer_notice = std::chrono::seconds(1); // between turning unready and refusing requests
constexpr duration drain_most = std::chrono::seconds(30);
constexpr duration linger_most = std::chrono::seconds(1); // for callers to leave the connections they keep
constexpr duration hand_over_most = std::chrono::seconds(10);
constexpr duration stop_poll = std::chrono::milliseconds(20);

} // namespace

daemon_app::daemon_app(const entry_settings& settings)
    : settings_(settings),
      self_(make_incarnation(settings.name)),
      pool_(pool_threads),
      platform_(control_http_, {.address = settings.platform_address,
                                .writes_per_second = settings.table_writes_per_second,
                                .reads_per_second = settings.table_reads_per_second}),
      started_(read_wall_clock())
{
    settings_keeper_ = std::make_shared<settings_keeper>(
        platform_, [this](const wire::settings_push& push) { settings_changed(push); });
}

std::unique_ptr<daemon_app> daemon_app::start(const entry_settings& settings, std::string* last_reason)
{
    auto app = std::unique_ptr<daemon_app>(new daemon_app(settings));
    if (!app->listen(last_reason)) {
        return nullptr;
    }
    app->begin();
    return app;
}

bool daemon_app::listen(std::string* last_reason)
{
    cells_ = std::make_unique<cell_registry>(settings_.data_centre, self_, cell_settings_now(), make_cell_edges());
    claims_ = std::make_unique<claim_store>(platform_, self_, [this](const incarnation_id& incarnation) {
        const auto found = members_->find(incarnation);
        return found && found->state != member_state::dead;
    });
    router_ = std::make_unique<request_router>(settings_.data_centre, self_, make_request_edges());
    standing_ = std::make_shared<standing_runner>(self_, make_standing_edges());
    jobs_ = std::make_unique<job_api>(make_job_edges());
    api_ = std::make_unique<api_router>(make_routes());

    // Handlers reach members_ only after begin(): until then both servers answer that the entry is starting.
    const machine_shares shares = divide_machine(settings_.machine);
    peer_server::options peers;
    peers.address = settings_.peer_address;
    peers.connections_most = std::min(peers.connections_most, shares.peers.connections);
    peers.held_bytes_most = shares.peers.body_bytes;
    peer_server_ = peer_server::start(peers, make_peer_handlers(), last_reason);
    if (!peer_server_) {
        return false;
    }
    http_server::options options;
    options.address = settings_.http_address;
    options.threads = static_cast<unsigned>(settings_.http_threads);
    options.body_bytes_most = config::body_bytes_most;
    options.connections_most = shares.callers.connections;
    options.held_bytes_most = shares.callers.body_bytes;
    options.socket_buffer_bytes = shares.callers.socket_buffer_bytes;
    http_server_ = http_server::start(
        options,
        [this](http_request request, http_reply reply) {
            if (!listed_.load() && request.path.starts_with("/v1/")) {
                reply(make_error(503, "starting", "", "this entry has not read the platform's list yet"));
                return;
            }
            serve_call(std::move(request), std::move(reply));
        },
        last_reason);
    return http_server_ != nullptr;
}

// A value that was parsed takes up to thirty times as much as its text, and the allocator keeps that for each thread
// that has parsed any. So large bodies are parsed one at a time, those of very many values not at all, and what they
// took goes back. Bodies for services are not parsed.
void daemon_app::serve_call(http_request request, http_reply reply)
{
    if (request.body.size() <= large_body_bytes || request.path.starts_with(requests_path)) {
        api_->serve(std::move(request), std::move(reply));
        return;
    }
    const auto begins_value = [](char c) { return c == ',' || c == '{' || c == '['; };
    if (std::count_if(request.body.begin(), request.body.end(), begins_value) > parsed_values_most) {
        reply(make_error(413, "too_large", "", "the body has too many values"));
        return;
    }
    absl::MutexLock one_at_a_time(&large_body_mutex_);
    api_->serve(std::move(request), std::move(reply));
    malloc_trim(0);
}

void daemon_app::begin()
{
    member self;
    self.incarnation = self_;
    self.entry = settings_.name;
    self.data_centre = settings_.data_centre;
    self.peer_address = peer_server_->address();
    self.http_address = http_server_->address();
    const auto seed = static_cast<std::uint64_t>(started_.time_since_epoch().count());
    members_ = std::make_unique<member_host>(self, peers_, seed, [this](const member& changed) {
        write_log(
            log_level::info, "member", "changed",
            {{"incarnation", changed.incarnation.str()}, {"state", std::to_string(static_cast<int>(changed.state))}});
    });
    ticker_ = std::thread([this] { run_ticker(); });
}

daemon_app::~daemon_app()
{
    stopping_.store(true);
    if (ticker_.joinable()) {
        ticker_.join();
    }
    if (peer_server_) {
        peer_server_->stop();
    }
    http_server_.reset();
    pool_.stop();
}

net_address daemon_app::http_address() const
{
    return http_server_->address();
}
net_address daemon_app::peer_address() const
{
    return peer_server_->address();
}

void daemon_app::stop()
{
    write_log(log_level::info, "entry", "stop_planned");
    leaving_.store(true);
    ready_.store(false);
    register_self(true);
    members_->plan_stop();
    std::this_thread::sleep_for(balancer_notice);

    router_->plan_stop();
    cells_->plan_stop();
    http_server_->stop_accepting();
    const bool drained =
        wait_until(drain_most, stop_poll, [this] { return router_->drained() && http_server_->in_flight() == 0; });
    const bool handed = wait_until(hand_over_most, stop_poll, [this] { return cells_->handed_over(); });
    // Those in use end with their next answer; what is idle for so long is not in use.
    wait_until(linger_most, stop_poll, [this] { return http_server_->connections() == 0; });
    write_log(drained && handed ? log_level::info : log_level::warning, "entry", "stopped",
              {{"drained", drained ? "yes" : "no"}, {"handed_over", handed ? "yes" : "no"}});
    platform_.unregister_instance(self_.str(), [](bool) {});
    std::this_thread::sleep_for(stop_poll);
}

std::optional<service_rules> daemon_app::rules_of(const service_id& service) const
{
    const auto slash = service.str().find('/');
    const team_id team(service.str().substr(0, slash));
    const auto tree = settings_keeper_->tree();
    if (!tree) {
        return std::nullopt;
    }
    service_rules rules;
    // A service that the settings do not know is treated as the strictest kind: sent once, in one place.
    rules.kind.idempotent = false;
    rules.kind.exclusive = true;
    const auto found = tree->find_service(team, settings_.data_centre, service.str().substr(slash + 1));
    if (found) {
        rules.named = true;
        rules.kind = tree->find_kind(team, settings_.data_centre, found->kind).value_or(rules.kind);
    }
    const request_settings limits = tree->limits(team, settings_.data_centre);
    rules.gate = {limits.queue_length, limits.body_bytes, limits.retry_share, limits.hedge_share};
    return rules;
}

cell_settings daemon_app::cell_settings_now() const
{
    cell_settings out;
    const auto tree = settings_keeper_->tree();
    if (!tree) {
        out.starts = start_permission::not_known;
        return out;
    }
    out.kinds = tree->kinds(settings_.data_centre);
    out.starts = tree->is_evacuated(settings_.data_centre) ? start_permission::evacuated : start_permission::allowed;
    return out;
}

void daemon_app::settings_changed(const wire::settings_push& push)
{
    if (!members_) {
        return;
    }
    members_->set_settings_version(settings_keeper_->version());
    const auto tree = settings_keeper_->tree();
    cells_->change_settings(cell_settings_now(), tree ? tree->evacuated_data_centres() : std::vector<data_centre_id>());
    router_->refresh_settings();
    if (push.subtrees.empty()) {
        return;
    }
    for (const member& peer : members_->peers()) {
        peers_.push_settings(peer.peer_address, push, config::probe_timeout * 3, [](const auto&) {});
    }
}

void daemon_app::record(const request_record& r)
{
    static constexpr std::array<service_outcome, 3> outcomes{service_outcome::done, service_outcome::refused,
                                                             service_outcome::unknown};
    absl::MutexLock lock(&burn_mutex_);
    burn_.record(read_clock(), r.service, r.team, outcomes.at(static_cast<std::size_t>(r.outcome)), r.latency,
                 r.latency_target);
}

} // namespace skylarkhub
