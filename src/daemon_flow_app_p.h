// One entry on the users' platform: threads, sockets and clocks around flow_entry.
#pragma once

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "flow_entry_p.h"
#include "flow_settings_p.h"
#include "http_client_p.h"
#include "http_server_p.h"

namespace skylarkhub {

// Callbacks after a delay, all on one thread.
class flow_timer {
public:
    explicit flow_timer(std::function<void(std::function<void(instant)>)> run);
    ~flow_timer();
    flow_timer(const flow_timer&) = delete;
    flow_timer& operator=(const flow_timer&) = delete;

    void after(duration wait, std::function<void(instant)> step);
    void stop();

private:
    void work();

    std::function<void(std::function<void(instant)>)> run_;
    absl::Mutex mutex_;
    std::multimap<instant, std::function<void(instant)>> steps_ ABSL_GUARDED_BY(mutex_);
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::thread thread_;
};

class flow_app {
public:
    static std::unique_ptr<flow_app> start(const flow_entry_settings& settings, std::string* last_reason);
    ~flow_app();
    flow_app(const flow_app&) = delete;
    flow_app& operator=(const flow_app&) = delete;

    // Settings that may change while it runs: the table's address.
    void change_settings(const flow_entry_settings& settings);
    // A planned stop: hands its cells over and answers what is under way; returns when that is done or time is up.
    void stop();

private:
    explicit flow_app(const flow_entry_settings& settings);
    bool listen(std::string* last_reason);
    void run(const std::function<void(instant)>& step);
    flow_edges make_edges();
    void send_table(http_call call, std::function<void(http_result)> done);
    void serve_caller(const http_request& request, http_reply reply);
    void serve_peer(const http_request& request, const http_reply& reply);
    std::string format_metrics();

    flow_entry_settings settings_;
    entry_identity self_;
    absl::Mutex settings_mutex_;
    net_address table_address_ ABSL_GUARDED_BY(settings_mutex_);
    absl::Mutex mutex_; // of entry_
    std::unique_ptr<flow_entry> entry_;
    std::unique_ptr<flow_timer> timer_;
    http_client http_;
    std::unique_ptr<http_server> callers_;
    std::unique_ptr<http_server> readiness_;
    std::unique_ptr<http_server> peers_;
    std::unique_ptr<http_server> metrics_;
};

} // namespace skylarkhub
