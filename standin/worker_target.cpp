#include "worker_target_p.h"

#include <absl/random/distributions.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace skylarkhub::standin {

namespace {

constexpr std::size_t runs_most = 50000;
constexpr double service_time_spread = 0.25; // standard deviation of its logarithm

std::int64_t wall_ms()
{
    return absl::ToUnixMillis(absl::Now());
}

http_response refusal(const http_request& request, const std::string& reason)
{
    http_response response{503, {{"Did-Not-Run", "true"}}, "{\"error\":\"" + reason + "\"}"};
    response.headers.emplace_back("Request-Id", find_field(request.headers, "request-id"));
    return response;
}

} // namespace

target::target(const options& o, delay_queue& delays) : options_(o), delays_(delays), random_(o.seed) {}

std::shared_ptr<target> target::start(const options& o, delay_queue& delays, std::string* last_reason)
{
    std::shared_ptr<target> t(new target(o, delays));
    t->self_ = t;
    http_server::options server;
    server.address = net_address(o.ip + ":0");
    server.threads = 1; // the limit of connections is split over the threads
    server.connections_most = static_cast<unsigned>(std::max(1, o.connections));
    target* const self = t.get();
    t->server_ = http_server::start(
        server, [self](http_request request, http_reply reply) { self->handle(std::move(request), std::move(reply)); },
        last_reason);
    return t->server_ ? t : nullptr;
}

void target::set_conditions(double slowdown, double slow_accept_ms)
{
    absl::MutexLock lock(&mutex_);
    slowdown_ = slowdown;
    slow_accept_ms_ = slow_accept_ms;
}

void target::leave()
{
    absl::MutexLock lock(&mutex_);
    leaving_ = true;
}

void target::close()
{
    server_.reset();
}

double target::load() const
{
    absl::MutexLock lock(&mutex_);
    return static_cast<double>(running_) / std::max(1, options_.slots);
}

void target::handle(http_request request, http_reply reply)
{
    if (request.method == "POST" && request.path == "/run") {
        absl::Duration wait;
        {
            absl::MutexLock lock(&mutex_);
            wait = absl::Milliseconds(slow_accept_ms_);
        }
        if (wait == absl::ZeroDuration()) {
            admit(request, reply);
            return;
        }
        delays_.run_later(wait, [weak = self_, request = std::move(request), reply = std::move(reply)] {
            if (const auto self = weak.lock()) {
                self->admit(request, reply);
            }
        });
    }
    else if (request.method == "GET" && request.path == "/healthz") {
        absl::MutexLock lock(&mutex_);
        reply({leaving_ ? 503 : 200, {}, leaving_ ? "leaving" : "ok"});
    }
    else if (request.method == "GET" && request.path == "/v1/history") {
        absl::MutexLock lock(&mutex_);
        reply({200, {{"Content-Type", "application/json"}}, format_runs(runs_, runs_dropped_)});
    }
    else {
        reply({404, {{"Did-Not-Run", "true"}}, "{\"error\":\"no such call\"}"});
    }
}

void target::admit(const http_request& request, const http_reply& reply)
{
    std::int64_t number = 0;
    double takes_ms = 0;
    {
        absl::MutexLock lock(&mutex_);
        if (leaving_ || running_ >= options_.slots) {
            reply(refusal(request, leaving_ ? "leaving" : "no free slot"));
            return;
        }
        ++running_;
        number = record_start(request);
        takes_ms = draw_service_ms();
    }
    delays_.run_later(absl::Milliseconds(takes_ms), [weak = self_, number, request, reply] {
        if (const auto self = weak.lock()) {
            self->finish(number, request, reply);
        }
    });
}

void target::finish(std::int64_t number, const http_request& request, const http_reply& reply)
{
    {
        absl::MutexLock lock(&mutex_);
        --running_;
        if (number >= runs_dropped_) {
            runs_[static_cast<std::size_t>(number - runs_dropped_)].ended_ms = wall_ms();
        }
    }
    http_response response{200, {}, "ok " + options_.service.str() + " " + request.body};
    response.headers.emplace_back("Request-Id", find_field(request.headers, "request-id"));
    reply(std::move(response));
}

std::int64_t target::record_start(const http_request& request)
{
    runs_.push_back({std::string(find_field(request.headers, "request-id")),
                     std::string(find_field(request.headers, "idempotency-key")), wall_ms(), 0});
    if (runs_.size() > runs_most) {
        runs_.pop_front();
        ++runs_dropped_;
    }
    return runs_dropped_ + static_cast<std::int64_t>(runs_.size()) - 1;
}

double target::draw_service_ms()
{
    const double spread = std::exp(absl::Gaussian<double>(random_, 0, service_time_spread));
    return options_.service_ms * slowdown_ * spread;
}

std::deque<target_run> target::runs() const
{
    absl::MutexLock lock(&mutex_);
    return runs_;
}

std::string format_runs(const std::deque<target_run>& runs, std::int64_t dropped)
{
    nlohmann::json list = nlohmann::json::array();
    for (const target_run& r : runs) {
        list.push_back({{"request_id", r.request_id},
                        {"idempotency_key", r.idempotency_key},
                        {"started_ms", r.started_ms},
                        {"ended_ms", r.ended_ms}});
    }
    return nlohmann::json{{"runs", std::move(list)}, {"dropped", dropped}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace skylarkhub::standin
