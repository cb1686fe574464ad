// One entry: every part of the system in one process, wired to its edges, from start to planned stop.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "burn_p.h"
#include "daemon_api_p.h"
#include "daemon_cells_p.h"
#include "daemon_claims_p.h"
#include "daemon_jobs_p.h"
#include "daemon_members_p.h"
#include "daemon_pool_p.h"
#include "daemon_requests_p.h"
#include "daemon_settings_p.h"
#include "daemon_standing_p.h"
#include "http_client_p.h"
#include "http_server_p.h"
#include "peer_client_p.h"
#include "peer_server_p.h"
#include "platform_client_p.h"
#include "settings_file_p.h"

namespace skylarkhub {

class daemon_app {
public:
    // Empty when an address cannot be bound, with the reason in `last_reason`.
    static std::unique_ptr<daemon_app> start(const entry_settings& settings, std::string* last_reason);
    ~daemon_app();
    daemon_app(const daemon_app&) = delete;
    daemon_app& operator=(const daemon_app&) = delete;

    net_address http_address() const;
    net_address peer_address() const;

    // A planned stop: leaves the balancer, takes nothing new, ends what is in flight, hands its cells over. Returns
    // when done.
    void stop();

private:
    explicit daemon_app(const entry_settings& settings);
    void serve_call(http_request request, http_reply reply);
    bool listen(std::string* last_reason);
    void begin();

    // Wiring.
    peer_handlers make_peer_handlers();
    std::vector<api_route> make_routes();
    std::vector<api_route> make_operator_routes();
    std::vector<api_route> make_settings_routes();
    cell_edges make_cell_edges();
    request_edges make_request_edges();
    standing_edges make_standing_edges();
    job_edges make_job_edges();
    std::optional<service_rules> rules_of(const service_id& service) const;
    cell_settings cell_settings_now() const;

    // Rhythm, on the ticker's thread.
    void run_ticker();
    void tick_lists();
    void tick_news();
    void register_self(bool leaving);
    void see_instances(const std::vector<listed_instance>& instances);
    void see_cell_news(const std::vector<wire::cell_news>& news);
    void see_targets_of_cells();
    void see_members();
    void settings_changed(const wire::settings_push& push);
    void hint_owner(const cell_id& cell);
    void record(const request_record& r);

    // Operators.
    void serve_settings_change(const std::string& path, const http_request& request, const http_reply& reply);
    void serve_settings_read(const std::string& path, const http_request& request, const http_reply& reply);
    nlohmann::json list_settings_status() const;
    void serve_report(const http_request& request, const http_reply& reply);
    nlohmann::json list_entries() const;
    nlohmann::json list_cells() const;
    std::string format_metrics() const;
    burn_report own_report();
    void add_batch(burn_report& report) const;

    const entry_settings settings_;
    const incarnation_id self_;
    http_client control_http_;
    http_client target_http_;
    work_pool pool_;
    platform_client platform_;
    peer_client peers_;
    std::shared_ptr<settings_keeper> settings_keeper_;
    std::unique_ptr<peer_server> peer_server_;
    absl::Mutex large_body_mutex_; // held while a large body is parsed
    std::unique_ptr<http_server> http_server_;
    std::unique_ptr<member_host> members_;
    std::unique_ptr<cell_registry> cells_;
    std::unique_ptr<claim_store> claims_;
    std::unique_ptr<request_router> router_;
    std::shared_ptr<standing_runner> standing_;
    std::unique_ptr<job_api> jobs_;
    std::unique_ptr<api_router> api_;
    std::atomic<bool> ready_{false};
    std::atomic<bool> leaving_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> listed_{false};
    std::atomic<bool> listing_{false};

    absl::Mutex burn_mutex_;
    burn_recorder burn_ ABSL_GUARDED_BY(burn_mutex_);
    const wall_time started_;
    std::thread ticker_;
};

} // namespace skylarkhub
