// What every test with a flow_simulation ends with.
#pragma once

#include <boost/test/unit_test.hpp>

#include <string>

#include "support_flow_simulation.h"

namespace skylarkhub::test {

// Each broken promise is an error of the test.
inline void check_no_violations(const flow_simulation& w)
{
    for (const std::string& fault : w.invariant_violations()) {
        BOOST_ERROR(fault);
    }
}

} // namespace skylarkhub::test
