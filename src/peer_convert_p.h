// Members as the decisions know them, and as they travel between entries.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "member_p.h"
#include "peer_types.h"

namespace skylarkhub {

wire::member_wire to_wire(const member& m);
std::vector<wire::member_wire> to_wire(const std::vector<member>& members);

// Empty when a name is missing or the state is unknown, with the reason.
std::optional<member> from_wire(const wire::member_wire& m, std::string* last_reason);

// Leaves out what is malformed: one bad piece of news must not cost the rest, nor the probe that carries it.
std::vector<member> from_wire(const std::vector<wire::member_wire>& members);

} // namespace skylarkhub
