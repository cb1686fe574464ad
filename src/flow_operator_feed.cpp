#include "flow_operator_feed_p.h"

#include <algorithm>

#include "flow_limits_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

// Returns the latest time at which an answer was certainly true. It may have been on its way for long, or have waited
// for this process to handle it, so the time at which it is handled proves nothing. An answer that shows no change was
// held back by the table for the whole wait; one that comes sooner was not.
instant time_of_truth(const operator_feed::call& sent, instant now, const operator_update& answer)
{
    const bool held_back = !answer.evacuations.whole && now - sent.asked >= sent.wait;
    return held_back ? sent.asked + sent.wait : sent.asked;
}

} // namespace

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
    if (answer.config || answer.config_unreadable) {
        config_readable_ = !answer.config_unreadable;
    }
    if (answer.more) {
        return std::nullopt; // the answer may have been cut before the newest change
    }
    complete_at_ = time_of_truth(sent, now, answer);
    return complete_at_;
}

std::optional<instant> operator_feed::config_complete_at() const
{
    return config_readable_ ? complete_at_ : std::nullopt;
}

} // namespace skylarkhub
