// What tests with a flow_simulation share: the check that ends each of them, the owner of a cell, and
// plays of one test for many seeds.
#pragma once

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <functional>
#include <string>

#include "support_flow_simulation.h"

namespace skylarkhub::test {

// Reports each invariant violation of the simulation as an error of the test.
inline void check_no_violations(const flow_simulation& simulation)
{
    for (const std::string& violation : simulation.invariant_violations()) {
        BOOST_ERROR(violation);
    }
}

// Returns the number of the running entry, of the first `entries`, that owns the cell, or -1.
inline int owner_of(flow_simulation& simulation, const std::string& cell, int entries)
{
    for (int i = 0; i < entries; ++i) {
        if (simulation.entry(i) == nullptr) {
            continue;
        }
        const auto at = simulation.entry(i)->cells().find(cell_id(cell));
        if (at != simulation.entry(i)->cells().end() && at->second->owns()) {
            return i;
        }
    }
    return -1;
}

// Calls `run` for the seeds 1 to `last`, or for those given on the command line:
// PROGRAM --run_test=NAME -- FIRST LAST
inline void each_seed(std::uint64_t last, const std::function<void(std::uint64_t)>& run)
{
    const auto& arguments = boost::unit_test::framework::master_test_suite();
    const bool from_arguments = arguments.argc == 3;
    const std::uint64_t first = from_arguments ? std::stoull(arguments.argv[1]) : 1;
    for (std::uint64_t seed = first; seed <= (from_arguments ? std::stoull(arguments.argv[2]) : last); ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            run(seed);
        }
    }
}

} // namespace skylarkhub::test
