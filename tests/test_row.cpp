#include <boost/test/unit_test.hpp>

#include "row_codec_p.h"
#include "row_keys_p.h"

using namespace skylarkhub;

BOOST_AUTO_TEST_CASE(a_row_survives_encoding)
{
    wire::cell_row row;
    row.__set_cell("a.r1");
    row.__set_epoch(7);
    row.__set_deputies({"e2@5", "e3@9"});
    const auto back = decode_row<wire::cell_row>(encode_row(row));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((*back == row));
}

BOOST_AUTO_TEST_CASE(a_damaged_row_is_refused_with_a_reason)
{
    std::string reason;
    BOOST_TEST(!decode_row<wire::cell_row>("not base64!", &reason).has_value());
    BOOST_TEST(!reason.empty());
}

// Two teams whose names differ only by where a slash stands must not share rows: one could read the other's jobs.
BOOST_AUTO_TEST_CASE(names_with_slashes_stay_apart)
{
    BOOST_TEST(standing_key(team_id("a/b"), "c") != standing_key(team_id("a"), "b/c"));
}

BOOST_AUTO_TEST_CASE(a_task_name_reads_back)
{
    const task_id task{job_id("job-1"), 12};
    BOOST_TEST((parse_task(format_task(task)) == task));
    BOOST_TEST(!parse_task("job-1").has_value());
    BOOST_TEST(!parse_task("job-1/x").has_value());
}
