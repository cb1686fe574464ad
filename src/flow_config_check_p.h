// Collects the requests that wait until the table confirms that the configuration in force is the newest. Contains
// decisions only and does no I/O.
//
// Load pattern: callers ask at any rate for queues that the configuration lacks. One call to the table answers all that
// came before it was sent, one call is under way at a time, and a pause follows each, so that wrong names cost the
// table a few calls a second.
#pragma once

#include <functional>
#include <vector>

#include "flow_types_p.h"

namespace skylarkhub {

class config_checks {
public:
    // `confirmed`: the configuration in force was the newest at some time after the request.
    using answer = std::function<void(instant now, bool confirmed)>;

    // Adds a request that waits until `give_up` at the latest. Returns false, without keeping it, if too many wait or
    // if the table has not confirmed anything a moment ago.
    bool add(instant now, instant give_up, answer done);
    // Returns whether a call is to be sent now; all that wait are then answered by it.
    bool begin(instant now);
    // Takes in the outcome of the call. Returns the requests that it answers.
    std::vector<answer> end(instant now, bool confirmed);
    // Returns the requests whose time is over, which wait no longer.
    std::vector<answer> give_up(instant now);

private:
    struct request {
        instant give_up{};
        answer done;
    };
    std::vector<request> waiting_;   // for the next call
    std::vector<request> under_way_; // asked about by the call that is under way
    bool calling_ = false;
    instant next_call_{};
    instant refused_until_{};
};

} // namespace skylarkhub
