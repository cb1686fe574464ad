// The settings file of an entry that reaches its table, workers and operator through the interfaces in platform/.
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
    net_address advice_address;    // may be empty: no advice service is used
    net_address instances_address; // may be empty: the entry moves no instances
    double cores = 1;              // number of processor cores of the machine
    double cpu_share = 1;          // share of each core that the entry may use
    double memory_mib = 0;         // of the machine; 0: not told
    double descriptors = 0;        // that the entry may have open; 0: not told
    double row_bytes = 0;          // that the table takes in the value of one row; 0: not told
};

// Returns nothing if the settings are invalid, and adds one problem for each invalid field. Unknown fields are
// rejected.
std::optional<flow_entry_settings> parse_flow_settings(std::string_view json, std::vector<settings_problem>& problems);

} // namespace skylarkhub
