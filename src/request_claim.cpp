// Requests that must not run twice, with a key of the caller's: one claim in the table, one run, one answer for all.
#include "request_state_p.h"

namespace skylarkhub {

// A caller that asks again while its first request is on its way through this entry waits for that one's answer.
bool request_gate::engine::follow(request_number request, request_state& state)
{
    if (!state.rules.claims_key || state.key.empty()) {
        return false;
    }
    const auto found = keys.find({state.team, state.key});
    if (found == keys.end()) {
        return false;
    }
    request_state& leader = requests.at(found->second);
    if (leader.fingerprint != state.fingerprint) {
        tell(request, {.reason = answer_reason::key_mismatch}, false);
        return true;
    }
    leader.followers.push_back(request);
    state.phase = request_phase::following;
    set_timer(request, state);
    requests[request] = std::move(state);
    return true;
}

// The claim is asked for once the request is admitted, so that an overload costs no writes, and before it queues, so
// that the write and the wait for a slot overlap.
void request_gate::engine::start_claim(request_number request, request_state& state)
{
    state.phase = request_phase::claiming;
    state.claim_open = true;
    claims_open += 1;
    keys[{state.team, state.key}] = request;
    actions->emplace_back(claim_request{.request = request,
                                        .team = state.team,
                                        .key = state.key,
                                        .fingerprint = state.fingerprint,
                                        .time_left = state.deadline - now});
}

void request_gate::engine::on(const claim_ended& event)
{
    const bool ours_perhaps = event.outcome == claim_outcome::claimed || event.outcome == claim_outcome::unreachable;
    const auto abandoned = abandoned_claims.find(event.request);
    if (abandoned != abandoned_claims.end()) {
        claims_open -= 1;
        if (ours_perhaps) {
            actions->emplace_back(release_claim{event.request, abandoned->second.first, abandoned->second.second});
        }
        abandoned_claims.erase(abandoned);
        return;
    }
    const auto waiting = requests.find(event.request);
    if (waiting == requests.end() || !waiting->second.claim_open) {
        return; // a second end of the same claim
    }
    request_state& state = waiting->second;
    claims_open -= 1;
    state.claim_open = false;
    switch (event.outcome) {
    case claim_outcome::claimed:
        state.claimed = true;
        enqueue(event.request, state);
        return dispatch();
    case claim_outcome::answered:
        return finish_done(event.request, body_source::claim, send_number{});
    case claim_outcome::in_progress:
        return finish(event.request, answer_reason::claimed_elsewhere, event.reason);
    case claim_outcome::owner_lost:
        return finish(event.request, answer_reason::claim_owner_lost, event.reason);
    case claim_outcome::mismatch:
        return finish(event.request, answer_reason::key_mismatch, event.reason);
    case claim_outcome::unreachable:
        // The write may still take effect; without the tombstone the key would stay claimed by a request that was
        // refused, and the caller's retry would never run.
        actions->emplace_back(release_claim{event.request, state.team, state.key});
        return finish(event.request, answer_reason::claim_unreachable, event.reason);
    }
}

// What becomes of the claim when the caller is answered without a result.
void request_gate::engine::settle_claim(request_number request, const request_state& state, request_outcome outcome)
{
    if (state.claim_open) {
        abandoned_claims[request] = {state.team, state.key};
    }
    if (!state.claimed) {
        return;
    }
    if (outcome == request_outcome::did_not_run) {
        actions->emplace_back(release_claim{request, state.team, state.key});
        return;
    }
    const auto open = sends.find({request, send_number(state.sends)});
    if (open != sends.end()) {
        open->second.keep_answer = true;
        open->second.team = state.team;
        open->second.key = state.key;
    }
}

} // namespace skylarkhub
