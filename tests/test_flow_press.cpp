// What filling work does to serving tasks: the model that learns it, the paces chosen from it, and placement by it.
#include <boost/test/unit_test.hpp>

#include <cmath>

#include "base_random_p.h"
#include "flow_place_p.h"
#include "flow_press_p.h"

using namespace skylarkhub;

namespace {

// Looks at workers where image "heavy" presses 8 on "sensitive" and 0.5 on "calm", and "light" 0.5 on both.
void show_looks(interference_model& model, int looks)
{
    random_source random = make_random(7);
    const int heavy = model.filling_index("heavy");
    const int light = model.filling_index("light");
    for (int i = 0; i < looks; ++i) {
        const double h = absl::Uniform(random, 0.0, 0.3);
        const double l = absl::Uniform(random, 0.0, 0.3);
        const double noise = absl::Uniform(random, -0.3, 0.3);
        std::vector<double> shares(2);
        shares[static_cast<std::size_t>(heavy)] = h;
        shares[static_cast<std::size_t>(light)] = l;
        model.learn(model.serving_index("sensitive"), -0.9 + 8 * h + 0.5 * l + noise, shares);
        model.learn(model.serving_index("calm"), -0.9 + 0.5 * h + 0.5 * l + noise, shares);
    }
    model.refit();
}

} // namespace

BOOST_AUTO_TEST_CASE(pairs_that_press_hard_stand_out_after_a_few_dozen_looks)
{
    interference_model model;
    show_looks(model, 60);
    const int heavy = model.filling_index("heavy");
    const int light = model.filling_index("light");
    BOOST_TEST(model.press(model.serving_index("sensitive"), heavy) > 5);
    BOOST_TEST(model.press(model.serving_index("sensitive"), light) < 2);
    BOOST_TEST(model.press(model.serving_index("calm"), heavy) < 2);
}

BOOST_AUTO_TEST_CASE(what_another_cell_learned_is_where_learning_starts)
{
    interference_model taught;
    show_looks(taught, 60);
    interference_model fresh;
    for (const auto& [pair, press] : taught.learned()) {
        for (int i = 0; i < 10; ++i) {
            fresh.hint(pair, press);
        }
    }
    BOOST_TEST(fresh.press(fresh.serving_index("sensitive"), fresh.filling_index("heavy")) > 4);
}

BOOST_AUTO_TEST_CASE(work_that_presses_least_keeps_its_pace)
{
    // Both images fill a worker of a sensitive service that bears little: the light one goes on, the heavy one is
    // slowed.
    interference_model model;
    show_looks(model, 60);
    const int heavy = model.filling_index("heavy");
    const int light = model.filling_index("light");
    std::vector<double> shares(2);
    shares[static_cast<std::size_t>(heavy)] = 0.2;
    shares[static_cast<std::size_t>(light)] = 0.2;
    const std::vector<int> paces = choose_paces(model, {{model.serving_index("sensitive"), 0.5}}, shares);
    BOOST_TEST(paces[static_cast<std::size_t>(light)] == 100);
    BOOST_TEST(paces[static_cast<std::size_t>(heavy)] < 50);
}

BOOST_AUTO_TEST_CASE(without_serving_tasks_nothing_is_slowed)
{
    interference_model model;
    show_looks(model, 60);
    for (const int pace : choose_paces(model, {}, {0.9, 0.9})) {
        BOOST_TEST(pace == 100);
    }
}

BOOST_AUTO_TEST_CASE(filling_work_is_not_counted_against_the_room)
{
    flow_step filling;
    filling.filling = true;
    filling.need = {8000, 1000, 0};
    flow_step plain = filling;
    plain.filling = false;
    place_option option;
    option.room = {16000, 64000, 0};
    option.held = {12000, 4000, 0};
    BOOST_TEST(has_room(option, filling));
    BOOST_TEST(!has_room(option, plain));
    filling.need.memory_mib = 70000;
    BOOST_TEST(!has_room(option, filling));
}

BOOST_AUTO_TEST_CASE(a_task_prefers_the_rack_of_its_data_and_shuns_workers_that_fail)
{
    flow_step step;
    step.need = {1000, 1000, 0};
    step.data_rack = rack_id("r1");
    place_option near;
    near.room = {16000, 64000, 0};
    near.rack = rack_id("r1");
    place_option far = near;
    far.rack = rack_id("r2");
    place_option failing = near;
    failing.distrust = 2;
    BOOST_TEST(place_cost(near, step, {}) < place_cost(far, step, {}));
    BOOST_TEST(place_cost(near, step, {}) < place_cost(failing, step, {}));
}
