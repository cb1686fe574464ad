// Requests that wait for a slot, the nearest deadline first.
#pragma once

#include <absl/container/btree_set.h>

#include <cstddef>
#include <utility>

#include "request_gate_p.h"

namespace skylarkhub {

class request_queue {
public:
    using item = std::pair<instant, request_number>;

    void add(instant deadline, request_number request) { items_.insert({deadline, request}); }
    void remove(instant deadline, request_number request) { items_.erase({deadline, request}); }
    bool empty() const { return items_.empty(); }
    std::size_t size() const { return items_.size(); }
    const item& front() const { return *items_.begin(); }

    // How many would be served before one with this deadline. Walks them; the queue is bounded by its settings.
    std::size_t ahead_of(instant deadline) const
    {
        std::size_t count = 0;
        for (const item& each : items_) {
            if (each.first > deadline) {
                break;
            }
            ++count;
        }
        return count;
    }

    auto begin() const { return items_.begin(); }
    auto end() const { return items_.end(); }

private:
    absl::btree_set<item> items_;
};

} // namespace skylarkhub
