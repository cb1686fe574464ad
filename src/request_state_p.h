// What a gate keeps of each request and each send; shared by the request_*.cpp files that make up the gate.
#pragma once

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <string>
#include <utility>
#include <vector>

#include "base_random_p.h"
#include "request_gate_p.h"
#include "request_overload_p.h"
#include "request_queue_p.h"
#include "request_rules_p.h"
#include "route_budget_p.h"
#include "route_targets_p.h"

namespace skylarkhub {

// claiming: its key is being claimed, no byte has left. following: another request with the same key is on its way, its
// answer is this one's too.
enum class request_phase : std::uint8_t { claiming, queued, in_flight, following };

struct request_state {
    request_phase phase = request_phase::queued;
    send_rules rules;
    bool latency_critical = false;
    team_id team;
    std::string key;
    std::string fingerprint;
    instant queued{};
    instant deadline{};
    instant hedge_at = instant::max();
    bool claim_open = false; // asked for, without an end yet
    bool claimed = false;
    bool may_have_run = false;   // a send of it ended unknown
    std::int32_t sends = 0;      // so far
    std::int32_t sends_open = 0; // without an end yet
    target_handle last_target;
    duration retry_after{0}; // as the last refusing target said
    std::vector<request_number> followers;
};

struct send_state {
    target_handle target;
    instant sent{};
    duration time_left{0};
    // Set once the caller has its answer while the send is open: what a late answer is still good for.
    bool keep_answer = false;
    team_id team;
    std::string key;
};

using send_id = std::pair<request_number, send_number>;
using key_id = std::pair<team_id, std::string>;

struct request_gate::engine {
    engine(service_id service, data_centre_id own, gate_settings settings, std::uint64_t seed);

    void on(const request_arrived& event);
    void on(const target_answered& event);
    void on(const claim_ended& event);
    void on(const targets_seen& event);
    void on(const entries_seen& event);
    void on(const target_probed& event);
    void on(const gate_tick& event);
    void on(const gate_stop_planned& event);

    // --- request_gate.cpp: admission, queue and dispatch ---
    answer_reason refusal_of(const request_arrived& event, const request_state& state) const;
    void enqueue(request_number request, request_state& state);
    void drop_from_queue(request_number request, const request_state& state);
    void dispatch();
    bool dispatch_one();
    void send(request_number request, request_state& state, target_handle target);
    void hedge(request_number request, request_state& state);
    void review_queue();
    void run_timers();
    void set_timer(request_number request, const request_state& state);
    void clear_timer(request_number request, const request_state& state);
    double wait_micros(std::size_t ahead) const;
    bool can_meet(const request_state& state, std::size_t ahead) const;
    bool may_wait(const request_state& state, std::size_t ahead) const;
    duration suggest_return(std::size_t ahead);
    void pass_on(table_news& news);

    // --- request_end.cpp: ends of sends, retries, answers ---
    void note_late(const target_answered& event, const send_state& ended);
    void retry_or_refuse(request_number request, request_state& state);
    void finish(request_number request, answer_reason reason, const std::string& detail = {});
    void finish_done(request_number request, body_source source, send_number send);
    request_state take(request_number request);
    void tell(request_number request, answer_request told, bool may_have_run);
    void tell_all(request_number request, const request_state& state, const answer_request& told, bool may_have_run);

    // --- request_claim.cpp: keys ---
    bool follow(request_number request, request_state& state);
    void start_claim(request_number request, request_state& state);
    void settle_claim(request_number request, const request_state& state, request_outcome outcome);

    service_id service;
    gate_settings settings;
    target_table targets;
    random_source random;
    send_budget retries;
    send_budget hedges;
    request_queue queue;
    standing_queue standing;
    absl::flat_hash_map<request_number, request_state> requests;
    absl::flat_hash_map<send_id, send_state> sends;
    absl::flat_hash_map<key_id, request_number> keys;             // of the request that leads for the key
    absl::flat_hash_map<request_number, key_id> abandoned_claims; // open, but their callers have their answers
    std::size_t claims_open = 0;
    absl::btree_set<std::pair<instant, request_number>> timers;
    instant next_review = instant::max();
    bool stopping = false;
    bool drained = false;
    gate_stats counts;

    // Of the call to decide() that runs now.
    instant now{};
    std::vector<gate_action>* actions = nullptr;
};

} // namespace skylarkhub
