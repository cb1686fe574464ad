#include "peer_convert_p.h"

namespace skylarkhub {

namespace {

wire::member_state_wire::type state_to_wire(member_state state)
{
    switch (state) {
    case member_state::live:
        return wire::member_state_wire::live;
    case member_state::suspect:
        return wire::member_state_wire::suspect;
    case member_state::leaving:
        return wire::member_state_wire::leaving;
    case member_state::dead:
        return wire::member_state_wire::dead;
    }
    return wire::member_state_wire::dead;
}

std::optional<member_state> state_from_wire(wire::member_state_wire::type state)
{
    switch (state) {
    case wire::member_state_wire::live:
        return member_state::live;
    case wire::member_state_wire::suspect:
        return member_state::suspect;
    case wire::member_state_wire::leaving:
        return member_state::leaving;
    case wire::member_state_wire::dead:
        return member_state::dead;
    }
    return std::nullopt; // a value that a later version sent
}

} // namespace

wire::member_wire to_wire(const member& m)
{
    wire::member_wire out;
    out.__set_incarnation(m.incarnation.str());
    out.__set_entry(m.entry.str());
    out.__set_data_centre(m.data_centre.str());
    out.__set_peer_address(m.peer_address.str());
    out.__set_http_address(m.http_address.str());
    out.__set_state(state_to_wire(m.state));
    out.__set_version(m.version);
    out.__set_settings_version(m.settings.value());
    return out;
}

std::vector<wire::member_wire> to_wire(const std::vector<member>& members)
{
    std::vector<wire::member_wire> out;
    out.reserve(members.size());
    for (const member& m : members) {
        out.push_back(to_wire(m));
    }
    return out;
}

std::optional<member> from_wire(const wire::member_wire& m, std::string* last_reason)
{
    if (m.incarnation.empty() || m.entry.empty() || m.peer_address.empty()) {
        *last_reason = "member without incarnation, entry or peer address";
        return std::nullopt;
    }
    const auto state = state_from_wire(m.state);
    if (!state) {
        *last_reason = "unknown member state " + std::to_string(static_cast<int>(m.state));
        return std::nullopt;
    }
    member out;
    out.incarnation = incarnation_id(m.incarnation);
    out.entry = entry_id(m.entry);
    out.data_centre = data_centre_id(m.data_centre);
    out.peer_address = net_address(m.peer_address);
    out.http_address = net_address(m.http_address);
    out.state = *state;
    out.version = m.version;
    out.settings = settings_version(m.settings_version);
    return out;
}

std::vector<member> from_wire(const std::vector<wire::member_wire>& members)
{
    std::vector<member> out;
    out.reserve(members.size());
    for (const wire::member_wire& m : members) {
        std::string ignored;
        if (auto known = from_wire(m, &ignored)) {
            out.push_back(std::move(*known));
        }
    }
    return out;
}

} // namespace skylarkhub
