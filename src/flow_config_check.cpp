#include "flow_config_check_p.h"

#include <utility>

#include "flow_limits_p.h"

namespace skylarkhub {

using namespace flow_limits;

bool config_checks::add(instant now, instant give_up, answer done)
{
    if (now < refused_until_ || waiting_.size() + under_way_.size() >= max_config_check_requests) {
        return false;
    }
    waiting_.push_back({give_up, std::move(done)});
    return true;
}

bool config_checks::begin(instant now)
{
    if (calling_ || waiting_.empty() || now < next_call_) {
        return false;
    }
    calling_ = true;
    under_way_ = std::exchange(waiting_, {});
    return true;
}

std::vector<config_checks::answer> config_checks::end(instant now, bool confirmed)
{
    calling_ = false;
    next_call_ = now + config_check_pause;
    if (!confirmed) {
        refused_until_ = now + config_check_retry;
    }
    std::vector<answer> answers;
    for (request& r : std::exchange(under_way_, {})) {
        answers.push_back(std::move(r.done));
    }
    return answers;
}

std::vector<config_checks::answer> config_checks::give_up(instant now)
{
    std::vector<answer> answers;
    for (std::vector<request>* const requests : {&waiting_, &under_way_}) {
        std::erase_if(*requests, [&](request& r) {
            if (now < r.give_up) {
                return false;
            }
            answers.push_back(std::move(r.done));
            return true;
        });
    }
    return answers;
}

} // namespace skylarkhub
