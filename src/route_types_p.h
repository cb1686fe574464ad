// What routing is told about targets and entries, and what it asks of the daemon.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// What one send came to. done: the whole answer to this very send arrived. did_not_run: the target said so explicitly.
// not_sent: no byte can have left (connection refused, connect timeout). unknown: anything else.
enum class send_outcome : std::uint8_t { done, did_not_run, not_sent, unknown };

struct seen_target {
    target_id target;
    data_centre_id data_centre;
    net_address address;
    std::int32_t slots = 0;
    std::int32_t connections = 0;
    bool leaving = false;
};
enum class target_source : std::uint8_t { platform_list, cell_owners };

// All targets of this service as one source shows them now; replaces what that source said before.
struct targets_seen {
    target_source source = target_source::platform_list;
    std::vector<seen_target> targets;
};

// Live entries as this entry believes, itself included. `rank` is its place among the sorted ids, from 0; shares of a
// target's slots and connections follow from it.
struct entries_seen {
    std::int32_t in_data_centre = 1;
    std::int32_t rank_in_data_centre = 0;
    std::int32_t everywhere = 1;
    std::int32_t rank_everywhere = 0;
};

// Answer to probe_target: healthy when /healthz said 200, leaving when it said 503, unreachable otherwise.
enum class probe_outcome : std::uint8_t { healthy, leaving, unreachable };
struct target_probed {
    target_id target;
    probe_outcome outcome = probe_outcome::unreachable;
};

// GET /healthz of a target that refused, failed or left, before it gets work again.
struct probe_target {
    target_id target;
    net_address address;
};
struct gate_notice {
    std::string event; // one word with underscores, e.g. "target_ejected"
    std::string detail;
};

} // namespace skylarkhub
