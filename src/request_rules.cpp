#include "request_rules_p.h"

#include <array>

namespace skylarkhub {

namespace {

struct reason_row {
    answer_reason reason;
    bool runs_unknown; // also when no bytes left this entry: another run may exist
    int status;        // when it did not run
};

constexpr std::array<reason_row, answer_reason_count> reasons{{
    {answer_reason::none, false, 200},
    {answer_reason::too_large, false, 413},
    {answer_reason::queue_full, false, 429},
    {answer_reason::wait_too_long, false, 429},
    {answer_reason::no_target, false, 503},
    {answer_reason::target_refused, false, 503},
    {answer_reason::stopping, false, 503},
    {answer_reason::claim_unreachable, false, 503},
    {answer_reason::key_mismatch, false, 400},
    {answer_reason::claimed_elsewhere, true, 502},
    {answer_reason::claim_owner_lost, true, 502},
    {answer_reason::deadline_passed, false, 503},
    {answer_reason::target_failed, true, 502},
}};

const reason_row& row_of(answer_reason reason)
{
    const auto index = static_cast<std::size_t>(reason);
    static_assert(reasons.size() == static_cast<std::size_t>(answer_reason::target_failed) + 1);
    return reasons[index];
}

} // namespace

send_rules rules_of(const work_kind& kind)
{
    // A billed request that runs twice bills twice, whatever its kind says of idempotence; an exclusive one must not be
    // in two places at once, and an unknown outcome means that the first run may still live.
    const bool once = !kind.idempotent || kind.billed || kind.exclusive;
    return {.may_run_again = !once, .may_hedge = !once && kind.latency_critical, .claims_key = once};
}

request_outcome outcome_of(answer_reason reason, bool bytes_left)
{
    if (reason == answer_reason::none) {
        return request_outcome::done;
    }
    return bytes_left || row_of(reason).runs_unknown ? request_outcome::unknown : request_outcome::did_not_run;
}

int status_of(answer_reason reason, bool bytes_left)
{
    constexpr int gateway_timeout = 504;
    constexpr int bad_gateway = 502;
    if (outcome_of(reason, bytes_left) != request_outcome::unknown) {
        return row_of(reason).status;
    }
    return reason == answer_reason::deadline_passed ? gateway_timeout : bad_gateway;
}

} // namespace skylarkhub
