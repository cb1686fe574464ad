// From the lines of several entries to the story of one job.
#include <boost/test/unit_test.hpp>

#include "log_story_p.h"

using namespace skylarkhub;

namespace {

const std::string job = "00000000000000aa";

std::vector<logged_line> parse_all(const std::vector<std::string>& texts)
{
    std::vector<logged_line> lines;
    for (const std::string& text : texts) {
        auto line = parse_logged_line(text, "log");
        BOOST_REQUIRE_MESSAGE(line, text);
        lines.push_back(*line);
    }
    return lines;
}

std::vector<std::string> events_of(const job_story& story)
{
    std::vector<std::string> events;
    for (const story_line& told : story.lines) {
        events.push_back(told.line.subject + ' ' + told.line.event);
    }
    return events;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_line_is_read_with_and_without_words_before_it)
{
    const auto plain = parse_logged_line(
        "warning 2026-01-04T05:57:27.790Z worker lost worker=i-1 reason=\"no answer, \\\"late\\\"\"", "a.log");
    BOOST_REQUIRE(plain);
    BOOST_TEST(plain->source == "a.log");
    BOOST_TEST(plain->subject == "worker");
    BOOST_TEST(plain->fields.at("reason") == "no answer, \"late\"");
    const auto collected =
        parse_logged_line("  -9.1 entry-3 info 2026-01-04T05:57:27.790Z cell taken cell=a epoch=1", "b");
    BOOST_REQUIRE(collected);
    BOOST_TEST(collected->source == "entry-3");
    BOOST_TEST(collected->text == "info 2026-01-04T05:57:27.790Z cell taken cell=a epoch=1");
    BOOST_TEST(!parse_logged_line("quiet-1  9/66  0.56", "b"));
    BOOST_TEST(!parse_logged_line("info yesterday cell taken", "b"));
    BOOST_TEST(!parse_logged_line("", "b"));
}

BOOST_AUTO_TEST_CASE(lines_are_ordered_by_cause_where_clocks_differ)
{
    // An engineer reads that a run ended four seconds before it was placed: the owner's clock is five seconds behind
    // the clock of the entry that accepted the job.
    const auto lines = parse_all({
        "entry-1 info 2026-01-04T05:00:10.000Z job accepted job=" + job + " cell=c",
        "entry-2 info 2026-01-04T05:00:05.010Z job bound job=" + job + " cell=c",
        "entry-2 info 2026-01-04T05:00:05.020Z run placed job=" + job + " step=0 index=1 run=1 worker=i-1",
        "entry-2 info 2026-01-04T05:00:07.500Z cell lost cell=c epoch=1",
        "entry-3 info 2026-01-04T05:00:12.000Z cell taken cell=c epoch=2",
        "entry-3 info 2026-01-04T05:00:12.100Z run ended task=" + job + ".0.0.1 run=1 worker=i-1 how=done",
    });
    const job_story story = order_story(lines_of_job(lines, job));
    const std::vector<std::string> expected{"job accepted", "job bound", "run placed",
                                            "cell taken",   "run ended", "cell lost"};
    BOOST_TEST(events_of(story) == expected, boost::test_tools::per_element());
    BOOST_TEST(story.ahead.count("entry-1") == 0);
    BOOST_TEST(absl::ToDoubleSeconds(story.ahead.at("entry-2")) >= 4.99);
}

BOOST_AUTO_TEST_CASE(a_clock_that_jumps_back_does_not_turn_an_entrys_lines_round)
{
    const auto lines = parse_all({
        "entry-1 info 2026-01-04T05:00:10.000Z job accepted job=" + job + " cell=c",
        "entry-1 info 2026-01-04T05:00:02.000Z job bound job=" + job + " cell=c",
        "entry-1 info 2026-01-04T05:00:02.100Z run placed job=" + job + " step=0 index=0 run=1 worker=i-1",
    });
    const std::vector<std::string> expected{"job accepted", "job bound", "run placed"};
    BOOST_TEST(events_of(order_story(lines)) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(the_fate_of_its_workers_and_cells_belongs_to_the_story)
{
    const auto lines = parse_all({
        "entry-1 info 2026-01-04T05:00:01.000Z worker silent worker=i-1", // before the job
        "entry-1 info 2026-01-04T05:00:10.000Z job bound job=" + job + " cell=c",
        "entry-1 info 2026-01-04T05:00:10.010Z run placed job=" + job + " step=0 index=0 run=1 worker=i-1",
        "entry-1 info 2026-01-04T05:00:11.000Z cell load cell=c jobs=3",
        "entry-1 warning 2026-01-04T05:00:12.000Z worker lost worker=i-1 runs=9",
        "entry-1 warning 2026-01-04T05:00:12.000Z worker lost worker=i-2 runs=9",
        "entry-1 info 2026-01-04T05:00:13.000Z run placed job=bb step=0 index=0 run=1 worker=i-1",
        "entry-1 info 2026-01-04T05:00:14.000Z cell released cell=c",
    });
    const std::vector<std::string> expected{"job bound", "run placed", "worker lost", "cell released"};
    BOOST_TEST(events_of(order_story(lines_of_job(lines, job))) == expected, boost::test_tools::per_element());
    BOOST_TEST(lines_of_job(lines, "cc").empty());
}
