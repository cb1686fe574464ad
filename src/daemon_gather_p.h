// Asks every other entry for its own part of something and hands over all answers together. There is no central node:
// whoever is asked gathers.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "member_p.h"
#include "peer_client_p.h"

namespace skylarkhub {

struct gathered_part {
    member from;
    std::optional<std::string> text; // empty: it did not answer in time
    std::string reason;
};

// `done` runs once, at the latest when the slowest entry's time is over; at once when there is nobody to ask.
void gather_parts(peer_client& peers, const std::vector<member>& members, const std::string& what,
                  std::function<void(std::vector<gathered_part>)> done);

} // namespace skylarkhub
