// The connections of simulated entries to simulated workers. A connection ends with the life of the worker that
// accepted it: what is sent over it later reaches nobody.
#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "connection_number_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::test {

struct flow_connection {
    connection_number number;
    std::uint64_t life = 0; // of the worker that accepted it
};

class flow_connections {
public:
    using ends = std::pair<int, net_address>; // an entry and the address of a worker

    // Takes the oldest connection that no order uses, or opens one to the life.
    flow_connection take(const ends& between, std::uint64_t life)
    {
        std::vector<flow_connection>& kept = kept_[between];
        if (kept.empty()) {
            newest_ = newest_.next();
            return {newest_, life};
        }
        const flow_connection taken = kept.front();
        kept.erase(kept.begin());
        return taken;
    }
    // Makes a connection available again.
    void keep(const ends& between, const flow_connection& connection) { kept_[between].push_back(connection); }
    // Closes one that no order uses, if there is any.
    void lose_one(const ends& between)
    {
        std::vector<flow_connection>& kept = kept_[between];
        if (!kept.empty()) {
            kept.erase(kept.begin());
        }
    }
    // Closes those of other lives: the worker's machine has told that they are gone.
    void close_others(const ends& between, std::uint64_t life)
    {
        std::erase_if(kept_[between], [life](const flow_connection& c) { return c.life != life; });
    }
    // Closes all connections of the entry.
    void forget(int entry)
    {
        std::erase_if(kept_, [entry](const auto& kept) { return kept.first.first == entry; });
    }

private:
    std::map<ends, std::vector<flow_connection>> kept_;
    connection_number newest_;
};

} // namespace skylarkhub::test
