// A short soak with a fixed seed; scripts/soak plays more and longer ones by hand.
#include <boost/test/unit_test.hpp>

#include <csignal>

#include "support_soak.h"

using namespace skylarkhub::tests;

BOOST_AUTO_TEST_CASE(promises_hold_under_faults_of_a_short_soak)
{
    // Callers hand jobs in, ask for them and cancel some, while entries are killed, stopped and stand still, the table
    // and the links to it and to workers are harmed, and workers crash, leave and come back, one fault over the other.
    // No task runs twice or after its end was confirmed, none that was refused or cancelled starts, no worker is
    // overfilled, and all that was accepted comes to its end once the faults are over.
    signal(SIGPIPE, SIG_IGN);
    const soak_report report = run_soak({.seed = 1, .length = std::chrono::seconds(22), .entries = 3, .workers = 6});
    BOOST_TEST(report.counts.jobs.count(hand_in::accepted) == 1U);
    BOOST_TEST(report.counts.starts > 0);
    BOOST_TEST(report.broken == std::vector<std::string>{}, boost::test_tools::per_element());
    BOOST_TEST_MESSAGE(report.folder);
}
