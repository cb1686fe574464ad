#include "daemon_flow_app_p.h"

#include <fmt/format.h>

#include "../platform/caller_wire.h"
#include "../platform/edges.h"
#include "daemon_clock_p.h"
#include "daemon_life_p.h"
#include "log_line_p.h"
#include "row_codec_p.h"

namespace skylarkhub {

namespace {

constexpr unsigned idle_seconds = 60;
constexpr duration peer_timeout = std::chrono::milliseconds(900);
constexpr duration peer_stall_timeout = std::chrono::milliseconds(500); // of pages read for this entry, say
constexpr duration peer_connect_timeout = std::chrono::milliseconds(400);
constexpr duration stop_most = std::chrono::milliseconds(4000); // less than the platform waits before it kills
constexpr duration stop_poll = std::chrono::milliseconds(50);
constexpr long connections_kept = 400; // two for each of up to 150 workers, one for each peer, some for the table
constexpr const char* peer_path = "/flow";

machine_limits machine_of(const flow_entry_settings& settings)
{
    constexpr double bytes_per_mib = 1 << 20;
    machine_limits machine;
    if (settings.memory_mib > 0) {
        machine.memory_bytes = static_cast<std::int64_t>(settings.memory_mib * bytes_per_mib);
    }
    if (settings.descriptors > 0) {
        machine.descriptors = static_cast<std::int64_t>(settings.descriptors);
    }
    return machine;
}

caller_bounds bounds_of(const machine_shares& shares, const flow_entry_settings& settings)
{
    caller_bounds bounds;
    bounds.shares = shares;
    if (settings.row_bytes > 0) {
        bounds.row_bytes = static_cast<std::int64_t>(settings.row_bytes);
    }
    return bounds;
}

} // namespace

flow_app::flow_app(const flow_entry_settings& settings)
    : settings_(settings),
      shares_(divide_machine(machine_of(settings))),
      table_address_(settings.table_address),
      http_({.connections_per_host = 0, .connections_kept = connections_kept})
{
    self_.entry = settings.entry;
    self_.incarnation = make_incarnation(settings.entry);
    self_.address = settings.peers_address;
    self_.data_centre = settings.data_centre;
    self_.cores = settings.cores * settings.cpu_share;
}

std::unique_ptr<flow_app> flow_app::start(const flow_entry_settings& settings, std::string* last_reason)
{
    auto app = std::unique_ptr<flow_app>(new flow_app(settings));
    app->entry_ = std::make_unique<flow_entry>(app->self_, app->make_edges(), bounds_of(app->shares_, settings));
    if (!app->listen(last_reason)) {
        return nullptr;
    }
    app->run([a = app.get()](instant now) { a->entry_->begin(now); });
    return app;
}

// The parts end one after another, and the clients give every call that is still under way an answer: none of these may
// reach a part that has gone.
flow_app::~flow_app()
{
    absl::MutexLock lock(&mutex_);
    closing_ = true;
}

void flow_app::run(const std::function<void(instant)>& step)
{
    absl::MutexLock lock(&mutex_);
    if (closing_) {
        return;
    }
    const instant now = read_clock();
    step(now);
    entry_->run_deferred_work(now);
}

flow_edges flow_app::make_edges()
{
    flow_edges edges;
    platform::edge_context context;
    context.http = &http_;
    context.send_table = [this](http_call call, std::function<void(http_result)> done) {
        http_.send(std::move(call), std::move(done));
    };
    context.table_address = [this] {
        absl::MutexLock lock(&settings_mutex_);
        return table_address_;
    };
    context.run = [this](const std::function<void(instant)>& step) { run(step); };
    platform::fill_edges(context, edges);
    edges.send_message = [this](const net_address& peer, const wire::flow_message& message,
                                std::function<void(instant, std::optional<wire::flow_message>)> done) {
        http_call call;
        call.method = "POST";
        call.address = peer;
        call.target = peer_path;
        call.body = encode_compact(message);
        call.timeout = peer_timeout;
        call.stall_timeout = peer_stall_timeout;
        call.connect_timeout = peer_connect_timeout;
        http_.send(std::move(call), [this, done = std::move(done)](const http_result& answer) {
            std::optional<wire::flow_message> decoded;
            if (answer.answered && answer.status == 200) {
                decoded = decode_compact<wire::flow_message>(answer.body);
            }
            run([&](instant now) { done(now, decoded); });
        });
    };
    edges.after = [this](duration wait, std::function<void(instant)> step) {
        timer_.run_at(read_clock() + wait, [this, step = std::move(step)] { run(step); });
    };
    edges.wall = &read_wall_clock;
    edges.note = &write_log;
    return edges;
}

bool flow_app::listen(std::string* last_reason)
{
    const auto serve = [&](const net_address& address, const listener_share& share, http_handler handler) {
        http_server::options options;
        options.address = address;
        options.threads = 1;
        options.idle_seconds = idle_seconds;
        options.connections_most = share.connections;
        options.held_bytes_most = share.body_bytes;
        options.body_bytes_most = std::min(options.body_bytes_most, share.body_bytes);
        options.socket_buffer_bytes = share.socket_buffer_bytes;
        return http_server::start(options, std::move(handler), last_reason);
    };
    callers_ = serve(settings_.callers_address, shares_.callers, [this](const http_request& request, http_reply reply) {
        serve_caller(request, std::move(reply));
    });
    readiness_ =
        serve(settings_.readiness_address, shares_.probes, [this](const http_request&, const http_reply& reply) {
            absl::MutexLock lock(&mutex_);
            reply({entry_->ready() ? 200 : 503, {}, ""});
        });
    peers_ = serve(settings_.peers_address, shares_.peers,
                   [this](const http_request& request, const http_reply& reply) { serve_peer(request, reply); });
    metrics_ = serve(settings_.metrics_address, shares_.probes, [this](const http_request&, const http_reply& reply) {
        reply({200, {{"Content-Type", "text/plain; version=0.0.4"}}, format_metrics()});
    });
    return callers_ && readiness_ && peers_ && metrics_;
}

void flow_app::serve_caller(const http_request& request, http_reply reply)
{
    const auto decoded = platform::read_request(request, entry_->steps_most());
    if (!decoded) {
        reply({405, {{"Allow", "GET, POST, DELETE"}}, ""});
        return;
    }
    run([&](instant now) {
        entry_->on_request(now, *decoded, [reply = std::move(reply)](const caller_answer& answer) {
            reply(platform::make_response(answer));
        });
        if (const auto most = entry_->body_bytes_most()) {
            callers_->limit_bodies(*most);
        }
    });
}

void flow_app::serve_peer(const http_request& request, const http_reply& reply)
{
    const auto message = decode_compact<wire::flow_message>(request.body);
    if (request.path != peer_path || !message) {
        reply({400, {}, ""});
        return;
    }
    run([&](instant now) {
        entry_->on_message(now, *message, [reply](const wire::flow_message& answer) {
            reply({200, {}, encode_compact(answer)});
        });
    });
}

std::string flow_app::format_metrics()
{
    absl::MutexLock lock(&mutex_);
    std::string out;
    write_stats(out, entry_->stats());
    for (const auto& [id, cell] : entry_->cells()) {
        const std::string labels = fmt::format("cell=\"{}\"", id.str());
        write_stats(out, id.str(), cell->stats());
        write_value(out, "cell_owned", labels, cell->owns() ? 1 : 0);
        write_value(out, "cell_epoch", labels, cell->epoch().value());
        write_value(out, "jobs", labels, static_cast<std::int64_t>(cell->job_count()));
        write_value(out, "jobs_waiting", labels, static_cast<std::int64_t>(cell->waiting_count()));
    }
    write_value(out, "config_version", "", entry_->config_version().value());
    write_value(out, "config_newest_version", "", entry_->newest_config_version().value());
    write_value(out, "log_lines_dropped_total", "", log_lines_dropped());
    write_value(out, "log_bytes_total", "", log_bytes_written());
    return out;
}

void flow_app::change_settings(const flow_entry_settings& settings)
{
    absl::MutexLock lock(&settings_mutex_);
    table_address_ = settings.table_address;
}

void flow_app::stop()
{
    run([this](instant now) { entry_->plan_stop(now); });
    wait_until(stop_most, stop_poll, [this] {
        absl::MutexLock lock(&mutex_);
        return entry_->stopped() && callers_->in_flight() == 0;
    });
    callers_->stop_accepting();
    write_log(log_level::info, "entry", "stopped");
    flush_log();
}

} // namespace skylarkhub
