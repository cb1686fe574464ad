#include <algorithm>

#include "member_state_p.h"

namespace skylarkhub {

namespace {

// Longer than any delay between two events of a healthy process, shorter than the time to be held for dead.
duration pause_least(const member_settings& settings)
{
    return 2 * settings.probe_interval;
}

} // namespace

membership::membership(member self, member_settings settings, std::uint64_t seed)
    : state_(std::make_unique<state>(std::move(self), settings, seed))
{}

membership::~membership() = default;

void membership::decide(instant now, const member_event& event, std::vector<member_action>& actions)
{
    state& s = *state_;
    s.notice_pause(now);
    std::visit(detail::overloaded{
                   [&](const member_tick&) { s.tick(now, actions); },
                   [&](const member_listed& e) { s.add_listed(now, e.entries, actions); },
                   [&](const member_probed& e) { s.merge_all(now, e.news, actions); },
                   [&](const member_probe_ended& e) { s.end_probe(now, e, actions); },
                   [&](const member_leaving&) { s.leave(now, actions); },
               },
               event);
}

std::vector<member> membership::news()
{
    return state_->compose({});
}

const member& membership::self() const
{
    return state_->self;
}

void membership::set_settings_version(settings_version version)
{
    state_->self.settings = version;
}

std::vector<member> membership::members() const
{
    std::vector<member> all;
    all.reserve(state_->records.size() + 1);
    for (const auto& [id, r] : state_->records) {
        all.push_back(r.known);
    }
    const auto place = std::lower_bound(all.begin(), all.end(), state_->self,
                                        [](const member& a, const member& b) { return a.incarnation < b.incarnation; });
    all.insert(place, state_->self);
    return all;
}

std::vector<incarnation_id> membership::live_in(const data_centre_id& data_centre) const
{
    std::vector<incarnation_id> live;
    for (const auto& [id, r] : state_->records) {
        const bool alive = r.known.state == member_state::live || r.known.state == member_state::suspect;
        if (alive && !r.leaving && r.known.data_centre == data_centre) {
            live.push_back(id);
        }
    }
    const member& self = state_->self;
    if (self.state == member_state::live && self.data_centre == data_centre) {
        live.insert(std::lower_bound(live.begin(), live.end(), self.incarnation), self.incarnation);
    }
    return live;
}

bool membership::reachable(const data_centre_id& data_centre, instant now) const
{
    if (data_centre == state_->self.data_centre) {
        return true;
    }
    const auto found = state_->centres.find(data_centre);
    return found != state_->centres.end() && found->second.answered &&
           now - *found->second.answered <= state_->settings.contact_lately;
}

membership::state::state(member own, member_settings given, std::uint64_t seed)
    : self(std::move(own)), settings(given), random(make_random(seed))
{}

void membership::state::tick(instant now, std::vector<member_action>& actions)
{
    end_suspicions(now, actions);
    if (now < next_period) {
        return;
    }
    next_period = now + settings.probe_interval;
    run_period(now, actions);
}

// A frozen process wakes to find all its probes timed out and all its suspects overdue, and would declare a healthy
// system dead. What it waited for during the pause proves nothing, so it starts those waits anew.
void membership::state::notice_pause(instant now)
{
    if (last_event && now - *last_event > pause_least(settings)) {
        const duration gap = now - *last_event;
        pending.clear();
        for (const incarnation_id& id : suspects) {
            records.at(id).suspect_until += gap;
        }
    }
    last_event = now;
}

void membership::state::add_listed(instant now, const std::vector<member>& entries, std::vector<member_action>& actions)
{
    for (const member& entry : entries) {
        const bool known = entry.incarnation == self.incarnation || records.contains(entry.incarnation);
        if (known || !entry.incarnation.valid()) {
            continue;
        }
        member unheard = entry;
        unheard.version = 0;
        add(now, unheard, actions);
    }
}

void membership::state::leave(instant now, std::vector<member_action>& actions)
{
    if (self.state == member_state::leaving) {
        return;
    }
    self.state = member_state::leaving;
    ++self.version;
    actions.emplace_back(member_changed{self});
    for (int i = 0; i < config::leave_probes; ++i) {
        probe_next(now, actions);
    }
}

} // namespace skylarkhub
