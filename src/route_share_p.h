// How the slots and connections of one target are divided among the entries, so that entries that never talk to each
// other about load still do not fill a target beyond what it has.
#pragma once

#include <cstdint>
#include <string>

#include "route_types_p.h"

namespace skylarkhub {

// This entry's part of `total` units divided among `parts` entries of which it is number `rank` (from 0). The parts of
// all ranks add up to `total`; who gets the remainder depends on `salt`, so that no rank is favoured at every target.
std::int32_t divide_share(std::int32_t total, std::int32_t parts, std::int32_t rank, std::uint64_t salt);

struct target_share {
    std::int32_t slots = 0;       // to be used freely; 0 for targets of other data centres
    std::int32_t connections = 0; // never to be exceeded: a target closes a connection above its limit unread
};

// The share of this entry of one target. `local`: in the entry's own data centre. Entries of other centres divide
// config::spill_connection_share of the connections, the local ones divide the rest and all the slots.
target_share share_of(const seen_target& target, bool local, const entries_seen& entries);

} // namespace skylarkhub
