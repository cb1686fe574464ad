// The request path of one service at one entry: admission, queue, choice of target, retries, hedges and the caller's
// final answer. Pure: bodies stay with the daemon, keyed by request number; the gate sees sizes and outcomes only.
// One gate per service, so gates can be sharded each under its own lock.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "config.h"
#include "route_types_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

using request_number = detail::counter<struct request_number_tag>; // unique in one life of an entry
using send_number = detail::counter<struct send_number_tag>;       // of one request's sends, from 1

// --- events ---

// Time left until the caller's deadline; 0 takes the kind's deadline, else config::deadline_default.
struct request_arrived {
    request_number request;
    team_id team;
    work_kind kind;
    std::string idempotency_key; // empty: none
    std::string fingerprint;     // hash of the body; the same key with another body is a conflict
    duration time_left{0};
    std::int64_t body_bytes = 0;
};

// Exactly one for each send_request, however it ends, also when the caller has its answer already: it settles the
// slot. A daemon that never reports an end leaks one slot of the target.
struct target_answered {
    request_number request;
    send_number send;
    send_outcome outcome = send_outcome::unknown;
    duration retry_after{0}; // as the target said, 0 when it did not
    std::string reason;
};

// claimed: durable, ours. answered: ran before, the daemon holds the recorded answer. in_progress: another live entry
// holds it. owner_lost: its holder is gone, so whether it ran cannot be known. mismatch: key used with another body.
// unreachable: the table did not confirm; the claim may still take effect later.
enum class claim_outcome : std::uint8_t { claimed, answered, in_progress, owner_lost, mismatch, unreachable };

// Exactly one for each claim_request.
struct claim_ended {
    request_number request;
    claim_outcome outcome = claim_outcome::unreachable;
    std::string reason;
};

struct gate_tick {};
// A planned stop of this entry: new requests are refused, accepted ones are served to their end.
struct gate_stop_planned {};

using gate_event = std::variant<request_arrived, target_answered, claim_ended, targets_seen, entries_seen,
                                target_probed, gate_tick, gate_stop_planned>;

// --- actions ---

struct send_request {
    request_number request;
    send_number send;
    target_id target;
    net_address address;
    duration time_left{0};   // passed on as Deadline-Ms
    duration answer_wait{0}; // most to wait for the answer; above time_left when a late one is worth keeping
    bool send_once = false;  // a fresh connection: a library's own resend must not run it twice
};

// Write the claim durably, or learn who has it. Only for keyed requests that must not run twice.
struct claim_request {
    request_number request;
    team_id team;
    std::string key;
    std::string fingerprint;
    duration time_left{0};
};
// Keep the answer of this send under the claim, for the caller's own retries. The caller does not wait for it.
struct record_claim_answer {
    request_number request;
    team_id team;
    std::string key;
    send_number send;
};
// The claimed request certainly did not run: mark the claim not_run (a tombstone, as the claim may be still on its
// way), so that the caller's retry may run. The caller does not wait for it.
struct release_claim {
    request_number request;
    team_id team;
    std::string key;
};

enum class request_outcome : std::uint8_t { done, did_not_run, unknown };
enum class answer_reason : std::uint8_t {
    none,
    too_large,         // did_not_run
    queue_full,        // did_not_run
    wait_too_long,     // did_not_run: the expected wait cannot meet the deadline
    no_target,         // did_not_run
    target_refused,    // did_not_run: every try was refused, or the retry budget is spent
    stopping,          // did_not_run
    claim_unreachable, // did_not_run
    key_mismatch,      // did_not_run: the key was used with another body
    claimed_elsewhere, // unknown: the same key is running now, ask again
    claim_owner_lost,  // unknown
    deadline_passed,   // unknown when bytes had left, else did_not_run
    target_failed,     // unknown
};
inline constexpr std::size_t answer_reason_count = 13;
// Where the body of a `done` answer is: the answer to `send` of request `body_of` (which differs from `request` when
// two callers used the same key), or the answer recorded with the claim.
enum class body_source : std::uint8_t { none, send, claim };

// The caller's final answer, once for each request. The daemon may drop the bodies of `request` after it has carried
// out all actions of this call.
struct answer_request {
    request_number request;
    request_outcome outcome = request_outcome::unknown;
    answer_reason reason = answer_reason::none;
    int status = 0;          // of HTTP, see docs/PROTOCOLS.md
    duration retry_after{0}; // 0: not given
    body_source source = body_source::none;
    request_number body_of;
    send_number send;
    std::string detail;
};

// After gate_stop_planned: every caller has its answer and every send its end.
struct gate_drained {};
using gate_action = std::variant<send_request, claim_request, record_claim_answer, release_claim, answer_request,
                                 probe_target, gate_drained, gate_notice>;

// --- the gate ---

struct gate_settings {
    std::int32_t queue_length = config::queue_length_default;
    std::int64_t body_bytes_most = config::body_bytes_most;
    double retry_share = config::retry_share_default;
    double hedge_share = config::hedge_share_default;
};

struct gate_stats {
    std::int64_t arrived = 0;
    std::int64_t done = 0;
    std::int64_t did_not_run = 0;
    std::int64_t unknown = 0;
    std::int64_t sends = 0;
    std::int64_t retries = 0;
    std::int64_t hedges = 0;
    std::int64_t ejections = 0;
    std::int64_t spills = 0;          // sends to another data centre
    std::int64_t refusals_inside = 0; // by targets of the own data centre that had no slot left
    std::int64_t refusals_elsewhere = 0;
    std::array<std::int64_t, answer_reason_count> reasons{}; // answers by answer_reason
    std::int64_t late_answers = 0;                           // ends of sends whose caller had its answer already
    std::int32_t queued = 0;
    std::int32_t in_flight = 0;
    std::int32_t targets_usable = 0;
    std::int32_t targets_known = 0;
};

class request_gate {
public:
    // `seed` feeds every random choice: two gates with the same seed and events act alike.
    request_gate(service_id service, data_centre_id own, gate_settings settings, std::uint64_t seed);
    ~request_gate();
    request_gate(request_gate&&) noexcept;
    request_gate& operator=(request_gate&&) noexcept;

    // The only way in: takes one event at `now` and appends what is to be done, in order.
    void decide(instant now, const gate_event& event, std::vector<gate_action>& actions);

    // When the next gate_tick is due at the latest; instant::max() when nothing waits.
    instant next_wake() const;

    void change_settings(gate_settings settings);
    gate_stats stats() const;

private:
    struct engine;
    std::unique_ptr<engine> engine_;
};

// --- judging a target's HTTP answer ---

struct target_reply {
    bool answered = false;        // a whole HTTP answer arrived
    bool may_have_arrived = true; // false only when no byte of the request can have left
    int status = 0;
    std::string request_id;   // header Request-Id of the answer, empty when absent
    bool did_not_run = false; // header Did-Not-Run: true
    bool oversized = false;   // the body went over the limit and was cut
};

// Done only for a whole 200 that repeats our Request-Id: a late, crossed, short or oversized answer is never another
// caller's. did_not_run only for a 503 that says so and, when it names a request, names ours.
send_outcome judge_reply(const target_reply& reply, const std::string& request_id);

} // namespace skylarkhub
