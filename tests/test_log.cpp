// The log's queue: a reader that does not read must never hold up the entry.
#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <array>
#include <string>

#include "log_line_p.h"

using namespace skylarkhub;

namespace {

struct pipe_pair {
    std::array<int, 2> ends{};
    pipe_pair() { BOOST_REQUIRE(pipe(ends.data()) == 0); }
    ~pipe_pair()
    {
        close(ends[0]);
        close(ends[1]);
    }
    pipe_pair(const pipe_pair&) = delete;
    pipe_pair& operator=(const pipe_pair&) = delete;

    std::string read_some() const
    {
        std::string text(1 << 20, '\0');
        const ssize_t n = read(ends[0], text.data(), text.size());
        text.resize(static_cast<std::size_t>(std::max<ssize_t>(0, n)));
        return text;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_reader_that_never_reads_holds_nothing_up)
{
    // Nobody reads the pipe. Lines are taken without waiting, kept up to the limit, then dropped and counted; when
    // somebody reads again, a line tells how many are missing.
    pipe_pair p;
    log_queue queue(p.ends[1]);
    constexpr int lines = 20000;
    for (int i = 0; i < lines; ++i) {
        queue.put(log_level::info, "test line number=" + std::to_string(i));
    }
    BOOST_TEST(queue.dropped() > 0);
    BOOST_TEST(queue.dropped() < lines);
    std::string all;
    for (int i = 0; i < 20; ++i) {
        all += p.read_some();
        queue.put(log_level::warning, "test after number=" + std::to_string(i));
    }
    BOOST_TEST(all.find("log dropped lines=") != std::string::npos);
    BOOST_TEST(all.find("number=0\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(repeated_lines_are_folded_with_their_count)
{
    pipe_pair p;
    log_queue queue(p.ends[1]);
    for (int i = 0; i < 50; ++i) {
        queue.put(log_level::warning, "table unreachable reason=timeout");
    }
    queue.put(log_level::warning, "table reachable");
    const std::string all = p.read_some();
    BOOST_TEST(all.find("log repeated times=49") != std::string::npos);
    BOOST_TEST(all.find("table reachable") != std::string::npos);
}
