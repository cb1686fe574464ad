// How sends end, whether they are tried again, and what the caller is told.
#include <algorithm>

#include "request_state_p.h"

namespace skylarkhub {

void request_gate::engine::on(const target_answered& event)
{
    const auto found = sends.find({event.request, event.send});
    if (found == sends.end()) {
        return; // a second end of the same send: the first one settled it
    }
    const send_state ended = std::move(found->second);
    sends.erase(found);
    const duration took = now - ended.sent;
    // A send that was given less time than an answer usually takes says nothing about its target.
    const bool blame = took < ended.time_left || static_cast<double>(took.count()) > 2 * targets.mean_service();
    if (event.outcome == send_outcome::did_not_run) {
        (targets.at(ended.target).local ? counts.refusals_inside : counts.refusals_elsewhere) += 1;
    }
    table_news news;
    targets.count_end(now, ended.target, event.outcome, took, blame, news);
    pass_on(news);

    const auto waiting = requests.find(event.request);
    if (waiting == requests.end()) {
        note_late(event, ended);
        return dispatch();
    }
    request_state& state = waiting->second;
    state.sends_open -= 1;
    state.may_have_run |= event.outcome == send_outcome::unknown;
    state.retry_after = std::max(state.retry_after, event.retry_after);
    const bool again = event.outcome != send_outcome::unknown || state.rules.may_run_again;
    if (event.outcome == send_outcome::done) {
        finish_done(event.request, body_source::send, event.send);
    }
    else if (!again) {
        finish(event.request, answer_reason::target_failed, event.reason);
    }
    else if (state.sends_open == 0) {
        retry_or_refuse(event.request, state);
    }
    dispatch();
}

// The caller has its answer already. The answer to a claimed request is kept for the caller's next try; one that
// certainly did not run frees the key.
void request_gate::engine::note_late(const target_answered& event, const send_state& ended)
{
    counts.late_answers += 1;
    if (!ended.keep_answer) {
        return;
    }
    if (event.outcome == send_outcome::done) {
        actions->emplace_back(record_claim_answer{event.request, ended.team, ended.key, event.send});
    }
    else if (event.outcome != send_outcome::unknown) {
        actions->emplace_back(release_claim{event.request, ended.team, ended.key});
    }
}

// Called when no send of the request is open: its last one failed in a way that allows another.
void request_gate::engine::retry_or_refuse(request_number request, request_state& state)
{
    const bool worth_it = targets.usable() > 0 && can_meet(state, queue.ahead_of(state.deadline));
    if (!worth_it || !retries.spend()) {
        return finish(request, state.may_have_run ? answer_reason::target_failed : answer_reason::target_refused);
    }
    counts.retries += 1;
    clear_timer(request, state);
    state.hedge_at = instant::max();
    set_timer(request, state);
    enqueue(request, state);
}

// Takes the request out of everything but the sends that are still open.
request_state request_gate::engine::take(request_number request)
{
    const auto found = requests.find(request);
    request_state state = std::move(found->second);
    requests.erase(found);
    clear_timer(request, state);
    drop_from_queue(request, state);
    const auto leads = keys.find({state.team, state.key});
    if (leads != keys.end() && leads->second == request) {
        keys.erase(leads);
    }
    return state;
}

void request_gate::engine::finish_done(request_number request, body_source source, send_number send)
{
    const request_state state = take(request);
    if (state.claimed) {
        actions->emplace_back(record_claim_answer{request, state.team, state.key, send});
    }
    tell_all(request, state, {.source = source, .body_of = request, .send = send}, true);
}

// The final answer without a body, given at once: a caller that is kept waiting after its request was given up cannot
// turn elsewhere in time.
void request_gate::engine::finish(request_number request, answer_reason reason, const std::string& detail)
{
    const request_state state = take(request);
    const bool may_have_run = state.may_have_run || state.sends_open > 0 || state.phase == request_phase::following;
    const request_outcome outcome = outcome_of(reason, may_have_run);
    settle_claim(request, state, outcome);
    answer_request told{.reason = reason, .detail = detail};
    if (outcome == request_outcome::did_not_run || reason == answer_reason::claimed_elsewhere) {
        told.retry_after = std::max(suggest_return(queue.size()), state.retry_after);
    }
    tell_all(request, state, told, may_have_run);
}

void request_gate::engine::tell_all(request_number request, const request_state& state, const answer_request& told,
                                    bool may_have_run)
{
    tell(request, told, may_have_run);
    for (const request_number follower : state.followers) {
        if (requests.contains(follower)) { // else its own deadline came first
            take(follower);
            tell(follower, told, may_have_run);
        }
    }
}

void request_gate::engine::tell(request_number request, answer_request told, bool may_have_run)
{
    told.request = request;
    told.outcome = outcome_of(told.reason, may_have_run);
    told.status = status_of(told.reason, may_have_run);
    counts.done += told.outcome == request_outcome::done ? 1 : 0;
    counts.did_not_run += told.outcome == request_outcome::did_not_run ? 1 : 0;
    counts.unknown += told.outcome == request_outcome::unknown ? 1 : 0;
    counts.reasons[static_cast<std::size_t>(told.reason)] += 1;
    actions->emplace_back(std::move(told));
}

} // namespace skylarkhub
