// The request path of this entry: callers' requests, the gate of each service under its own lock, and the targets.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon_claims_p.h"
#include "http_client_p.h"
#include "http_server_p.h"
#include "request_gate_p.h"
#include "skylarkhub/skylarkhub.h"
#include "target_client_p.h"

namespace skylarkhub {

// What the request path needs to know of a service before it is asked; from the settings in force.
struct service_rules {
    work_kind kind;
    gate_settings gate;
    bool named = false; // by the settings; others are known by their targets
};

// One answered request, for the service-level figures.
struct request_record {
    service_id service;
    team_id team;
    request_outcome outcome = request_outcome::unknown;
    duration latency{0};
    duration latency_target{0};
};

struct request_edges {
    http_client& targets;
    claim_store& claims;
    std::function<std::optional<service_rules>(const service_id&)> rules; // empty while no settings were read
    std::function<void(const request_record&)> record;
};

// One service's gate with the bodies of its open requests. Actions are carried out under the lock, none of them waits.
class service_gate : public std::enable_shared_from_this<service_gate> {
public:
    service_gate(service_id service, data_centre_id own, incarnation_id self, request_edges edges, std::uint64_t seed);

    void serve(request_number number, http_request request, http_reply reply);
    void post(const gate_event& event);
    gate_stats stats() const;
    bool drained() const;
    bool has_targets() const;
    void refresh_settings();

private:
    struct open_request {
        std::string body;
        claim_key key;
        std::optional<row_version> claimed;
        recorded_answer recorded;
        http_reply reply;
        instant received;
        work_kind kind;
        bool answered = false;
        int sends_open = 0;
        bool claim_open = false;
    };
    using open_map = absl::flat_hash_map<request_number, open_request>;

    void decide(const gate_event& event) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void carry(const gate_action& action) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void send(const send_request& a) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void claim(const claim_request& a) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void record(const record_claim_answer& a) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void release(const release_claim& a) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void answer(const answer_request& a) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void probe(const probe_target& a);
    void end_send(request_number request, send_number send, target_answer answer);
    void end_claim(request_number request, claim_reply reply);
    recorded_answer find_answer(const answer_request& a) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void drop_finished() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const service_id service_;
    const incarnation_id self_;
    const request_edges edges_;
    mutable absl::Mutex mutex_;
    std::optional<work_kind> kind_ ABSL_GUARDED_BY(mutex_); // as the settings in force have it; empty: not read
    request_gate gate_ ABSL_GUARDED_BY(mutex_);
    open_map open_ ABSL_GUARDED_BY(mutex_);
    std::map<std::pair<request_number, send_number>, std::string> answers_ ABSL_GUARDED_BY(mutex_);
    std::vector<request_number> finished_ ABSL_GUARDED_BY(mutex_);
    bool drained_ ABSL_GUARDED_BY(mutex_) = false;
    bool has_targets_ ABSL_GUARDED_BY(mutex_) = false;
};

// All services known here, each with its gate.
class request_router {
public:
    request_router(data_centre_id own, incarnation_id self, request_edges edges);

    // POST /v1/request/TEAM/SERVICE.
    void serve(const service_id& service, http_request request, http_reply reply);

    // Replaces what `source` said before; a service once seen stays known.
    void see_targets(target_source source, const std::map<service_id, std::vector<seen_target>>& targets);
    void see_services(const std::vector<service_id>& services);
    void see_entries(const entries_seen& entries);
    void tick();
    void plan_stop();
    bool drained() const;
    void refresh_settings();
    std::map<service_id, gate_stats> stats() const;

private:
    http_response answer_without_gate(const service_id& service) const;
    std::shared_ptr<service_gate> ensure(const service_id& service);
    std::vector<std::shared_ptr<service_gate>> all() const;

    const data_centre_id own_;
    const incarnation_id self_;
    const request_edges edges_;
    std::atomic<std::int64_t> next_number_{1};
    mutable absl::Mutex mutex_;
    std::map<service_id, std::shared_ptr<service_gate>> gates_ ABSL_GUARDED_BY(mutex_);
    entries_seen entries_ ABSL_GUARDED_BY(mutex_);
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
};

} // namespace skylarkhub
