#include <absl/random/uniform_int_distribution.h>

#include <algorithm>
#include <charconv>

#include "member_state_p.h"

namespace skylarkhub {

namespace {

// Of two statements with the same version the worse one holds, until the member itself raises its version.
int rank(member_state state)
{
    switch (state) {
    case member_state::live:
        return 0;
    case member_state::leaving:
        return 1;
    case member_state::suspect:
        return 2;
    case member_state::dead:
        return 3;
    }
    return 3;
}

bool overrides(const member& news, const member& known)
{
    if (news.version != known.version) {
        return news.version > known.version;
    }
    return rank(news.state) > rank(known.state);
}

// The start stamp in "NAME@STAMP-...", 0 when there is none.
std::int64_t start_stamp(const incarnation_id& id)
{
    const auto at = id.str().rfind('@');
    if (at == std::string::npos) {
        return 0;
    }
    std::int64_t stamp = 0;
    std::from_chars(id.str().data() + at + 1, id.str().data() + id.str().size(), stamp);
    return stamp;
}

} // namespace

void membership::state::merge_all(instant now, const std::vector<member>& news, std::vector<member_action>& actions)
{
    for (const member& m : news) {
        merge(now, m, actions);
    }
}

void membership::state::merge(instant now, const member& news, std::vector<member_action>& actions)
{
    if (news.incarnation == self.incarnation) {
        refute(news);
        return;
    }
    const auto found = records.find(news.incarnation);
    if (found == records.end()) {
        add(now, news, actions);
        spread(news.incarnation);
        return;
    }
    record& r = found->second;
    if (news.settings > r.known.settings) {
        r.known.settings = news.settings;
    }
    if (overrides(news, r.known)) {
        change(now, r, news, actions);
    }
}

// Others hold this entry for suspect or dead, though it lives: only a version of its own that is higher than theirs
// clears it, because theirs holds against everybody else's word.
void membership::state::refute(const member& news)
{
    if (news.state == self.state || news.version < self.version) {
        return;
    }
    self.version = news.version + 1;
}

void membership::state::add(instant now, const member& news, std::vector<member_action>& actions)
{
    if (records.size() >= config::members_most) {
        return;
    }
    record& r = records[news.incarnation];
    r.known = news;
    r.leaving = news.state == member_state::leaving;
    if (news.data_centre != self.data_centre) {
        centres.try_emplace(news.data_centre);
    }
    enter_state(now, r);
    if (news.state == member_state::dead) {
        return;
    }
    actions.emplace_back(member_changed{r.known});
    suspect_earlier_lives(now, news, actions);
}

// An entry has one process, so a newer start ends the earlier one. That it is suspected and not declared dead keeps a
// clock that was set back from ending a live member: that one answers and clears itself.
void membership::state::suspect_earlier_lives(instant now, const member& newcomer, std::vector<member_action>& actions)
{
    std::vector<incarnation_id> earlier;
    for (const auto& [id, r] : records) {
        const bool same_entry = r.known.entry == newcomer.entry && id != newcomer.incarnation;
        if (same_entry && start_stamp(id) < start_stamp(newcomer.incarnation)) {
            earlier.push_back(id);
        }
    }
    for (const incarnation_id& id : earlier) {
        suspect(now, id, actions);
    }
}

void membership::state::change(instant now, record& r, const member& news, std::vector<member_action>& actions)
{
    const member_state before = r.known.state;
    const bool own_word = news.state == member_state::live || news.state == member_state::leaving;
    const settings_version settings_known = std::max(r.known.settings, news.settings);
    r.known = news;
    r.known.settings = settings_known;
    if (own_word) {
        r.leaving = news.state == member_state::leaving;
    }
    enter_state(now, r);
    spread(news.incarnation);
    if (before != news.state) {
        actions.emplace_back(member_changed{r.known});
    }
}

void membership::state::enter_state(instant now, record& r)
{
    const incarnation_id& id = r.known.incarnation;
    const member_state entered = r.known.state;
    std::erase(dead, id);
    suspects.erase(id);
    if (entered == member_state::dead) {
        r.died = now;
        r.suspected_here = false;
        dead.push_back(id);
        take_out_of_order(id);
        return;
    }
    put_in_order(id);
    if (entered == member_state::suspect) {
        r.suspect_until = now + settings.suspect_timeout;
        suspects.insert(id);
        return;
    }
    r.suspected_here = false;
}

// This entry found the member silent, directly and through others.
void membership::state::suspect(instant now, const incarnation_id& subject, std::vector<member_action>& actions)
{
    const auto found = records.find(subject);
    if (found == records.end()) {
        return;
    }
    record& r = found->second;
    member news = r.known;
    if (r.known.state == member_state::live) {
        news.state = member_state::suspect;
        change(now, r, news, actions);
        r.suspected_here = true;
    }
    else if (r.known.state == member_state::leaving) {
        // It said that it would stop, so its silence needs no second look.
        news.state = member_state::dead;
        change(now, r, news, actions);
    }
}

void membership::state::end_suspicions(instant now, std::vector<member_action>& actions)
{
    std::vector<incarnation_id> over;
    for (const incarnation_id& id : suspects) {
        if (now >= records.at(id).suspect_until) {
            over.push_back(id);
        }
    }
    for (const incarnation_id& id : over) {
        record& r = records.at(id);
        member news = r.known;
        news.state = member_state::dead;
        change(now, r, news, actions);
    }
}

// The dead are remembered so that late news of their life finds a record that overrides it.
void membership::state::forget_dead(instant now)
{
    std::size_t count = 0;
    while (count < dead.size() && now - records.at(dead[count]).died > settings.dead_memory) {
        records.erase(dead[count]);
        ++count;
    }
    dead.erase(dead.begin(), dead.begin() + static_cast<std::ptrdiff_t>(count));
}

void membership::state::put_in_order(const incarnation_id& id)
{
    if (std::find(order.begin(), order.end(), id) != order.end()) {
        return;
    }
    const std::size_t place = absl::Uniform<std::size_t>(absl::IntervalClosed, random, 0, order.size());
    order.insert(order.begin() + static_cast<std::ptrdiff_t>(place), id);
    if (place < next_in_order) {
        ++next_in_order;
    }
}

void membership::state::take_out_of_order(const incarnation_id& id)
{
    const auto found = std::find(order.begin(), order.end(), id);
    if (found == order.end()) {
        return;
    }
    if (static_cast<std::size_t>(found - order.begin()) < next_in_order) {
        --next_in_order;
    }
    order.erase(found);
}

} // namespace skylarkhub
