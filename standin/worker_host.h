// The worker's process around its state: control calls, registration with the platform, checkpoints, targets. One thread
// carries out the state's actions in their order; handlers only change the state and wake it.
#pragma once

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http_client_p.h"
#include "http_server_p.h"
#include "worker_delay.h"
#include "worker_state.h"
#include "worker_target.h"

namespace skylarkhub::standin {

class worker_host {
public:
    struct options {
        std::string id;
        net_address address;
        net_address platform; // empty: it registers nowhere and no checkpoint is ever durable
        std::string data_centre;
        std::string rack;
        worker_settings settings;
        duration leave_patience{std::chrono::seconds(10)}; // for batch tasks, after a planned stop was asked for
        duration linger{std::chrono::seconds(3)};          // of a leaving target, refusing what still comes
    };

    explicit worker_host(options o);
    ~worker_host();
    worker_host(const worker_host&) = delete;
    worker_host& operator=(const worker_host&) = delete;

    // False when the address cannot be bound.
    bool start(std::string* last_reason);
    net_address address() const { return server_->address(); }

    // Serves until a planned stop is carried out.
    void run();
    // Asks for a planned stop, from any thread.
    void leave();

private:
    using target_key = std::pair<task_id, attempt_number>;
    struct open_runner {
        std::shared_ptr<target> runner;
        service_id service;
        std::int32_t slots = 0;
        std::int32_t connections = 0;
        bool leaving = false;
        worker_time left{};
    };
    struct held_call {
        http_request request;
        http_reply reply;
    };

    static worker_now read_clocks();
    void handle(http_request request, const http_reply& reply);
    http_response control(const http_request& request);
    void handle_control(http_request request, const http_reply& reply);
    http_response change_switches(const http_request& request);
    std::string history();
    std::string all_runs();
    void wake();

    void step();
    bool done_leaving(worker_now now);
    void carry_out(const open_target& action);
    void carry_out(const close_target& action);
    void carry_out(const put_checkpoint& action);
    void carry_out(const get_checkpoint& action);
    void close_drained(worker_time now);
    void close_runner(const target_key& key, open_runner& open);
    void measure_targets();
    void register_all(worker_time now);
    void register_one(const std::string& id, const std::string& body);
    void unregister(const std::string& id);
    http_call platform_call(std::string method, std::string target) const;

    options options_;
    http_client http_;
    delay_queue delays_;
    std::unique_ptr<http_server> server_;

    // Of the thread in run().
    worker_time registered_{};
    worker_time leave_asked_{};

    absl::Mutex mutex_;
    absl::CondVar changed_;
    bool woken_ ABSL_GUARDED_BY(mutex_) = false;
    bool frozen_ ABSL_GUARDED_BY(mutex_) = false;
    bool leave_wanted_ ABSL_GUARDED_BY(mutex_) = false;
    double slow_accept_ms_ ABSL_GUARDED_BY(mutex_) = 0;
    worker_faults faults_ ABSL_GUARDED_BY(mutex_);
    std::deque<held_call> held_ ABSL_GUARDED_BY(mutex_);
    worker_state state_ ABSL_GUARDED_BY(mutex_);
    std::map<target_key, open_runner> runners_ ABSL_GUARDED_BY(mutex_);
    std::deque<target_run> closed_runs_ ABSL_GUARDED_BY(mutex_);
    std::int64_t closed_runs_dropped_ ABSL_GUARDED_BY(mutex_) = 0;
};

} // namespace skylarkhub::standin
