#include <absl/numeric/bits.h>
#include <absl/random/uniform_int_distribution.h>

#include <algorithm>

#include "member_state_p.h"

namespace skylarkhub {

const member* membership::state::find(const incarnation_id& id) const
{
    if (id == self.incarnation) {
        return &self;
    }
    const auto found = records.find(id);
    return found == records.end() ? nullptr : &found->second.known;
}

void membership::state::spread(const incarnation_id& subject)
{
    const auto found =
        std::find_if(rumours.begin(), rumours.end(), [&](const rumour& r) { return r.subject == subject; });
    const rumour fresh{subject, 0, ++rumour_stamp};
    if (found != rumours.end()) {
        *found = fresh;
        return;
    }
    rumours.push_back(fresh);
}

// Enough sends to reach all with near certainty: what an epidemic needs grows with the logarithm of its members.
int membership::state::sends_most() const
{
    return config::news_sends_factor * static_cast<int>(absl::bit_width(order.size() + 2));
}

// News for one message: this entry itself, then whom the message is about if that one has a suspicion to clear, then
// changes, then one more member.
std::vector<member> membership::state::compose(const incarnation_id& about)
{
    std::vector<member> news{self};
    const member* const subject = find(about);
    if (subject != nullptr && (subject->state == member_state::suspect || subject->state == member_state::dead)) {
        news.push_back(*subject);
    }
    add_rumours(news, news.size() + static_cast<std::size_t>(settings.news_per_message));
    add_a_random_one(news);
    return news;
}

void membership::state::add_rumours(std::vector<member>& news, std::size_t most)
{
    std::sort(rumours.begin(), rumours.end(), [](const rumour& a, const rumour& b) {
        return a.sends != b.sends ? a.sends < b.sends : a.stamp > b.stamp;
    });
    for (rumour& r : rumours) {
        if (news.size() >= most) {
            break;
        }
        const member* const m = find(r.subject);
        const bool said =
            std::any_of(news.begin(), news.end(), [&](const member& n) { return n.incarnation == r.subject; });
        ++r.sends;
        if (m != nullptr && !said) {
            news.push_back(*m);
        }
    }
    const int limit = sends_most();
    std::erase_if(rumours, [&](const rumour& r) { return r.sends >= limit; });
}

// Heals what the rumours missed: whoever joined late, or was cut off while they ran, learns all members in time.
void membership::state::add_a_random_one(std::vector<member>& news)
{
    if (order.empty()) {
        return;
    }
    const incarnation_id& id = order[absl::Uniform<std::size_t>(random, 0, order.size())];
    const bool said = std::any_of(news.begin(), news.end(), [&](const member& n) { return n.incarnation == id; });
    if (!said) {
        news.push_back(records.at(id).known);
    }
}

} // namespace skylarkhub
