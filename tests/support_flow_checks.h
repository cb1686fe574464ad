// The check that ends every test with a flow_simulation.
#pragma once

#include <boost/test/unit_test.hpp>

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

} // namespace skylarkhub::test
