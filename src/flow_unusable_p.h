// Entries of the list of workers that name no worker to use: which of them are news.
#pragma once

#include <map>
#include <vector>

#include "flow_types_p.h"

namespace skylarkhub {

class unusable_entries {
public:
    // The entries that were not known or have another reason by now. `entries`: all that one reading of the list found.
    std::vector<flow_unusable_entry> take(instant now, const std::vector<flow_unusable_entry>& entries);

private:
    struct known_entry {
        std::string reason;
        instant seen{}; // in a reading of the list, last
    };
    std::map<worker_id, known_entry> known_;
};

} // namespace skylarkhub
