// Learned interference: how much each class of batch work slows each service, as a function of the load it puts on the
// service's worker, from measurements that lag.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

#include "config.h"
#include "place_names_p.h"
#include "place_p.h"

namespace skylarkhub::detail {

// Load that tasks of one class and family put on a worker, as a share of its processors.
struct class_load {
    name_index batch_class = any_name;
    name_index family = any_name;
    double load = 0;
};

struct slope {
    double mean = 0;     // slowdown added per unit of load
    double variance = 0; // of that mean, from too few or too old measurements
};

// Slowdown of a service task is 1 + the sum over its neighbours of load times slope + a remainder of its own. A slope
// is the sum of effects: of everything, of the service, of the class, of the pair, and of the job's family. Each effect
// is a mean with a variance (a Kalman filter whose covariances are left out): a measurement moves the effects it knows
// least about most, so a new pair starts as its class and its service, and those start as everything.
class harm_model {
public:
    // `site` is the service task, `service` its family; `taken` when the slowdown was measured, under `neighbours`.
    void learn(instant taken, name_index site, name_index service, const std::vector<class_load>& neighbours,
               double slowdown);

    slope slope_of(name_index service, name_index batch_class) const;
    slope family_slope(name_index family) const;

    // The part of a service task's slowdown that its neighbours' loads do not explain.
    slope remainder(name_index site) const;

    // Forgets single sites and families that were not measured for `age`.
    void sweep(instant now, duration age);

private:
    enum class level : std::uint8_t { everything, service, batch_class, pair, family, site };
    struct effect {
        double mean = 0;
        double variance = 0;
        instant updated{};
    };
    struct term {
        effect* what = nullptr;
        double weight = 0;
    };
    static std::uint64_t key_of(level l, name_index a, name_index b);
    static effect prior(level l);
    slope read(level l, name_index a, name_index b) const;
    void add_term(std::vector<term>& terms, instant taken, level l, name_index a, name_index b, double weight);

    absl::flat_hash_map<std::uint64_t, effect> effects_;
    absl::flat_hash_map<name_index, instant> last_measured_;
};

// Expected harm to one service task: the chance that it is slower than its limit, and how far. `above` is
// (slowdown - 1) / (limit - 1), so 1 is at the limit.
double expected_harm(double above, double deviation);

} // namespace skylarkhub::detail
