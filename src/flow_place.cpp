#include "flow_place_p.h"

#include "flow_press_p.h"

#include <algorithm>

namespace skylarkhub {

namespace {

// Weights in shares of a worker's processors: what one unit of the cause costs the work on that worker. Measured on a
// calm day: serving tasks do not disturb each other (tails of 0.4 to 0.5 of the target at one to eight on a worker), while
// filling tasks beside them push tails over the target in a tenth of the looks at 20% of the processors, in half at 60%.
// So serving tasks are packed, and filling work keeps away from them as long as there is another worker.
constexpr double remote_cost = 3.0;     // away from its data a task takes two to three times as long
constexpr double distrust_cost = 5.0;   // a failed run costs the whole run again
constexpr double slow_cost = 1.0;       // for each further multiple of the estimated time
constexpr double strain_cost = 3.0;     // a filler beside a serving task that is near its target is paced
constexpr double beside_serving = 0.5;  // a hard filler beside serving tasks, or a light one where a hard one could go
constexpr double tail_cost = 4.0;       // for each share of the target that the tail is expected above the comfortable one
constexpr double filler_beside = 0.3;   // a serving task beside each filler
constexpr double apart_cost = 0.5;      // serving or plain work on a worker that has no serving task yet
constexpr double overcommit_cost = 2.0; // filling work that gets less than it wants runs longer

} // namespace

std::int64_t left_for_filling(const place_option& option)
{
    const double idle = (1.0 - lasting_use) * static_cast<double>(option.lasting_cpu);
    return option.room.cpu_millis - option.held.cpu_millis - option.filling_cpu + static_cast<std::int64_t>(idle);
}

bool has_room(const place_option& option, const flow_step& step)
{
    resources need = step.need;
    if (step.filling) {
        need.cpu_millis = 0;
    }
    return fits(option.held + need, option.room);
}

double place_cost(const place_option& option, const flow_step& step, double pressure)
{
    const double total = std::max<double>(1, static_cast<double>(option.room.cpu_millis));
    const double counted = static_cast<double>(option.held.cpu_millis + (step.filling ? 0 : step.need.cpu_millis)) / total;
    const double wanted =
        1.0 - static_cast<double>(left_for_filling(option) - step.need.cpu_millis) / total;
    double cost = distrust_cost * option.distrust + slow_cost * (option.slowness - 1.0);
    if (step.data_rack.valid() && step.data_rack != option.rack) {
        cost += remote_cost;
    }
    if (step.filling) {
        cost += wanted + overcommit_cost * std::max(0.0, wanted - 1.0);
        if (option.serving > 0) {
            const double tail = option.tail + pressure * static_cast<double>(step.need.cpu_millis) / total;
            cost += tail_cost * std::max(0.0, tail - comfortable_tail);
        }
        // Workers without serving tasks are kept for what can go nowhere else.
        const bool hard = pressure >= hard_pressure;
        cost += hard == (option.serving > 0) ? beside_serving : 0;
        cost += option.strained ? strain_cost : 0;
        return cost;
    }
    // Packed where serving tasks are, so that other workers stay whole for filling work.
    cost += option.serving > 0 ? 1.0 - counted : apart_cost + wanted;
    if (step.lasting && step.tail_target > duration(0)) {
        cost += filler_beside * option.fillers;
    }
    return cost;
}

} // namespace skylarkhub
