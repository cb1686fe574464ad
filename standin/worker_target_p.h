// One runner of a service: the target of docs/PROTOCOLS.md, on a listener of its own.
#pragma once

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>

#include "http_server_p.h"
#include "worker_delay_p.h"

namespace skylarkhub::standin {

// One request that a target has taken, for history checks.
struct target_run {
    std::string request_id;
    std::string idempotency_key;
    std::int64_t started_ms = 0; // wall clock
    std::int64_t ended_ms = 0;   // 0 while it runs
};
std::string format_runs(const std::deque<target_run>& runs, std::int64_t dropped);

class target {
public:
    struct options {
        std::string ip = "127.0.0.1";
        service_id service;
        std::int32_t slots = 1;
        std::int32_t connections = 1;
        double service_ms = 5; // undisturbed mean time of one request
        std::uint64_t seed = 0;
    };

    // Empty when it cannot listen, with the reason in `last_reason`. `delays` outlives the target.
    static std::shared_ptr<target> start(const options& o, delay_queue& delays, std::string* last_reason);

    net_address address() const { return server_->address(); }

    // What the tick of its worker tells it: the slowdown by neighbours and the time a request waits before it is taken.
    void set_conditions(double slowdown, double slow_accept_ms);

    // Takes no new requests: answers 503, did not run. Requests in flight go on.
    void leave();
    // From here on new connections are refused.
    void stop_accepting() { server_->stop_accepting(); }
    // Closes at once; requests in flight are cut off.
    void close();

    bool drained() const { return server_->in_flight() == 0; }
    double load() const; // share of its slots in use, 0 to 1
    std::deque<target_run> runs() const;

private:
    target(const options& o, delay_queue& delays);
    void handle(http_request request, http_reply reply);
    void admit(const http_request& request, const http_reply& reply);
    void finish(std::int64_t number, const http_request& request, const http_reply& reply);
    std::int64_t record_start(const http_request& request) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    double draw_service_ms() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    options options_;
    delay_queue& delays_;
    std::weak_ptr<target> self_; // late answers keep nothing alive
    std::unique_ptr<http_server> server_;

    mutable absl::Mutex mutex_;
    bool leaving_ ABSL_GUARDED_BY(mutex_) = false;
    std::int32_t running_ ABSL_GUARDED_BY(mutex_) = 0;
    double slowdown_ ABSL_GUARDED_BY(mutex_) = 1;
    double slow_accept_ms_ ABSL_GUARDED_BY(mutex_) = 0;
    std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
    std::deque<target_run> runs_ ABSL_GUARDED_BY(mutex_);
    std::int64_t runs_dropped_ ABSL_GUARDED_BY(mutex_) = 0; // the oldest ones, forgotten
};

} // namespace skylarkhub::standin
