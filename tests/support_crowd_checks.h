// What must hold of a process that a crowd calls.
#pragma once

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <functional>

#include "support_child.h"
#include "support_crowd.h"

namespace skylarkhub::tests {

// Plays two crowds, one after the other, so that what the first one has left behind counts as well. `ask`: sends one
// ordinary request and returns whether it was served; it is called while the crowd is still open.
inline void check_crowds(child& process, const crowd_plan& plan, const process_use& most,
                         const std::function<bool()>& ask)
{
    std::signal(SIGPIPE, SIG_IGN);
    process_use use;
    for (int i = 0; i < 2; ++i) {
        crowd clients(plan);
        clients.send_all(process.id(), use);
        BOOST_REQUIRE(process.running());
        BOOST_TEST(wait_for(ask));
    }
    BOOST_REQUIRE(process.running());
    use.memory_mib = std::max(use.memory_mib, read_use(process.id()).memory_mib);
    BOOST_TEST_MESSAGE(fmt::format("at most {} MiB and {} sockets", use.memory_mib, use.sockets));
    BOOST_TEST(use.memory_mib <= most.memory_mib);
    BOOST_TEST(use.sockets <= most.sockets);
}

} // namespace skylarkhub::tests
