// Interference of filling work with serving tasks: the model, the choice of paces, and the cost of placement.
#include <boost/test/unit_test.hpp>

#include <cmath>

#include "base_random_p.h"
#include "flow_interference_p.h"
#include "flow_place_p.h"

using namespace skylarkhub;

namespace {

constexpr double idle_tail = 0.22; // of the target

// Tail latency of a serving task, relative to its target: that of a queue whose utilization grows with the pressure of
// filling work.
double tail_at(double load, double pressure, double noise)
{
    const double utilization = std::min(0.94, load * (1 + pressure));
    return idle_tail / (1 - utilization) * (1 + noise);
}

// Adds samples in which filling image "heavy" has the coefficient 6 with serving image "sensitive" and 0.5 with "calm",
// and filling image "light" 0.5 with both.
void add_samples(interference_model& model, int samples)
{
    random_source random = make_random(7);
    const int heavy = model.filling_index("heavy");
    const int light = model.filling_index("light");
    for (int i = 0; i < samples; ++i) {
        const double h = absl::Uniform(random, 0.0, 0.2);
        const double l = absl::Uniform(random, 0.0, 0.3);
        const double load = absl::Uniform(random, 0.2, 0.5);
        std::vector<double> shares(2);
        shares[static_cast<std::size_t>(heavy)] = h;
        shares[static_cast<std::size_t>(light)] = l;
        for (const auto& [image, pressure] :
             {std::pair("sensitive", 6 * h + 0.5 * l), std::pair("calm", 0.5 * (h + l))}) {
            const int serving = model.serving_index(image);
            const double tail = tail_at(load, pressure, absl::Uniform(random, -0.05, 0.05));
            model.note_tail(serving, tail);
            model.learn(serving, model.utilization(serving, tail), load, shares);
        }
    }
    model.refit();
}

} // namespace

BOOST_AUTO_TEST_CASE(strong_interference_is_recognised_after_60_samples)
{
    interference_model model;
    add_samples(model, 60);
    const int heavy = model.filling_index("heavy");
    const int light = model.filling_index("light");
    BOOST_TEST(model.interference_coefficient(model.serving_index("sensitive"), heavy) > 3);
    BOOST_TEST(model.interference_coefficient(model.serving_index("sensitive"), light) < 1.5);
    BOOST_TEST(model.interference_coefficient(model.serving_index("calm"), heavy) < 1.5);
}

BOOST_AUTO_TEST_CASE(coefficients_of_another_cell_are_the_prior)
{
    interference_model taught;
    add_samples(taught, 60);
    interference_model fresh;
    for (const auto& [pair, interference_coefficient] : taught.learned()) {
        for (int i = 0; i < 10; ++i) {
            fresh.seed_coefficient(pair, interference_coefficient);
        }
    }
    BOOST_TEST(fresh.interference_coefficient(fresh.serving_index("sensitive"), fresh.filling_index("heavy")) > 3);
}

BOOST_AUTO_TEST_CASE(filling_work_with_the_least_interference_keeps_its_pace)
{
    // Both filling images run beside a serving image with a low tolerance: only "heavy" is slowed.
    interference_model model;
    add_samples(model, 60);
    const int heavy = model.filling_index("heavy");
    const int light = model.filling_index("light");
    std::vector<double> shares(2);
    shares[static_cast<std::size_t>(heavy)] = 0.2;
    shares[static_cast<std::size_t>(light)] = 0.2;
    const std::vector<int> paces = choose_paces(model, {{model.serving_index("sensitive"), 0.5}}, shares);
    BOOST_TEST(paces[static_cast<std::size_t>(light)] == 100);
    BOOST_TEST(paces[static_cast<std::size_t>(heavy)] < 50);
}

BOOST_AUTO_TEST_CASE(without_serving_tasks_no_filling_work_is_slowed)
{
    interference_model model;
    add_samples(model, 60);
    for (const int pace : choose_paces(model, {}, {0.9, 0.9})) {
        BOOST_TEST(pace == 100);
    }
}

