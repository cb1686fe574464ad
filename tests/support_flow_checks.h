// What every test with a flow_world ends with.
#pragma once

#include <boost/test/unit_test.hpp>

#include <string>

#include "support_flow_world.h"

namespace skylarkhub::test {

// Each broken promise is an error of the test.
inline void check_no_faults(const flow_world& w)
{
    for (const std::string& fault : w.faults()) {
        BOOST_ERROR(fault);
    }
}

} // namespace skylarkhub::test
