// The worker's process around its state: control calls, registration with the platform, checkpoints, targets. One
// thread carries out the state's actions in their order; handlers only change the state and wake it.
#pragma once

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http_client_p.h"
#include "http_server_p.h"
#include "platform_client_p.h"
#include "worker_delay_p.h"
#include "worker_state_p.h"
#include "worker_target_p.h"

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
        listed_instance listed;
        std::optional<worker_time> left; // since when it is leaving
    };
    struct held_call {
        http_request request;
        http_reply reply;
    };

    void handle(http_request request, const http_reply& reply);
    void handle_control(http_request request, const http_reply& reply);
    http_response control(const http_request& request) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    http_response change_switches(const http_request& request);
    std::string format_history();
    std::string format_all_runs();
    void wake() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    void step(worker_now now);
    bool has_left(worker_now now);
    void carry_out(const open_target& action);
    void carry_out(const close_target& action);
    void carry_out(const put_checkpoint& action);
    void carry_out(const get_checkpoint& action);
    void tell_targets() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void close_drained(worker_now now);
    void close_runner(const target_key& key);
    void register_all();
    void register_one(const listed_instance& instance);
    void unregister(const std::string& id);
    http_call platform_call(std::string method, std::string path) const;

    options options_;

    absl::Mutex mutex_;
    absl::CondVar changed_;
    bool woken_ ABSL_GUARDED_BY(mutex_) = false;
    bool frozen_ ABSL_GUARDED_BY(mutex_) = false;
    bool leave_wanted_ ABSL_GUARDED_BY(mutex_) = false;
    double slow_accept_ms_ ABSL_GUARDED_BY(mutex_) = 0;
    worker_faults faults_ ABSL_GUARDED_BY(mutex_);
    std::deque<held_call> held_ ABSL_GUARDED_BY(mutex_);
    worker_state state_ ABSL_GUARDED_BY(mutex_);
    std::map<target_key, open_runner> runners_ ABSL_GUARDED_BY(mutex_); // changed by the thread in run() only
    std::deque<target_run> closed_runs_ ABSL_GUARDED_BY(mutex_);
    std::int64_t closed_runs_dropped_ ABSL_GUARDED_BY(mutex_) = 0;

    // Of the thread in run().
    std::optional<worker_time> registered_;
    std::optional<worker_time> left_;

    // Last, so that they go first: their threads call back into what stands above.
    delay_queue delays_;
    std::unique_ptr<http_server> server_;
    http_client http_;
};

} // namespace skylarkhub::standin