BOOST_AUTO_TEST_CASE(the_tolerated_pressure_falls_with_the_load)
{
    // If filling work were admitted by the average tolerance, serving tasks would slow down once in each period of
    // their load: at a load of 0.6 and an idle tail latency of 0.22 of the target, the tolerated pressure is only a
    // fifth.
    interference_model model;
    add_samples(model, 60);
    const int calm = model.serving_index("calm");
    for (const double load : {0.2, 0.42, 0.62}) {
        const double tolerated_pressure = model.tolerable_pressure(calm, load);
        BOOST_TEST(tail_at(load, tolerated_pressure, 0) < 1.0);
        BOOST_TEST(tail_at(load, tolerated_pressure, 0) > 0.7);
    }
    BOOST_TEST(model.tolerable_pressure(calm, 0.62) < 0.35);
    BOOST_TEST(model.tolerable_pressure(calm, 0.42) > 0.6);
    BOOST_TEST(model.tolerable_pressure(calm, 0.95) == 0);
}

BOOST_AUTO_TEST_CASE(a_backlog_gives_no_estimate_of_the_load)
{
    interference_model model;
    const int serving = model.serving_index("page");
    const int filling = model.filling_index("crawl");
    std::vector<double> shares(1, 0.5);
    shares.resize(static_cast<std::size_t>(filling) + 1, 0.5);
    BOOST_TEST(model.load_weight(serving, model.utilization(serving, 30), shares) == 0);
    BOOST_TEST(model.load_weight(serving, model.utilization(serving, 0.4), {}) == 1);
    BOOST_TEST(model.load_weight(serving, model.utilization(serving, 0.4), shares) < 0.2);
}

BOOST_AUTO_TEST_CASE(serving_tasks_are_packed_and_filling_work_prefers_workers_without_them)
{
    flow_step serving;
    serving.lasting = true;
    serving.need = {6000, 8000, 0};
    serving.tail_target = std::chrono::milliseconds(18);
    placement_candidate empty;
    empty.room = {32000, 128000, 0};
    placement_candidate begun = empty;
    begun.held = {12000, 16000, 0};
    begun.lasting_cpu = 12000;
    begun.serving = 2;
    placement_candidate nearly_full = begun;
    nearly_full.held = {24000, 32000, 0};
    nearly_full.lasting_cpu = 24000;
    nearly_full.serving = 4;
    BOOST_TEST(placement_cost(begun, serving, {}) < placement_cost(empty, serving, {}));
    BOOST_TEST(placement_cost(nearly_full, serving, {}) < placement_cost(begun, serving, {}));

    flow_step filling;
    filling.filling = true;
    filling.need = {3000, 4000, 0};
    BOOST_TEST(placement_cost(empty, filling, {}) < placement_cost(begun, filling, {}));
}

BOOST_AUTO_TEST_CASE(a_filling_task_needs_no_free_processors_but_free_memory)
{
    flow_step filling;
    filling.filling = true;
    filling.need = {8000, 1000, 0};
    flow_step plain = filling;
    plain.filling = false;
    placement_candidate option;
    option.room = {16000, 64000, 0};
    option.held = {12000, 4000, 0};
    BOOST_TEST(has_room(option, filling));
    BOOST_TEST(!has_room(option, plain));
    filling.need.memory_mib = 70000;
    BOOST_TEST(!has_room(option, filling));
}

BOOST_AUTO_TEST_CASE(a_task_prefers_the_rack_of_its_data_and_avoids_unreliable_workers)
{
    flow_step step;
    step.need = {1000, 1000, 0};
    step.data_rack = rack_id("r1");
    placement_candidate near;
    near.room = {16000, 64000, 0};
    near.rack = rack_id("r1");
    placement_candidate far = near;
    far.rack = rack_id("r2");
    placement_candidate failing = near;
    failing.distrust = 2;
    BOOST_TEST(placement_cost(near, step, {}) < placement_cost(far, step, {}));
    BOOST_TEST(placement_cost(near, step, {}) < placement_cost(failing, step, {}));
}
