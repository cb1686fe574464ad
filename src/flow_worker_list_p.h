// The platform's list of workers as an entry knows it, with its age. An entry reads the list from the table or is told
// it by a peer; of two lists the one that was read later is in force.
#pragma once

#include <optional>

#include "flow_types.h"
#include "flow_types_p.h"

namespace skylarkhub {

wire::flow_listed_worker_row to_wire(const flow_listed_worker& worker);
flow_listed_worker from_wire(const wire::flow_listed_worker_row& row);

class known_workers {
public:
    // Takes a list that was certainly the present one at `as_of`. Returns false if the known one is newer.
    bool take(flow_worker_list list, instant as_of);
    const flow_worker_list& list() const { return list_; }
    // When the list was certainly the present one; empty if none is known.
    std::optional<instant> as_of() const { return as_of_; }
    bool is_younger(instant now, duration age) const { return as_of_ && now - *as_of_ < age; }

    // The request to a peer for a newer list.
    wire::flow_worker_list_ask ask(instant now) const;
    // The answer to a peer's request; empty if the peer has a newer list, or if further lists would take too much of
    // the link.
    std::optional<wire::flow_worker_list_row> tell(instant now, const wire::flow_worker_list_ask& ask);

private:
    flow_worker_list list_;
    std::optional<instant> as_of_;
    instant next_tell_{};
};

} // namespace skylarkhub
