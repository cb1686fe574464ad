#include <absl/random/uniform_int_distribution.h>

#include <algorithm>

#include "member_state_p.h"

namespace skylarkhub {

void membership::state::run_period(instant now, std::vector<member_action>& actions)
{
    ++periods;
    forget_dead(now);
    drop_unended_probes(now);
    probe_next(now, actions);
    probe_suspects(now, actions);
    probe_silent_centre(now, actions);
    if (periods % config::probe_dead_every == 0) {
        probe_a_dead_one(now, actions);
    }
}

// A probe whose end was never told says nothing about its subject.
void membership::state::drop_unended_probes(instant now)
{
    constexpr int direct_and_relayed = 3; // in probe timeouts
    const duration longest = (direct_and_relayed + 1) * settings.probe_timeout;
    absl::erase_if(pending, [&](const auto& p) { return now - p.second.sent > longest; });
}

// Round robin over a shuffled order: each member is probed by each other one once in a round, so that a death is
// found within a bounded time, and by somebody after one interval on average.
void membership::state::probe_next(instant now, std::vector<member_action>& actions)
{
    if (order.empty()) {
        return;
    }
    if (next_in_order >= order.size()) {
        std::shuffle(order.begin(), order.end(), random);
        next_in_order = 0;
    }
    const incarnation_id subject = order[next_in_order];
    ++next_in_order;
    probe(now, subject, actions);
}

// Asks those again whom this entry suspects by its own probes: the question carries the suspicion, and the answer
// clears it. Without it, lost messages turn into false deaths.
void membership::state::probe_suspects(instant now, std::vector<member_action>& actions)
{
    int asked = 0;
    const std::vector<incarnation_id> candidates(suspects.begin(), suspects.end());
    for (const incarnation_id& id : candidates) {
        if (asked < config::probe_suspects_most && records.at(id).suspected_here) {
            probe(now, id, actions);
            ++asked;
        }
    }
}

// With many data centres the round robin visits one too seldom to tell a cut from chance, so the one that is longest
// without an answer gets a probe of its own; at most one in each interval.
void membership::state::probe_silent_centre(instant now, std::vector<member_action>& actions)
{
    const auto quiet_since = [](const auto& c) {
        return std::max(c.second.answered.value_or(instant{}), c.second.asked);
    };
    const auto quietest = std::min_element(
        centres.begin(), centres.end(), [&](const auto& a, const auto& b) { return quiet_since(a) < quiet_since(b); });
    if (quietest == centres.end() || quiet_since(*quietest) > now - settings.contact_lately / 2) {
        return;
    }
    quietest->second.asked = now;
    if (const auto subject = pick_in(quietest->first)) {
        probe(now, *subject, actions);
    }
}

// A random member of the data centre that is not dead.
std::optional<incarnation_id> membership::state::pick_in(const data_centre_id& centre)
{
    const std::size_t start = order.empty() ? 0 : absl::Uniform<std::size_t>(random, 0, order.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        const incarnation_id& id = order[(start + i) % order.size()];
        if (records.at(id).known.data_centre == centre) {
            return id;
        }
    }
    return std::nullopt;
}

// After a cut both sides hold each other for dead, and nobody would ever ask again.
void membership::state::probe_a_dead_one(instant now, std::vector<member_action>& actions)
{
    if (dead.empty()) {
        return;
    }
    next_dead = (next_dead + 1) % dead.size();
    const incarnation_id subject = dead[next_dead];
    probe(now, subject, actions);
}

void membership::state::probe(instant now, const incarnation_id& subject, std::vector<member_action>& actions)
{
    if (pending.contains(subject)) {
        return;
    }
    pending[subject] = {.sent = now};
    // A member that is held for suspect or dead learns it from the question, and clears itself in the answer.
    actions.emplace_back(send_probe{records.at(subject).known, subject, compose(subject)});
}

void membership::state::end_probe(instant now, const member_probe_ended& event, std::vector<member_action>& actions)
{
    merge_all(now, event.news, actions);
    const bool direct = event.asked == event.subject;
    const auto known = records.find(event.subject);
    if (direct && event.reached && known != records.end() && known->second.known.data_centre != self.data_centre) {
        centres[known->second.known.data_centre].answered = now;
    }
    const auto found = pending.find(event.subject);
    if (found == pending.end()) {
        return;
    }
    if (event.reached) {
        pending.erase(found);
        return;
    }
    if (direct) {
        ask_relays(now, event.subject, actions);
        return;
    }
    if (found->second.relays_out == 0) {
        return; // of an earlier probe of the same member
    }
    --found->second.relays_out;
    if (found->second.relays_out == 0) {
        pending.erase(found);
        suspect(now, event.subject, actions);
    }
}

// The direct way may be cut while the member lives, so others are asked before it is suspected.
void membership::state::ask_relays(instant now, const incarnation_id& subject, std::vector<member_action>& actions)
{
    const member_state state_known = records.contains(subject) ? records.at(subject).known.state : member_state::dead;
    const bool worth_asking = state_known == member_state::live || state_known == member_state::leaving;
    if (!worth_asking) {
        pending.erase(subject);
        return;
    }
    const std::vector<incarnation_id> relays = pick_relays(subject);
    if (relays.empty()) {
        pending.erase(subject);
        suspect(now, subject, actions);
        return;
    }
    pending[subject].relays_out = static_cast<int>(relays.size());
    for (const incarnation_id& relay : relays) {
        actions.emplace_back(send_probe{records.at(relay).known, subject, compose(subject)});
    }
}

// Relays in different data centres, other ones than this entry's first: two data centres can be cut off from each other
// while a third one sees both.
std::vector<incarnation_id> membership::state::pick_relays(const incarnation_id& subject)
{
    const data_centre_id& far = records.at(subject).known.data_centre;
    std::vector<incarnation_id> candidates;
    for (const incarnation_id& id : order) {
        if (id != subject && records.at(id).known.state == member_state::live) {
            candidates.push_back(id);
        }
    }
    std::shuffle(candidates.begin(), candidates.end(), random);
    absl::btree_map<data_centre_id, int> taken; // starts with a handicap where a relay would help least
    taken[far] = 1;
    taken[self.data_centre] = self.data_centre == far ? 0 : 2;
    std::vector<incarnation_id> relays;
    while (static_cast<int>(relays.size()) < settings.relays && !candidates.empty()) {
        const auto best = std::min_element(candidates.begin(), candidates.end(), [&](const auto& a, const auto& b) {
            return taken[records.at(a).known.data_centre] < taken[records.at(b).known.data_centre];
        });
        ++taken[records.at(*best).known.data_centre];
        relays.push_back(*best);
        candidates.erase(best);
    }
    return relays;
}

} // namespace skylarkhub
