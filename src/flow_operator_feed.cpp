#include "flow_operator_feed_p.h"

#include <algorithm>

#include "flow_limits_p.h"

namespace skylarkhub {

using namespace flow_limits;

operator_feed::call operator_feed::next_call(instant now) const
{
    // After changes the next call only checks whether further ones follow.
    return {known_to_, changes_came_ ? duration(0) : operator_wait, now};
}

std::optional<instant> operator_feed::take(const call& sent, instant now, const operator_update& answer)
{
    if (answer.history_compacted) {
        // Changes may be missing, also from the answers before: only the whole state proves something again.
        *this = {};
        return std::nullopt;
    }
    known_to_ = std::max(known_to_, answer.version);
    changes_came_ = answer.more || answer.config.has_value();
    if (answer.more) {
        return std::nullopt; // the answer may have been cut before the newest change
    }
    // An answer with a configuration was true when it was asked for; a large text takes time over a narrow link.
    complete_at_ = answer.config ? sent.asked : now;
    return complete_at_;
}

} // namespace skylarkhub
