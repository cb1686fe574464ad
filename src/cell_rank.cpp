// Which entry of a data centre should own a cell: rendezvous hashing, so that one entry's coming or going moves only
// its own cells. Every entry must reach the same order, also across versions of the program, so the hash is xxHash with
// its published definition; absl::Hash differs from process to process.
#include <xxhash.h>

#include <algorithm>

#include "cell_state_p.h"

namespace skylarkhub::detail {

namespace {

std::uint64_t weight(const cell_id& cell, const incarnation_id& member)
{
    const std::string both = cell.str() + '\n' + member.str();
    return XXH64(both.data(), both.size(), 0);
}

std::vector<incarnation_id> ranked(const cell_state& s)
{
    std::vector<std::pair<std::uint64_t, incarnation_id>> weighed;
    weighed.reserve(s.members.size());
    for (const incarnation_id& member : s.members) {
        weighed.emplace_back(weight(s.id, member), member);
    }
    std::sort(weighed.begin(), weighed.end(), std::greater<>());
    std::vector<incarnation_id> order;
    order.reserve(weighed.size());
    for (auto& [value, member] : weighed) {
        order.push_back(std::move(member));
    }
    return order;
}

} // namespace

std::optional<int> rank(const cell_state& s)
{
    const std::vector<incarnation_id> order = ranked(s);
    const auto found = std::find(order.begin(), order.end(), s.self);
    if (found == order.end()) {
        return std::nullopt;
    }
    return static_cast<int>(found - order.begin());
}

std::vector<incarnation_id> choose_deputies(const cell_state& s)
{
    std::vector<incarnation_id> deputies;
    for (incarnation_id& member : ranked(s)) {
        if (member != s.self && std::ssize(deputies) < s.settings.deputies) {
            deputies.push_back(std::move(member));
        }
    }
    return deputies;
}

} // namespace skylarkhub::detail
