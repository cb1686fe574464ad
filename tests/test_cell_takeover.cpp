#include <boost/test/unit_test.hpp>

#include "support_cell_hand.h"

using namespace skylarkhub;
using namespace skylarkhub::hand;

namespace {

const incarnation_id deputy("e3@1");
const cell_settings defaults;

} // namespace

// A renewal names no deputies, because the owner saw itself alone for a moment; it takes effect, its answer is lost,
// and the table is out of the owner's reach from then on. The deputy named before comes back and promises. But by the
// row in force anybody may take the cell after T_hold, so that promise must not stretch the owner's hold.
BOOST_AUTO_TEST_CASE(a_promise_counts_for_nothing_when_the_row_may_name_nobody)
{
    driver d;
    d.own({"w1"});
    d.give(cell_members_seen{{self, deputy}});
    d.run(3s);
    BOOST_REQUIRE(d.row_now().deputies.size() == 1);
    d.give(cell_members_seen{{self}});
    d.mood = table_mood::applies_unanswered;
    d.run(2s);
    BOOST_REQUIRE(d.row_now().deputies.empty());
    for (const instant end = d.now + 2 * defaults.hold; d.now < end;) {
        d.run(1s);
        d.give(cell_hold_answered{deputy, d.c.epoch(), true, d.now, defaults.promise});
    }
    BOOST_TEST(d.noticed("cell_unheld"));
    d.log.clear();
    d.run(3s);
    BOOST_TEST(d.all<send_worker>().empty());
}

// An entry owns the cell, loses it, and takes it again after its successor handed it over. An answer that a worker gave
// in the first ownership arrives only now, and its sequence number is that of the newest request. Taken for the answer
// to that, it would show a worker as fenced that is not, with an inventory from before the successor's starts.
BOOST_AUTO_TEST_CASE(an_answer_from_an_earlier_ownership_fences_nobody)
{
    driver d;
    d.own({"w1"}, {submit(make_job("j", 1))});
    d.run(1s);
    worker_hand& w = d.workers["w1"];
    const worker_report early = d.report_of(worker_hand{}, w.requests.front());
    wire::cell_row successors = d.row_now();
    successors.__set_epoch(2);
    successors.__set_owner(other.str());
    successors.__set_handed_over(true);
    d.write_row(successors, "other.1");
    w.slow = true;
    while (d.c.role() != cell_role::fencing) {
        d.tick(50ms);
    }
    d.log.clear();
    d.give(cell_worker_answered{worker_id("w1"), w.requests.front().sequence, d.now, early});
    d.run(defaults.lease_length / 2);
    BOOST_TEST((d.c.role() == cell_role::fencing));
    w.slow = false;
    d.give(cell_worker_answered{worker_id("w1"), sequence_number(1), d.now,
                                d.report_of(w, {worker_id("w1"), d.c.epoch(), sequence_number(1), self, "", {}})});
    d.run(1s);
    BOOST_TEST((d.c.role() == cell_role::owning));
}

// The answer to a takeover is lost, so the row is read back. An answer to a read from long before arrives first, and
// shows a version older than the one that was checked. Taken as proof that somebody else came first, it would end the
// waiting, and this deputy would promise the owner not to take what it may yet take: the write is still on its way.
BOOST_AUTO_TEST_CASE(an_older_row_read_back_proves_nothing)
{
    driver d;
    d.write_row(make_row(7, other, {self.str()}), "other.1");
    const table_row old_row = d.read();
    d.write_row(make_row(7, other, {self.str()}), "other.2");
    d.give(cell_members_seen{{self, other}});
    while (d.all<commit_cell>().empty()) {
        d.now += 1s;
        d.give(cell_row_seen{true, d.read()});
    }
    BOOST_REQUIRE((d.c.role() == cell_role::taking));
    const operation_id taking = d.all<commit_cell>()[0].transaction.operation;
    d.give(cell_committed{{taking, table_outcome::unknown, {}, ""}});
    d.give(cell_row_seen{true, old_row});
    BOOST_TEST((d.c.role() == cell_role::taking));
    d.give(cell_hold_asked{other, skylarkhub::epoch(7), 5s});
    BOOST_TEST(!d.all<answer_hold>().back().promised);
    // Tried again, it is beaten by the owner's own renewal: that does prove it.
    d.write_row(make_row(7, other, {self.str()}), "other.3");
    d.tick(1s);
    BOOST_TEST((d.c.role() == cell_role::watching));
}
