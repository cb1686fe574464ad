// Detects new entries of the worker list that can't be used, so that each is reported once.
#pragma once

#include <map>
#include <vector>

#include "flow_types_p.h"

namespace skylarkhub {

class unusable_entries {
public:
    // Returns the entries that are new or have another reason than before. `entries`: all unusable entries found in one
    // read of the list.
    std::vector<flow_unusable_entry> take(instant now, const std::vector<flow_unusable_entry>& entries);

private:
    struct known_entry {
        std::string reason;
        instant seen{}; // when the entry was last in the worker list
    };
    std::map<worker_id, known_entry> known_;
};

} // namespace skylarkhub
