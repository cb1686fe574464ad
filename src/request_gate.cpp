#include "request_gate_p.h"

#include <absl/random/distributions.h>

#include <algorithm>

#include "request_state_p.h"

namespace skylarkhub {

namespace {

constexpr double micros_per_second = 1e6;
// Refused callers come back spread over as much time again, not all at once.
constexpr double return_spread = 1.0;

duration deadline_of(const request_arrived& event)
{
    if (event.time_left > duration{0}) {
        return event.time_left;
    }
    return event.kind.deadline > duration{0} ? event.kind.deadline : config::deadline_default;
}

} // namespace

request_gate::engine::engine(service_id of, data_centre_id own, gate_settings limits, std::uint64_t seed)
    : service(std::move(of)),
      settings(limits),
      targets(std::move(own), seed),
      random(make_random(seed + 1)),
      retries(limits.retry_share),
      hedges(limits.hedge_share)
{}

void request_gate::engine::on(const request_arrived& event)
{
    counts.arrived += 1;
    request_state state{.rules = rules_of(event.kind),
                        .latency_critical = event.kind.latency_critical,
                        .team = event.team,
                        .key = event.idempotency_key,
                        .fingerprint = event.fingerprint,
                        .deadline = now + deadline_of(event)};
    if (!stopping && follow(event.request, state)) {
        return;
    }
    const answer_reason refusal = refusal_of(event, state);
    standing.note_arrival(now, refusal != answer_reason::none, targets.mean_service());
    if (refusal != answer_reason::none) {
        const bool later = refusal != answer_reason::too_large;
        return tell(event.request,
                    {.reason = refusal, .retry_after = later ? suggest_return(queue.size()) : duration{0}}, false);
    }
    retries.earn();
    hedges.earn();
    const bool claim_first = state.rules.claims_key && !state.key.empty();
    request_state& kept = requests[event.request] = std::move(state);
    if (claim_first) {
        start_claim(event.request, kept);
    }
    else {
        enqueue(event.request, kept);
    }
    set_timer(event.request, kept);
    dispatch();
}

// Why the request is turned away before anything is done for it; none when it is taken in.
answer_reason request_gate::engine::refusal_of(const request_arrived& event, const request_state& state) const
{
    if (stopping) {
        return answer_reason::stopping;
    }
    if (event.body_bytes > settings.body_bytes_most) {
        return answer_reason::too_large;
    }
    if (targets.usable() == 0) {
        return answer_reason::no_target;
    }
    if (queue.size() + claims_open >= static_cast<std::size_t>(settings.queue_length)) {
        return answer_reason::queue_full;
    }
    const bool hopeless = !queue.empty() && !may_wait(state, queue.ahead_of(state.deadline));
    return hopeless ? answer_reason::wait_too_long : answer_reason::none;
}

void request_gate::engine::on(const targets_seen& event)
{
    table_news news;
    targets.see_targets(now, event, news);
    pass_on(news);
    dispatch();
}

void request_gate::engine::on(const entries_seen& event)
{
    targets.see_entries(now, event);
    dispatch();
}

void request_gate::engine::on(const target_probed& event)
{
    table_news news;
    targets.see_probe(now, event, news);
    pass_on(news);
    dispatch();
}

void request_gate::engine::on(const gate_tick& /*event*/)
{
    table_news news;
    targets.tick(now, news);
    pass_on(news);
    run_timers();
    dispatch();
}

void request_gate::engine::on(const gate_stop_planned& /*event*/)
{
    stopping = true;
}

void request_gate::engine::pass_on(table_news& news)
{
    for (probe_target& probe : news.probes) {
        actions->emplace_back(std::move(probe));
    }
    for (gate_notice& notice : news.notices) {
        actions->emplace_back(std::move(notice));
    }
}

void request_gate::engine::enqueue(request_number request, request_state& state)
{
    state.phase = request_phase::queued;
    state.queued = now;
    queue.add(state.deadline, request);
}

void request_gate::engine::drop_from_queue(request_number request, const request_state& state)
{
    if (state.phase == request_phase::queued) {
        queue.remove(state.deadline, request);
    }
}

// How long a request waits until its turn comes, with so many ahead of it.
double request_gate::engine::wait_micros(std::size_t ahead) const
{
    const double rate = targets.service_rate();
    const double one_by_one = micros_per_second / targets.mean_service();
    return micros_per_second * static_cast<double>(ahead) / std::max(rate, one_by_one);
}

// With nothing in flight the estimates may be stale, and refusing would keep them so: then the request is the trial.
bool request_gate::engine::can_meet(const request_state& state, std::size_t ahead) const
{
    if (sends.empty() && ahead == 0) {
        return now < state.deadline;
    }
    const double left = static_cast<double>((state.deadline - now).count());
    return wait_micros(ahead) + targets.mean_service() <= left;
}

bool request_gate::engine::may_wait(const request_state& state, std::size_t ahead) const
{
    const bool too_long = state.latency_critical && wait_micros(ahead) > standing.wait_most(targets.mean_service());
    return !too_long && can_meet(state, ahead);
}

duration request_gate::engine::suggest_return(std::size_t ahead)
{
    const double wait = wait_micros(ahead) * (1 + absl::Uniform(random, 0.0, return_spread));
    const duration spread(static_cast<std::int64_t>(static_cast<double>(config::retry_after_least.count()) *
                                                    absl::Uniform(random, 0.0, return_spread)));
    const duration whole = config::retry_after_least + spread + duration(static_cast<std::int64_t>(wait));
    return std::min(whole, config::retry_after_most);
}

void request_gate::engine::dispatch()
{
    review_queue();
    while (!queue.empty() && dispatch_one()) {
    }
    if (queue.empty()) {
        standing.note_empty();
        next_review = instant::max();
    }
    else if (next_review == instant::max()) {
        next_review = now + config::queue_tick;
    }
}

bool request_gate::engine::dispatch_one()
{
    const request_number request = queue.front().second;
    request_state& state = requests.at(request);
    const auto target = targets.pick(now, state.last_target);
    if (!target) {
        return false;
    }
    drop_from_queue(request, state);
    if (state.sends == 0) { // one that is sent again goes to the front and says nothing about the queue
        standing.note_wait(now - state.queued);
    }
    send(request, state, *target);
    return true;
}

void request_gate::engine::send(request_number request, request_state& state, target_handle target)
{
    const auto& seen = targets.at(target).seen;
    const duration left = state.deadline - now;
    state.sends += 1;
    state.sends_open += 1;
    state.last_target = target;
    state.phase = request_phase::in_flight;
    counts.sends += 1;
    counts.spills += targets.at(target).local ? 0 : 1;
    const send_number number(state.sends);
    targets.count_send(now, target);
    sends[{request, number}] = send_state{.target = target, .sent = now, .time_left = left};
    // A claimed request's answer is worth keeping for the caller's own retry even when it misses the deadline.
    const duration wait = state.claimed ? left + config::claim_answer_grace : left;
    actions->emplace_back(send_request{.request = request,
                                       .send = number,
                                       .target = seen.target,
                                       .address = seen.address,
                                       .time_left = left,
                                       .answer_wait = wait,
                                       .send_once = !state.rules.may_run_again});
    clear_timer(request, state);
    const bool hedgeable = state.rules.may_hedge && state.sends == 1 && targets.slow_service() > 0;
    state.hedge_at = hedgeable ? now + duration(static_cast<std::int64_t>(targets.slow_service())) : instant::max();
    set_timer(request, state);
}

// A second send of a request that takes longer than most. Never while others wait for a slot: in an overload every
// request is late, and hedging them would double the load.
void request_gate::engine::hedge(request_number request, request_state& state)
{
    clear_timer(request, state);
    state.hedge_at = instant::max();
    set_timer(request, state);
    const bool worth_it = state.phase == request_phase::in_flight && state.sends_open == 1 && queue.empty() &&
                          static_cast<double>((state.deadline - now).count()) > targets.mean_service();
    if (!worth_it) {
        return;
    }
    const auto target = targets.pick_hedge(now, state.last_target);
    if (target && hedges.spend()) {
        counts.hedges += 1;
        send(request, state, *target);
    }
}

// Refuses at once whoever can no longer be served in time, instead of keeping it until its deadline: its slot would go
// to work that nobody waits for, and the next in the queue would be late as well.
void request_gate::engine::review_queue()
{
    if (queue.empty() || now < next_review) {
        return;
    }
    next_review = now + config::queue_tick;
    std::vector<request_number> hopeless;
    std::size_t ahead = 0;
    for (const auto& [deadline, request] : queue) {
        if (may_wait(requests.at(request), ahead)) {
            ++ahead;
        }
        else {
            hopeless.push_back(request);
        }
    }
    for (const request_number request : hopeless) {
        finish(request, answer_reason::wait_too_long);
    }
}

void request_gate::engine::set_timer(request_number request, const request_state& state)
{
    timers.insert({std::min(state.deadline, state.hedge_at), request});
}

void request_gate::engine::clear_timer(request_number request, const request_state& state)
{
    timers.erase({std::min(state.deadline, state.hedge_at), request});
}

void request_gate::engine::run_timers()
{
    while (!timers.empty() && timers.begin()->first <= now) {
        const request_number request = timers.begin()->second;
        request_state& state = requests.at(request);
        if (now >= state.deadline) {
            finish(request, answer_reason::deadline_passed);
        }
        else {
            hedge(request, state);
        }
    }
}

request_gate::request_gate(service_id service, data_centre_id own, gate_settings settings, std::uint64_t seed)
    : engine_(std::make_unique<engine>(std::move(service), std::move(own), settings, seed))
{}

request_gate::~request_gate() = default;
request_gate::request_gate(request_gate&&) noexcept = default;
request_gate& request_gate::operator=(request_gate&&) noexcept = default;

void request_gate::decide(instant now, const gate_event& event, std::vector<gate_action>& actions)
{
    engine_->now = now;
    engine_->actions = &actions;
    std::visit([&](const auto& each) { engine_->on(each); }, event);
    const bool idle = engine_->requests.empty() && engine_->sends.empty() && engine_->abandoned_claims.empty();
    if (engine_->stopping && idle && !engine_->drained) {
        engine_->drained = true;
        actions.emplace_back(gate_drained{});
    }
}

instant request_gate::next_wake() const
{
    instant wake = std::min(engine_->targets.next_wake(), engine_->next_review);
    if (!engine_->timers.empty()) {
        wake = std::min(wake, engine_->timers.begin()->first);
    }
    return wake;
}

void request_gate::change_settings(gate_settings settings)
{
    engine_->settings = settings;
    engine_->retries.change_share(settings.retry_share);
    engine_->hedges.change_share(settings.hedge_share);
}

gate_stats request_gate::stats() const
{
    if (!engine_) {
        return {};
    }
    gate_stats out = engine_->counts;
    out.ejections = engine_->targets.ejections();
    out.queued = static_cast<std::int32_t>(engine_->queue.size());
    out.in_flight = static_cast<std::int32_t>(engine_->sends.size());
    out.targets_usable = engine_->targets.usable();
    out.targets_known = engine_->targets.known();
    return out;
}

} // namespace skylarkhub
