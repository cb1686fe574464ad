#include "flow_unusable_p.h"

#include "flow_limits_p.h"

namespace skylarkhub {

std::vector<flow_unusable_entry> unusable_entries::take(instant now, const std::vector<flow_unusable_entry>& entries)
{
    std::vector<flow_unusable_entry> fresh;
    for (const flow_unusable_entry& entry : entries) {
        known_entry& known = known_[entry.worker];
        if (known.reason != entry.reason) {
            fresh.push_back(entry);
            known.reason = entry.reason;
        }
        known.seen = now;
    }
    std::erase_if(known_, [now](const auto& at) { return now - at.second.seen > flow_limits::unusable_retention; });
    return fresh;
}

} // namespace skylarkhub
