#include "place_room_p.h"

#include <algorithm>

namespace skylarkhub::detail {

namespace {

constexpr int steps_most = 512;
constexpr resources no_room{-1, -1, -1};

resources most_of(const resources& a, const resources& b)
{
    return {std::max(a.cpu_millis, b.cpu_millis), std::max(a.memory_mib, b.memory_mib),
            std::max(a.accelerators, b.accelerators)};
}

} // namespace

room_tree::room_tree(const std::vector<resources>& rooms) : count_(rooms.size())
{
    while (leaves_ < count_) {
        leaves_ *= 2;
    }
    nodes_.assign(2 * leaves_, no_room);
    std::copy(rooms.begin(), rooms.end(), nodes_.begin() + static_cast<std::ptrdiff_t>(leaves_));
    for (std::size_t node = leaves_ - 1; node > 0; --node) {
        nodes_[node] = most_of(nodes_[2 * node], nodes_[2 * node + 1]);
    }
}

void room_tree::set_room(std::size_t worker, const resources& room)
{
    std::size_t node = leaves_ + worker;
    nodes_[node] = room;
    for (node /= 2; node > 0; node /= 2) {
        nodes_[node] = most_of(nodes_[2 * node], nodes_[2 * node + 1]);
    }
}

std::optional<std::size_t> room_tree::find(const resources& need, std::size_t from) const
{
    int steps = steps_most;
    return descend(need, from, 1, leaves_, 0, steps);
}

std::optional<std::size_t> room_tree::descend(const resources& need, std::size_t from, std::size_t node,
                                              std::size_t width, std::size_t first, int& steps) const
{
    if (first + width <= from || --steps < 0 || !fits(need, nodes_[node])) {
        return std::nullopt;
    }
    if (width == 1) {
        return first < count_ ? std::optional(first) : std::nullopt;
    }
    const std::size_t half = width / 2;
    const auto left = descend(need, from, 2 * node, half, first, steps);
    return left ? left : descend(need, from, 2 * node + 1, half, first + half, steps);
}

} // namespace skylarkhub::detail
