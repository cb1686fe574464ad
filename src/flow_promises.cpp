#include "flow_promises_p.h"

#include <vector>

namespace skylarkhub {

void flow_promises::add(const flow_task_id& task, const promised_place& place)
{
    remove(task);
    places_.emplace(task, place);
    resources& room = rooms_[place.worker];
    room = room + place.need;
}

void flow_promises::remove(const flow_task_id& task)
{
    const auto at = places_.find(task);
    if (at == places_.end()) {
        return;
    }
    resources& room = rooms_.at(at->second.worker);
    room = room - at->second.need;
    places_.erase(at);
    if (places_.empty()) {
        rooms_.clear();
    }
}

bool flow_promises::remove_expired(instant now)
{
    std::vector<flow_task_id> expired;
    for (const auto& [task, place] : places_) {
        if (now >= place.until) {
            expired.push_back(task);
        }
    }
    for (const flow_task_id& task : expired) {
        remove(task);
    }
    return !expired.empty();
}

void flow_promises::clear()
{
    places_.clear();
    rooms_.clear();
}

const promised_place* flow_promises::find(const flow_task_id& task) const
{
    const auto at = places_.find(task);
    return at == places_.end() ? nullptr : &at->second;
}

bool flow_promises::has_any_of_stage(const flow_task_id& task) const
{
    const auto at = places_.lower_bound(first_of_stage(task));
    return at != places_.end() && same_stage(at->first, task);
}

std::int32_t flow_promises::count_others_of_stage(const flow_task_id& task, const worker_id& worker) const
{
    std::int32_t others = 0;
    for (auto at = places_.lower_bound(first_of_stage(task)); at != places_.end() && same_stage(at->first, task);
         ++at) {
        others += at->second.worker == worker && at->first != task ? 1 : 0;
    }
    return others;
}

resources flow_promises::room_on(const worker_id& worker, const flow_task_id* except) const
{
    const auto at = rooms_.find(worker);
    if (at == rooms_.end()) {
        return {};
    }
    const promised_place* const own = except == nullptr ? nullptr : find(*except);
    return own != nullptr && own->worker == worker ? at->second - own->need : at->second;
}

} // namespace skylarkhub
