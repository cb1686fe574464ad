// What the kind of a request forbids, and how its outcome is told to the caller.
#pragma once

#include "request_gate_p.h"

namespace skylarkhub {

struct send_rules {
    // A second send while the first may have run or may still run: a retry after an unknown outcome, or a hedge.
    bool may_run_again = false;
    bool may_hedge = false;
    // With a caller's key, a durable claim before the first byte leaves.
    bool claims_key = false;
};

send_rules rules_of(const work_kind& kind);

// The outcome and the HTTP status that go with a reason, see docs/PROTOCOLS.md. `bytes_left`: some send may have run.
request_outcome outcome_of(answer_reason reason, bool bytes_left);
int status_of(answer_reason reason, bool bytes_left);

} // namespace skylarkhub
