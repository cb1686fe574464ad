#include "support_calls.h"

#include <boost/core/demangle.hpp>
#include <fmt/format.h>

#include <algorithm>

#include "request_rules_p.h"

namespace skylarkhub::test {

using namespace std::chrono_literals;

namespace {

constexpr duration tick_interval = 250ms;
constexpr duration target_list_lag = 3s; // after which one that does not register is dropped
constexpr duration claim_timeout = 500ms;
constexpr duration late_effect = 2s;
constexpr duration caller_patience = 3s; // beyond its deadline
constexpr duration caller_pause = 300ms;
constexpr duration stop_grace = 20s;
constexpr duration drain_poll = 20ms;

const data_centre_id here("a");

template <class T> std::string type_name()
{
    const std::string name = boost::core::demangle(typeid(T).name());
    return name.substr(name.rfind(':') + 1);
}

call_outcome told_as(request_outcome outcome)
{
    switch (outcome) {
    case request_outcome::done:
        return call_outcome::done;
    case request_outcome::did_not_run:
        return call_outcome::did_not_run;
    case request_outcome::unknown:
        break;
    }
    return call_outcome::unknown;
}

} // namespace

work_kind quick_check()
{
    return {.id = kind_id("check"), .latency_critical = true, .deadline = 1s};
}

work_kind bulletin()
{
    return {.id = kind_id("bulletin"), .latency_critical = true, .exclusive = true, .deadline = 1s};
}

work_kind digest()
{
    return {.id = kind_id("digest"), .idempotent = false, .billed = true, .deadline = 2s};
}

call_world::call_world(call_options options)
    : options_(std::move(options)), random_(options_.seed), now_(1'000'000s), start_(now_)
{
    targets_.resize(static_cast<std::size_t>(options_.targets));
    for (int t = 0; t < options_.targets; ++t) {
        target(t).id = target_id(fmt::format("t{}.0", t + 1));
    }
    entries_.resize(static_cast<std::size_t>(options_.entries));
    for (int e = 0; e < options_.entries; ++e) {
        entry(e).name = fmt::format("e{}", e + 1);
        entry(e).clock_offset = instant(duration(absl::Uniform<std::int64_t>(random_, 0, 1'000'000'000)));
        boot(e);
        tick(e);
    }
}

// --- time ---

void call_world::after(duration d, std::function<void()> what)
{
    events_.emplace(std::pair(now_ + d, events_added_++), std::move(what));
}

void call_world::at(duration since_start, std::function<void()> what)
{
    after(start_ + since_start - now_, std::move(what));
}

void call_world::run_for(duration d)
{
    const wall_time until = now_ + d;
    while (!events_.empty() && events_.begin()->first.first <= until) {
        auto next = events_.extract(events_.begin());
        now_ = next.key().first;
        next.mapped()();
    }
    now_ = until;
}

// --- processes ---

void call_world::boot(int e)
{
    entry_state& s = entry(e);
    ++s.life;
    s.gate.emplace(service_id("team/pages"), here, gate_settings{}, options_.seed + static_cast<std::uint64_t>(e));
    s.frozen_until = {};
    s.stopping = false;
}

void call_world::end_process(int e, duration away)
{
    entry_state& s = entry(e);
    const auto cut = std::move(s.calls);
    s.gate.reset();
    s.calls.clear();
    s.names.clear();
    s.bodies.clear();
    s.claimed_answers.clear();
    s.gone.clear();
    s.held.clear();
    s.outbox.clear();
    const int life = ++s.life;
    for (const auto& [number, request] : cut) {
        history_.add(now_, request_cut{s.name, request.name});
        end_call(request, call_outcome::unknown, "");
    }
    after(away, [this, e, life] {
        if (entry(e).life == life) {
            boot(e);
        }
    });
}

void call_world::kill(int e, duration away)
{
    if (entry(e).gate) {
        history_.add(now_, process_died{entry(e).name});
        end_process(e, away);
    }
}

void call_world::freeze(int e, duration d)
{
    entry(e).frozen_until = std::max(entry(e).frozen_until, now_ + d);
    history_.add(now_, entry_away{entry_id(entry(e).name)});
    const int life = entry(e).life;
    after(d, [this, e, life] {
        entry_state& s = entry(e);
        if (s.life != life || s.frozen_until > now_) {
            return;
        }
        history_.add(now_, entry_back{entry_id(s.name)});
        flush(e);
        while (s.life == life && !s.held.empty() && s.frozen_until <= now_) {
            const gate_event event = std::move(s.held.front());
            s.held.pop_front();
            deliver(e, life, event);
        }
    });
}

void call_world::stop_by_plan(int e)
{
    const int life = entry(e).life;
    if (!entry(e).gate) {
        return;
    }
    history_.add(now_, stop_planned{entry(e).name});
    entry(e).stopping = true;
    if (!options_.stops_drain) {
        end_process(e, 2s);
        return;
    }
    deliver(e, life, gate_stop_planned{});
    after(stop_grace, [this, e, life] {
        if (entry(e).life == life) {
            end_process(e, 2s);
        }
    });
}

// It refuses what is new, ends what it runs, and comes back later as another target.
void call_world::leave(int t, duration away)
{
    target_state& s = target(t);
    if (s.leaving || s.down_until > now_) {
        return;
    }
    s.leaving = true;
    s.left_at = now_;
    history_.add(now_, target_leaving{s.id});
    after(away, [this, t, life = s.life] {
        if (target(t).life == life) {
            lose_target(t, 0s);
        }
    });
}

void call_world::lose_target(int t, duration away)
{
    target_state& s = target(t);
    s.leaving = false;
    s.running = 0;
    s.id = target_id(fmt::format("t{}.{}", t + 1, ++s.life));
    s.down_until = std::max(s.down_until, now_ + away);
}

void call_world::stall_target(int t, duration d)
{
    target(t).stalled_until = now_ + d;
    target(t).stall = d;
}

// --- events in ---

void call_world::tick(int e)
{
    after(tick_interval, [this, e] { tick(e); });
    tell_lists(e);
    deliver(e, entry(e).life, gate_tick{});
}

void call_world::tell_lists(int e)
{
    if (lists_stale_until_ > now_ || !entry(e).gate) {
        return;
    }
    entries_seen entries;
    entries.in_data_centre = 0;
    for (int other = 0; other < options_.entries; ++other) {
        entries.in_data_centre += entry(other).gate ? 1 : 0;
        entries.rank_in_data_centre += entry(other).gate && other < e ? 1 : 0;
    }
    entries.everywhere = entries.in_data_centre;
    entries.rank_everywhere = entries.rank_in_data_centre;
    deliver(e, entry(e).life, entries);
    targets_seen seen;
    for (const target_state& t : targets_) {
        if (t.down_until <= now_ + target_list_lag) {
            const bool listed = t.leaving && now_ - t.left_at >= options_.list_lag;
            seen.targets.push_back({t.id, here, net_address(t.id.str() + ":80"), options_.slots, 60, listed});
        }
    }
    deliver(e, entry(e).life, seen);
}

void call_world::wake(int e)
{
    entry_state& s = entry(e);
    if (!s.gate || s.gate->next_wake() == instant::max()) {
        return;
    }
    const instant clock = s.clock_offset + (now_ - start_);
    const duration wait = std::max(s.gate->next_wake() - clock, duration(1000));
    if (wait < tick_interval) {
        after(wait, [this, e, life = s.life] {
            if (entry(e).life == life && entry(e).gate->next_wake() <= entry(e).clock_offset + (now_ - start_)) {
                deliver(e, life, gate_tick{});
            }
        });
    }
}

void call_world::deliver(int e, int life, const gate_event& event)
{
    entry_state& s = entry(e);
    if (s.life != life || !s.gate) {
        return;
    }
    if (s.frozen_until > now_) {
        s.held.push_back(event);
        return;
    }
    std::vector<gate_action> actions;
    s.gate->decide(s.clock_offset + (now_ - start_), event, actions);
    for (gate_action& action : actions) {
        s.outbox.push_back(std::move(action));
    }
    flush(e);
    wake(e);
}

void call_world::flush(int e)
{
    entry_state& s = entry(e);
    const int life = s.life;
    while (s.life == life && !s.outbox.empty() && s.frozen_until <= now_) {
        const gate_action action = std::move(s.outbox.front());
        s.outbox.pop_front();
        if (const auto* send = std::get_if<send_request>(&action)) {
            target_addressed_ = std::max(find_target(send->target), 0);
        }
        if (step_hook_) {
            step_hook_(e, std::visit([]<class A>(const A&) { return type_name<A>(); }, action));
        }
        if (s.life != life) {
            return;
        }
        if (s.frozen_until > now_) {
            s.outbox.push_front(action);
            return;
        }
        carry(e, action);
        next_fault_ = call_fault::none;
    }
}

std::vector<std::string> call_world::step_kinds()
{
    std::vector<std::string> kinds;
    const auto add = [&]<class... Ts>(const std::variant<Ts...>*) { (kinds.push_back(type_name<Ts>()), ...); };
    add(static_cast<const gate_action*>(nullptr));
    return kinds;
}

// --- actions out ---

std::string call_world::owner_name(int e, request_number request)
{
    return fmt::format("{} {} {}", entry(e).name, entry(e).life, request.value());
}

int call_world::find_target(const target_id& id) const
{
    const auto found = std::ranges::find(targets_, id, &target_state::id);
    return found == targets_.end() ? -1 : static_cast<int>(found - targets_.begin());
}

void call_world::carry(int e, const gate_action& action)
{
    const int life = entry(e).life;
    // The daemon goes on trying what settles a claim while it lives.
    const auto settle = [this, e, life](const request_number request, const std::string& key, claim_state::stage stage,
                                        const std::string& body) {
        const std::string owner = owner_name(e, request);
        const duration wait = std::max(claims_down_until_ - now_, duration(0)) + latency();
        after(wait, [=, this] {
            if (entry(e).life != life) {
                return;
            }
            released_[owner] = released_[owner] || stage == claim_state::stage::not_run;
            const auto found = claims_.find(key);
            if (found != claims_.end() && found->second.owner == owner) {
                found->second.is = stage;
                found->second.answer = body;
            }
        });
    };
    std::visit(detail::overloaded{
                   [&](const send_request& a) { carry_send(e, a); },
                   [&](const claim_request& a) { carry_claim(e, a); },
                   [&](const record_claim_answer& a) {
                       settle(a.request, a.key, claim_state::stage::answered, entry(e).bodies[{a.request, a.send}]);
                   },
                   [&](const release_claim& a) { settle(a.request, a.key, claim_state::stage::not_run, ""); },
                   [&](const answer_request& a) { answer(e, a); },
                   [&](const probe_target& a) { carry_probe(e, a); },
                   [&](const gate_drained&) { exit_when_answered(e, life); },
                   [&](const gate_notice&) {},
               },
               action);
}

// Connections that were accepted before the stop are answered first, also those whose request was not read yet.
void call_world::exit_when_answered(int e, int life)
{
    if (entry(e).life != life) {
        return;
    }
    if (entry(e).calls.empty()) {
        end_process(e, 2s);
        return;
    }
    after(drain_poll, [this, e, life] { exit_when_answered(e, life); });
}

void call_world::carry_send(int e, const send_request& send)
{
    const call_fault fault = next_fault_;
    history_.add(now_, request_sent{entry(e).names[send.request], entry_id(entry(e).name), send.target});
    if (fault == call_fault::effect_late) {
        end_send(e, entry(e).life, send, {}, "", send.answer_wait);
    }
    after(fault == call_fault::effect_late ? late_effect : latency(),
          [=, this, name = entry(e).names[send.request], life = entry(e).life] {
              target_reply reply;
              const int t = find_target(send.target);
              if (fault == call_fault::refused_connection || t < 0 || target(t).down_until > now_) {
                  reply.may_have_arrived = false;
                  end_send(e, life, send, reply, "", latency());
                  return;
              }
              const bool refuses = target(t).leaving && options_.targets_refuse_when_leaving;
              if (refuses || target(t).running >= options_.slots) {
                  reply = {.answered = true, .status = 503, .request_id = name, .did_not_run = true};
                  end_send(e, life, send, reply, "", latency());
                  return;
              }
              history_.add(now_, run_began{name, send.target});
              ++target(t).running;
              run(e, t, send, fault, name, life);
          });
}

void call_world::run(int e, int t, const send_request& send, call_fault fault, const std::string& name, int life)
{
    duration service(absl::Uniform<std::int64_t>(random_, 20'000, 80'000));
    if (target(t).stalled_until > now_) {
        service += target(t).stall;
    }
    after(service, [=, this, target_life = target(t).life] {
        target_reply reply{.answered = true, .status = 200, .request_id = name};
        std::string body = "ok " + name;
        if (target(t).life != target_life) {
            end_send(e, life, send, {}, "", latency());
            return;
        }
        --target(t).running;
        history_.add(now_, run_ended{name, send.target, body});
        if (fault == call_fault::answer_crossed) {
            reply.request_id = "another";
            body = "ok another";
        }
        if (fault == call_fault::answer_cut) {
            reply.answered = false;
            body = body.substr(0, 4);
        }
        const bool lost = fault == call_fault::answer_lost || fault == call_fault::effect_late;
        if (!lost) {
            end_send(e, life, send, reply, body,
                     fault == call_fault::answer_late ? send.answer_wait * 9 / 10 : latency());
        }
        else if (fault == call_fault::answer_lost) {
            end_send(e, life, send, {}, "", send.answer_wait);
        }
    });
}

void call_world::end_send(int e, int life, const send_request& send, const target_reply& reply, const std::string& body,
                          duration delay)
{
    after(delay, [=, this] {
        if (entry(e).life != life) {
            return;
        }
        const bool any = !options_.answers_are_judged && !body.empty();
        const send_outcome outcome = any ? send_outcome::done : judge_reply(reply, entry(e).names[send.request]);
        if (outcome == send_outcome::done) {
            entry(e).bodies[{send.request, send.send}] = body;
        }
        deliver(e, life, target_answered{send.request, send.send, outcome, {}, ""});
    });
}

claim_outcome call_world::apply_claim(int e, const claim_request& claim, const std::string& owner)
{
    if (released_[owner]) {
        return claim_outcome::unreachable; // its tombstone came first
    }
    const auto found = claims_.find(claim.key);
    if (found == claims_.end() || found->second.is == claim_state::stage::not_run || !options_.claims_are_checked) {
        claims_[claim.key] = {claim_state::stage::claimed, owner, ""};
        return claim_outcome::claimed;
    }
    const claim_state& held = found->second;
    if (held.is == claim_state::stage::answered) {
        entry(e).claimed_answers[claim.request] = held.answer;
        return claim_outcome::answered;
    }
    const bool lives = std::ranges::any_of(entries_, [&](const entry_state& s) {
        return s.gate && held.owner.starts_with(fmt::format("{} {} ", s.name, s.life));
    });
    return lives ? claim_outcome::in_progress : claim_outcome::owner_lost;
}

void call_world::carry_claim(int e, const claim_request& claim)
{
    const call_fault fault = next_fault_;
    const std::string owner = owner_name(e, claim.request);
    const auto end = [=, this, life = entry(e).life](claim_outcome outcome, duration delay) {
        after(delay, [=, this] { deliver(e, life, claim_ended{claim.request, outcome, ""}); });
    };
    if (fault == call_fault::effect_late) {
        end(claim_outcome::unreachable, claim_timeout);
        after(late_effect, [=, this] { apply_claim(e, claim, owner); });
        return;
    }
    after(latency(), [=, this] {
        if (claims_down_until_ > now_ || fault == call_fault::refused_connection) {
            end(claim_outcome::unreachable, claim_timeout);
            return;
        }
        const claim_outcome outcome = apply_claim(e, claim, owner);
        const bool lost = fault == call_fault::answer_lost || fault == call_fault::answer_cut;
        end(lost ? claim_outcome::unreachable : outcome, lost ? claim_timeout : latency());
    });
}

void call_world::carry_probe(int e, const probe_target& probe)
{
    after(2 * latency(), [=, this, life = entry(e).life] {
        const int t = find_target(probe.target);
        const bool down = t < 0 || target(t).down_until > now_;
        const bool leaving = !down && target(t).leaving && options_.targets_refuse_when_leaving;
        const probe_outcome outcome = down      ? probe_outcome::unreachable
                                      : leaving ? probe_outcome::leaving
                                                : probe_outcome::healthy;
        deliver(e, life, target_probed{probe.target, outcome});
    });
}

// --- callers ---

void call_world::call(const work_kind& kind, const std::string& key, int tries)
{
    ++open_calls_;
    try_call({"", key, kind, tries, absl::Uniform(random_, 0, options_.entries)});
}

void call_world::try_call(caller_request request)
{
    request.name = fmt::format("r{}", ++calls_made_);
    const int e = request.entry;
    entry_state& s = entry(e);
    history_.add(now_, call_made{request.name, entry_id(s.name), request.key,
                                 request.kind.idempotent && !request.kind.billed, request.kind.exclusive});
    if (!s.gate || s.stopping) {
        end_call(request, call_outcome::unknown, "");
        return;
    }
    const request_number number(++s.last_request);
    s.calls[number] = request;
    s.names[number] = request.name;
    request_arrived arrived{number, team_id("team"), options_.treat_as.value_or(request.kind), request.key, "same", {},
                            10};
    after(request.kind.deadline + caller_patience, [=, this, life = s.life] {
        const auto found = entry(e).calls.find(number);
        if (entry(e).life == life && found != entry(e).calls.end()) {
            const caller_request late = found->second;
            entry(e).calls.erase(found);
            entry(e).gone.insert(number);
            end_call(late, call_outcome::unknown, "");
        }
    });
    deliver(e, s.life, arrived);
}

void call_world::answer(int e, const answer_request& told)
{
    entry_state& s = entry(e);
    std::string body;
    if (told.outcome == request_outcome::done) {
        // A call that waited for another one with its key gets what that one got, from wherever it came.
        const request_number of = told.body_of.value() == 0 ? told.request : told.body_of;
        body = told.source == body_source::claim ? s.claimed_answers[of] : s.bodies[{of, told.send}];
    }
    if (s.gone.contains(told.request)) {
        return; // the caller has hung up
    }
    const auto found = s.calls.find(told.request);
    if (found == s.calls.end()) {
        history_.add(now_, call_answered{s.names[told.request], told_as(told.outcome), body}); // a second answer
        return;
    }
    const caller_request request = found->second;
    s.calls.erase(found);
    end_call(request, told_as(told.outcome), body);
}

void call_world::end_call(const caller_request& request, call_outcome outcome, const std::string& answer)
{
    history_.add(now_, call_answered{request.name, outcome, answer});
    const bool safe = outcome == call_outcome::did_not_run || request.kind.idempotent || !request.key.empty();
    if (outcome == call_outcome::done || !safe || request.tries <= 1) {
        --open_calls_;
        return;
    }
    caller_request next = request;
    --next.tries;
    next.entry = (request.entry + 1) % options_.entries;
    after(caller_pause, [this, next] { try_call(next); });
}

} // namespace skylarkhub::test
