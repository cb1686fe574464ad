// The settings file of an entry on a platform whose table, workers and operator are met through platform/.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings_file_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

struct flow_entry_settings {
    entry_id entry;
    data_centre_id data_centre;
    net_address callers_address;
    net_address readiness_address;
    net_address peers_address;
    net_address metrics_address;
    net_address table_address;
    net_address advice_address;    // may be empty: no service advises
    net_address instances_address; // may be empty: instances are not ours to move
    double cores = 1;              // of the machine
    double cpu_share = 1;          // of each that the entry may use
};

// Empty when anything is wrong, with one problem for each wrong field. Unknown fields are refused.
std::optional<flow_entry_settings> parse_flow_settings(std::string_view json, std::vector<settings_problem>& problems);

} // namespace skylarkhub
