// What is done to a site in a soak, planned from a seed before it begins.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "base_random_p.h"
#include "support_soak_site.h"

namespace skylarkhub::tests {

struct soak_action {
    std::string text;
    std::function<void()> act;
    int harms = 0; // 1: something is harmed from now on, -1: no longer
};

// By when each is due, from the begin of the soak; after the last one nothing is harmed any more.
using soak_plan = std::multimap<duration, soak_action>;

soak_plan plan_faults(random_source& random, duration length, soak_site& site);
// Adds evacuations of data centres, which are no faults: one after another, at times of all at once.
void plan_evacuations(random_source& random, duration length, soak_site& site, soak_plan& plan);

} // namespace skylarkhub::tests
