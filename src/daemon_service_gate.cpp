#define XXH_INLINE_ALL
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>

#include "daemon_answers_p.h"
#include "daemon_api_p.h"
#include "daemon_clock_p.h"
#include "daemon_requests_p.h"
#include "log_line_p.h"

namespace skylarkhub {

namespace {

constexpr duration probe_timeout = std::chrono::milliseconds(500);
constexpr std::array<std::string_view, 13> reason_names{
    "none",         "too_large",         "queue_full",   "wait_too_long",     "no_target",        "target_refused",
    "stopping",     "claim_unreachable", "key_mismatch", "claimed_elsewhere", "claim_owner_lost", "deadline_passed",
    "target_failed"};
constexpr std::array<std::string_view, 3> outcome_names{"done", "did-not-run", "unknown"};

std::string fingerprint_body(const std::string& body)
{
    const XXH128_hash_t hash = XXH3_128bits(body.data(), body.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

std::int64_t whole_ms(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

// The milliseconds of a header; 0 when absent, -1 when not a number of at least 0.
std::int64_t read_ms(std::string_view text)
{
    if (text.empty()) {
        return 0;
    }
    std::int64_t value = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || stop != text.data() + text.size() || value < 0) {
        return -1;
    }
    return value;
}

} // namespace

service_gate::service_gate(service_id service, data_centre_id own, incarnation_id self, request_edges edges,
                           std::uint64_t seed)
    : service_(std::move(service)),
      self_(std::move(self)),
      edges_(std::move(edges)),
      gate_(service_, std::move(own), edges_.rules(service_).value_or(service_rules{}).gate, seed)
{
    refresh_settings();
}

void service_gate::serve(request_number number, http_request request, http_reply reply)
{
    const std::int64_t deadline_ms = read_ms(find_field(request.headers, "deadline-ms"));
    if (deadline_ms < 0) {
        reply(make_error(400, "bad_header", "Deadline-Ms", "must be a whole number of milliseconds"));
        return;
    }
    const std::string fingerprint = fingerprint_body(request.body);
    absl::MutexLock lock(&mutex_);
    if (!kind_) {
        reply(answer_without_settings());
        return;
    }
    request_arrived event;
    event.request = number;
    event.team = team_id(service_.str().substr(0, service_.str().find('/')));
    event.kind = *kind_;
    event.idempotency_key = std::string(find_field(request.headers, "idempotency-key"));
    event.fingerprint = fingerprint;
    event.time_left = std::chrono::milliseconds(deadline_ms);
    event.body_bytes = static_cast<std::int64_t>(request.body.size());

    open_request open;
    open.body = std::move(request.body);
    open.key = {event.team, event.idempotency_key, event.fingerprint};
    open.reply = std::move(reply);
    open.received = read_clock();
    open.kind = event.kind;
    open_.emplace(number, std::move(open));
    decide(event);
}

void service_gate::post(const gate_event& event)
{
    absl::MutexLock lock(&mutex_);
    if (const auto* const seen = std::get_if<targets_seen>(&event)) {
        has_targets_ = has_targets_ || !seen->targets.empty();
    }
    decide(event);
}

void service_gate::decide(const gate_event& event)
{
    std::vector<gate_action> actions;
    gate_.decide(read_clock(), event, actions);
    for (const gate_action& action : actions) {
        carry(action);
    }
    drop_finished();
}

void service_gate::carry(const gate_action& action)
{
    std::visit(detail::overloaded{
                   [&](const send_request& a) ABSL_NO_THREAD_SAFETY_ANALYSIS { send(a); },
                   [&](const claim_request& a) ABSL_NO_THREAD_SAFETY_ANALYSIS { claim(a); },
                   [&](const record_claim_answer& a) ABSL_NO_THREAD_SAFETY_ANALYSIS { record(a); },
                   [&](const release_claim& a) ABSL_NO_THREAD_SAFETY_ANALYSIS { release(a); },
                   [&](const answer_request& a) ABSL_NO_THREAD_SAFETY_ANALYSIS { answer(a); },
                   [&](const probe_target& a) { probe(a); },
                   [&](const gate_drained&) ABSL_NO_THREAD_SAFETY_ANALYSIS { drained_ = true; },
                   [&](const gate_notice& a) {
                       write_log(log_level::info, "gate", a.event, {{"service", service_.str()}, {"detail", a.detail}});
                   },
               },
               action);
}

void service_gate::send(const send_request& a)
{
    open_request& open = open_.at(a.request);
    ++open.sends_open;
    target_request request;
    request.address = a.address;
    request.request_id = fmt::format("{}-{}-{}", self_.str(), a.request.value(), a.send.value());
    request.idempotency_key = open.key.key;
    request.body = open.body;
    request.time_left = a.time_left;
    request.send_once = a.send_once;
    send_to_target(edges_.targets, std::move(request),
                   [self = shared_from_this(), number = a.request, send = a.send](target_answer answer) {
                       self->end_send(number, send, std::move(answer));
                   });
}

void service_gate::end_send(request_number request, send_number send, target_answer answer)
{
    target_answered event{request, send, answer.outcome, answer.retry_after, std::move(answer.reason)};
    absl::MutexLock lock(&mutex_);
    if (event.outcome == send_outcome::done) {
        answers_[{request, send}] = std::move(answer.body);
    }
    const auto found = open_.find(request);
    if (found != open_.end()) {
        --found->second.sends_open;
        finished_.push_back(request);
    }
    decide(event);
}

void service_gate::claim(const claim_request& a)
{
    open_request& open = open_.at(a.request);
    open.claim_open = true;
    edges_.claims.claim(open.key, std::to_string(a.request.value()), a.time_left,
                        [self = shared_from_this(), request = a.request](claim_reply reply) {
                            self->end_claim(request, std::move(reply));
                        });
}

void service_gate::end_claim(request_number request, claim_reply reply)
{
    absl::MutexLock lock(&mutex_);
    const auto found = open_.find(request);
    if (found != open_.end()) {
        found->second.claim_open = false;
        finished_.push_back(request);
        if (reply.outcome == claim_outcome::claimed) {
            found->second.claimed = reply.version;
        }
        if (reply.answer) {
            found->second.recorded = std::move(*reply.answer);
        }
    }
    decide(claim_ended{request, reply.outcome, reply.reason});
}

void service_gate::record(const record_claim_answer& a)
{
    const auto found = open_.find(a.request);
    const auto body = answers_.find({a.request, a.send});
    if (found == open_.end() || body == answers_.end() || !found->second.claimed) {
        return;
    }
    edges_.claims.record(found->second.key, *found->second.claimed, {200, body->second, true});
}

void service_gate::release(const release_claim& a)
{
    const auto found = open_.find(a.request);
    if (found != open_.end()) {
        edges_.claims.release(found->second.key, found->second.claimed);
    }
}

// A caller that waited for another one with its key gets what that one got, from wherever it came: its own request has
// neither a send nor a claim.
recorded_answer service_gate::find_answer(const answer_request& a) const
{
    const recorded_answer not_kept{a.status, "", false};
    const request_number of = a.body_of.value() == 0 ? a.request : a.body_of;
    if (a.source == body_source::claim) {
        const auto found = open_.find(of);
        return found == open_.end() ? not_kept : found->second.recorded;
    }
    const auto found = answers_.find({of, a.send});
    return found == answers_.end() ? not_kept : recorded_answer{a.status, found->second, true};
}

void service_gate::answer(const answer_request& a)
{
    open_request& open = open_.at(a.request);
    const duration latency = read_clock() - open.received;
    http_response response;
    response.status = a.status;
    recorded_answer found = a.outcome == request_outcome::done ? find_answer(a) : recorded_answer{};
    const bool body_lost = a.outcome == request_outcome::done && !found.kept;
    if (body_lost) {
        response = make_error(502, "answer_not_kept", "", "it ran, but its answer was not kept");
    }
    else if (a.outcome == request_outcome::done) {
        response.body = std::move(found.body);
    }
    else {
        response = make_error(a.status, std::string(reason_names.at(static_cast<std::size_t>(a.reason))), "", a.detail);
    }
    const request_outcome told = body_lost ? request_outcome::unknown : a.outcome;
    response.headers.emplace_back("Outcome", outcome_names.at(static_cast<std::size_t>(told)));
    if (a.retry_after.count() > 0) {
        response.headers.emplace_back("Retry-After-Ms",
                                      std::to_string(std::max<std::int64_t>(1, whole_ms(a.retry_after))));
    }
    open.reply(std::move(response));
    open.answered = true;
    finished_.push_back(a.request);
    edges_.record({service_, open.key.team, told, latency, open.kind.latency_target});
}

void service_gate::probe(const probe_target& a)
{
    check_target(edges_.targets, a.address, probe_timeout,
                 [self = shared_from_this(), target = a.target](probe_outcome outcome) {
                     self->post(target_probed{target, outcome});
                 });
}

// A request's bodies go once its caller has the answer, its last send has ended and its claim is settled: forgotten
// with a claim on its way, that claim could not be released and would hold the key although nothing ran.
void service_gate::drop_finished()
{
    for (const request_number number : finished_) {
        const auto found = open_.find(number);
        if (found == open_.end()) {
            continue;
        }
        const open_request& open = found->second;
        if (!open.answered || open.sends_open > 0 || open.claim_open) {
            continue;
        }
        open_.erase(found);
        const auto first = answers_.lower_bound({number, send_number()});
        const auto last = answers_.lower_bound({number.next(), send_number()});
        answers_.erase(first, last);
    }
    finished_.clear();
}

gate_stats service_gate::stats() const
{
    absl::MutexLock lock(&mutex_);
    return gate_.stats();
}

bool service_gate::drained() const
{
    absl::MutexLock lock(&mutex_);
    return drained_ && open_.empty();
}

bool service_gate::has_targets() const
{
    absl::MutexLock lock(&mutex_);
    return has_targets_;
}

void service_gate::refresh_settings()
{
    const auto rules = edges_.rules(service_);
    if (!rules) {
        return;
    }
    absl::MutexLock lock(&mutex_);
    kind_ = rules->kind;
    gate_.change_settings(rules->gate);
}

} // namespace skylarkhub
