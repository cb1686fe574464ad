// One entry on the users' platform: threads, sockets and clocks around flow_entry.
#pragma once

#include <absl/synchronization/mutex.h>

#include <memory>
#include <string>

#include "base_shares_p.h"
#include "flow_entry_p.h"
#include "flow_settings_p.h"
#include "http_client_p.h"
#include "http_server_p.h"
#include "platform_timer_p.h"

namespace skylarkhub {

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
    void serve_caller(const http_request& request, http_reply reply);
    void serve_peer(const http_request& request, const http_reply& reply);
    std::string format_metrics();

    flow_entry_settings settings_;
    machine_shares shares_;
    entry_identity self_;
    absl::Mutex settings_mutex_;
    net_address table_address_ ABSL_GUARDED_BY(settings_mutex_);
    absl::Mutex mutex_;                            // of entry_, which is set before anything else runs
    bool closing_ ABSL_GUARDED_BY(mutex_) = false; // no step runs any more
    std::unique_ptr<flow_entry> entry_;
    platform_timer timer_;
    http_client http_;
    std::unique_ptr<http_server> callers_;
    std::unique_ptr<http_server> readiness_;
    std::unique_ptr<http_server> peers_;
    std::unique_ptr<http_server> metrics_;
};

} // namespace skylarkhub
