#include "flow_evacuation_p.h"

#include <algorithm>
#include <iterator>

namespace skylarkhub {

known_evacuations::changes known_evacuations::replace(std::set<data_centre_id> evacuated, row_version version)
{
    changes out;
    std::set_difference(evacuated.begin(), evacuated.end(), evacuated_.begin(), evacuated_.end(),
                        std::back_inserter(out.evacuated));
    std::set_difference(evacuated_.begin(), evacuated_.end(), evacuated.begin(), evacuated.end(),
                        std::back_inserter(out.taken_back));
    evacuated_ = std::move(evacuated);
    version_ = version;
    return out;
}

known_evacuations::changes known_evacuations::apply(const flow_evacuation_update& update, row_version version,
                                                    std::optional<instant> complete_at)
{
    if (!update.whole && !known()) {
        return {}; // changes alone do not tell which data centres were evacuated before them
    }
    changes out;
    if (version >= version_) {
        std::set<data_centre_id> evacuated = update.whole ? std::set<data_centre_id>() : evacuated_;
        for (const flow_evacuation& change : update.evacuations) {
            if (change.evacuated) {
                evacuated.insert(change.data_centre);
            }
            else {
                evacuated.erase(change.data_centre);
            }
        }
        out = replace(std::move(evacuated), version);
    }
    if (complete_at) {
        complete_at_ = std::max(complete_at_, *complete_at);
    }
    return out;
}

known_evacuations::changes known_evacuations::adopt(const wire::flow_evacuations& reported, instant earliest_sent)
{
    if (reported.version <= 0) {
        return {};
    }
    changes out;
    if (row_version(reported.version) > version_) {
        std::set<data_centre_id> evacuated;
        for (const std::string& name : reported.data_centres) {
            evacuated.insert(data_centre_id(name));
        }
        out = replace(std::move(evacuated), row_version(reported.version));
    }
    complete_at_ = std::max(complete_at_, earliest_sent - std::chrono::milliseconds(reported.age_ms));
    return out;
}

wire::flow_evacuations known_evacuations::report(instant now) const
{
    wire::flow_evacuations out;
    out.version = version_.value();
    out.age_ms = std::chrono::ceil<std::chrono::milliseconds>(now - complete_at_).count();
    for (const data_centre_id& data_centre : evacuated_) {
        out.data_centres.push_back(data_centre.str());
    }
    return out;
}

} // namespace skylarkhub
