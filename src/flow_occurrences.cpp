#include "flow_occurrences_p.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace skylarkhub {

void occurrence_set::add(std::int32_t first, std::int32_t end)
{
    if (first >= end) {
        return;
    }
    auto at = spans_.upper_bound(first);
    if (at != spans_.begin() && std::prev(at)->second >= first) {
        --at;
    }
    while (at != spans_.end() && at->first <= end) {
        first = std::min(first, at->first);
        end = std::max(end, at->second);
        at = spans_.erase(at);
    }
    spans_.emplace(first, end);
}

bool occurrence_set::contains(std::int32_t occurrence) const
{
    return next_absent(occurrence) != occurrence;
}

std::int32_t occurrence_set::next_absent(std::int32_t from) const
{
    const auto after = spans_.upper_bound(from);
    return after == spans_.begin() ? from : std::max(from, std::prev(after)->second);
}

std::int64_t occurrence_set::size() const
{
    return std::accumulate(spans_.begin(), spans_.end(), std::int64_t{0},
                           [](std::int64_t sum, const auto& span) { return sum + span.second - span.first; });
}

} // namespace skylarkhub
