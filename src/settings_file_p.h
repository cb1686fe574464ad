// The file a daemon starts with (message `entry` of schema/settings.proto).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base_shares_p.h"
#include "settings_parse_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

struct entry_settings {
    entry_id name;
    data_centre_id data_centre;
    net_address http_address;
    net_address peer_address;
    net_address platform_address;
    std::int32_t http_threads = 0;      // never 0 after parsing
    machine_limits machine;             // what it holds
    std::vector<net_address> peers;     // hints for a start while the platform's list is down
    double table_writes_per_second = 0; // never 0 after parsing
    double table_reads_per_second = 0;  // never 0 after parsing
    std::string log_level;              // debug, info, warning or error
};

// Empty when the text has a mistake; all of them are then in `problems`.
std::optional<entry_settings> parse_entry_settings(std::string_view json, std::vector<settings_problem>& problems);

// One line for logs: "PATH: REASON; PATH: REASON".
std::string format_problems(const std::vector<settings_problem>& problems);

} // namespace skylarkhub
