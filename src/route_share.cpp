#include "route_share_p.h"

#include <boost/functional/hash.hpp>

#include <algorithm>

#include "config.h"

namespace skylarkhub {

std::int32_t divide_share(std::int32_t total, std::int32_t parts, std::int32_t rank, std::uint64_t salt)
{
    if (parts <= 1) {
        return total;
    }
    const std::int64_t place = (rank + static_cast<std::int64_t>(salt % parts)) % parts;
    const std::int64_t units = total;
    return static_cast<std::int32_t>(units * (place + 1) / parts - units * place / parts);
}

target_share share_of(const seen_target& target, bool local, const entries_seen& entries)
{
    // The same at every entry, unlike a hash that is seeded anew in each process.
    const std::uint64_t salt = boost::hash<std::string>()(target.target.str());
    const std::int32_t strangers = std::max(entries.everywhere - entries.in_data_centre, 0);
    const std::int32_t spill =
        strangers == 0 ? 0 : static_cast<std::int32_t>(config::spill_connection_share * target.connections);
    target_share share;
    if (local) {
        share.slots = divide_share(target.slots, entries.in_data_centre, entries.rank_in_data_centre, salt);
        share.connections =
            divide_share(target.connections - spill, entries.in_data_centre, entries.rank_in_data_centre, salt);
    }
    else {
        share.connections = divide_share(spill, entries.everywhere, entries.rank_everywhere, salt);
    }
    return share;
}

} // namespace skylarkhub
