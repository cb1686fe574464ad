// Free room of many workers, searched without looking at each.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::detail {

// A tree whose inner nodes hold, per dimension, the most room below them: a search skips what cannot fit.
class room_tree {
public:
    explicit room_tree(const std::vector<resources>& rooms);

    const resources& room(std::size_t worker) const { return nodes_[leaves_ + worker]; }
    void set_room(std::size_t worker, const resources& room);

    // First worker at or after `from` that `need` fits into. A search that takes very long, because the room is there
    // but never in one place, gives up and finds none.
    std::optional<std::size_t> find(const resources& need, std::size_t from) const;

private:
    std::optional<std::size_t> descend(const resources& need, std::size_t from, std::size_t node, std::size_t width,
                                       std::size_t first, int& steps) const;

    std::size_t count_ = 0;
    std::size_t leaves_ = 1; // a power of two
    std::vector<resources> nodes_;
};

} // namespace skylarkhub::detail
