// Which data centres the operator has evacuated, as far as an entry knows. No task is started in an evacuated data
// centre. An entry learns of evacuations from the table and from its peers; what it knows is a state of the table at
// one version, so that of two states the one with the higher version is in force.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "flow_types.h"
#include "flow_types_p.h"
#include "start_permission_p.h"

namespace skylarkhub {

class known_evacuations {
public:
    // Data centres that one update has changed, for the log and for the cells.
    struct changes {
        std::vector<data_centre_id> evacuated;
        std::vector<data_centre_id> taken_back;

        bool empty() const { return evacuated.empty() && taken_back.empty(); }
    };

    // Takes in the operator's changes up to `version`. `complete_at`: a time at which there were no others; empty if
    // the update may be followed by others.
    changes apply(const flow_evacuation_update& update, row_version version, std::optional<instant> complete_at);
    // Takes in what a peer reported. `earliest_sent`: a time no later than the report was sent.
    changes adopt(const wire::flow_evacuations& reported, instant earliest_sent);
    // The report for peers.
    wire::flow_evacuations report(instant now) const;

    // Whether the evacuations have been read since this entry started, here or by a peer.
    bool known() const { return version_ > row_version(0); }
    bool includes(const data_centre_id& data_centre) const { return evacuated_.count(data_centre) != 0; }
    const std::set<data_centre_id>& evacuated() const { return evacuated_; }
    row_version version() const { return version_; }
    // The latest time at which the state was certainly the present one.
    instant complete_at() const { return complete_at_; }

private:
    changes replace(std::set<data_centre_id> evacuated, row_version version);

    std::set<data_centre_id> evacuated_;
    row_version version_; // of the table; 0: nothing is known
    instant complete_at_{};
};

} // namespace skylarkhub
