#include "request_gate_p.h"

namespace skylarkhub {

send_outcome judge_reply(const target_reply& reply, const std::string& request_id)
{
    if (!reply.may_have_arrived) {
        return send_outcome::not_sent;
    }
    if (!reply.answered) {
        return send_outcome::unknown;
    }
    const bool ours = reply.request_id == request_id;
    if (reply.status == 200 && ours && !reply.oversized) {
        return send_outcome::done;
    }
    // A refusal may come from a layer that has not read the request's headers, so it need not name the request; one
    // that names another request is a crossed answer and tells nothing about ours.
    if (reply.status == 503 && reply.did_not_run && (ours || reply.request_id.empty())) {
        return send_outcome::did_not_run;
    }
    return send_outcome::unknown;
}

} // namespace skylarkhub
