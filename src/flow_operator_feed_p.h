// What the table's answers about the operator's changes prove: up to which version the changes are known, and at which
// time there were certainly no others.
#pragma once

#include <optional>

#include "flow_edges_p.h"
#include "flow_types_p.h"

namespace skylarkhub {

class operator_feed {
public:
    // A call for the changes after `after`; for the whole state if that is 0.
    struct call {
        row_version after;
        duration wait{0};
        instant asked{};
    };
    // Returns the call to be made at `now`.
    call next_call(instant now) const;
    // Takes in an answer that the table gave to `sent`. Returns the time at which there were certainly no changes but
    // those known with this answer; empty if it does not prove such a time.
    std::optional<instant> take(const call& sent, instant now, const operator_update& answer);

    // The latest time at which all of the operator's changes were certainly known; empty if no time is.
    std::optional<instant> complete_at() const { return complete_at_; }
    // The latest time at which the configuration read last was certainly the newest; empty also while the newest one
    // cannot be read.
    std::optional<instant> config_complete_at() const;

private:
    row_version known_to_;
    bool changes_came_ = false; // with the last answer
    bool config_readable_ = true;
    std::optional<instant> complete_at_;
};

} // namespace skylarkhub
