#include "flow_place_p.h"

#include <algorithm>

namespace skylarkhub {

namespace {

// Cost of one unit of each cause, as a share of a worker's processors. Serving tasks do not interfere with each other,
// so they are packed on as few workers as possible: on a worker without serving tasks filling work can use all
// processors, beside serving tasks at their peak load only a fifth of them.
constexpr double remote_cost = 3.0;   // task on another rack than its data: runs two to three times as long
constexpr double distrust_cost = 5.0; // unreliable worker: a failed run has to be repeated in full
constexpr double excess_cost = 6.0;   // per excess pressure: filling work is slowed, or tails exceed their target
constexpr double beside_serving_cost = 0.15; // filling work beside serving tasks, whose tolerance may drop
constexpr double tolerance_cost = 1.0;  // tolerance used up: scarcer than processors, so spent where a task needs least
constexpr double no_serving_cost = 0.6; // plain (neither filling nor lasting) task on a worker without serving tasks
constexpr double first_serving_cost = 1.5; // first serving task of a worker: one interference-free worker fewer
constexpr double fragmentation_cost = 0.6; // resources left free by a serving task, possibly too few for another
constexpr double overcommit_cost = 2.0;    // filling work with fewer processors than it requests runs longer

} // namespace

std::int64_t available_for_filling(const placement_candidate& option)
{
    const double idle = (1.0 - lasting_use) * static_cast<double>(option.lasting_cpu);
    return option.room.cpu_millis - option.held.cpu_millis - option.filling_cpu + static_cast<std::int64_t>(idle);
}

bool has_label(const std::vector<std::string>& labels, const std::string& label)
{
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool has_room(const placement_candidate& option, const flow_step& step)
{
    return has_room(option.held, option.room, step);
}

bool has_room(const resources& held, const resources& room, const flow_step& step)
{
    resources need = step.need;
    if (step.filling) {
        need.cpu_millis = 0;
    }
    return fits(held + need, room);
}

double placement_cost(const placement_candidate& option, const flow_step& step,
                      const expected_interference& interference)
{
    const double total = std::max<double>(1, static_cast<double>(option.room.cpu_millis));
    const double reserved =
        static_cast<double>(option.held.cpu_millis + (step.filling ? 0 : step.need.cpu_millis)) / total;
    const double wanted = 1.0 - static_cast<double>(available_for_filling(option) - step.need.cpu_millis) / total;
    double cost = distrust_cost * option.distrust;
    if (step.data_rack.valid() && step.data_rack != option.rack) {
        cost += remote_cost;
    }
    cost += excess_cost * interference.excess_pressure;
    if (step.filling) {
        cost += tolerance_cost * interference.taken + wanted + overcommit_cost * std::max(0.0, wanted - 1.0);
        return cost + (option.serving > 0 ? beside_serving_cost : 0);
    }
    if (step.lasting) {
        return cost + fragmentation_cost * (1.0 - reserved) + (option.serving == 0 ? first_serving_cost : 0);
    }
    // Plain tasks use what serving tasks leave free, so that workers without serving tasks remain for filling work.
    return cost + (option.serving > 0 ? 1.0 - reserved : no_serving_cost + wanted);
}

} // namespace skylarkhub
