// Crowds of clients that stop short of the end, go far over the limits or ask for what costs much, against an entry as
// a process of its own on a small machine. Each case guards against a crowd that ends the process, has it hold more
// than its machine has, or shuts out an ordinary caller.
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include "http_client_p.h"
#include "platform_timer_p.h"
#include "support_crowd_checks.h"
#include "support_soak_site.h"

using namespace skylarkhub;
using namespace skylarkhub::tests;
using namespace std::chrono_literals;

namespace {

constexpr soak_machine machine{.memory_mib = 96, .descriptors = 600};
constexpr int sockets_most = machine.descriptors - 200; // the platform keeps so many for files
constexpr int crowd_clients = 500;
constexpr std::size_t legal_bytes = 262'144; // of one body
constexpr std::size_t far_over_bytes = 1'500'000;
constexpr std::size_t short_by = 100; // bytes that clients keep back

const std::string ordinary_job = R"({"spec":"run 100","steps":[{"count":1,"cpu":500,"mem-mb":100}]})";

std::string make_head(const std::string& id, const std::string& length_field)
{
    return fmt::format("POST {}{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n{}\r\n\r\n", soak_prefix,
                       id, soak_host, length_field);
}

std::string announce(std::size_t bytes)
{
    return fmt::format("Content-Length: {}", bytes);
}

const std::string chunked = "Transfer-Encoding: chunked";
const std::string crowd_job = "00000000000000c0";

std::string make_chunk(std::size_t bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, ' '));
}

std::string repeat(const std::string& text, std::size_t times)
{
    std::string out;
    out.reserve(text.size() * times);
    for (std::size_t i = 0; i < times; ++i) {
        out += text;
    }
    return out;
}

// An entry with its table and workers, which takes jobs.
class calm_site {
public:
    calm_site() : site_(1, {.entries = 1, .workers = 2, .machine = machine}, checks_)
    {
        BOOST_REQUIRE(wait_for([this] { return hand_in(ordinary_job) == 200; }));
    }
    ~calm_site() { site_.remove_folder(); }
    calm_site(const calm_site&) = delete;
    calm_site& operator=(const calm_site&) = delete;

    // The status of the answer to one job, 0 if none came.
    int hand_in(const std::string& body)
    {
        http_call call;
        call.method = "POST";
        call.address = site_.callers_address(0);
        call.target = fmt::format("{}{:016x}", soak_prefix, ++jobs_);
        call.headers = {{"Host", soak_host}};
        call.body = body;
        call.timeout = state_wait;
        const http_result answer = http_.call(std::move(call));
        return answer.answered ? answer.status : 0;
    }

    soak_site& site() { return site_; }

    void bear(const crowd_plan& plan)
    {
        check_crowds(*site_.process(0), plan, {machine.memory_mib, sockets_most},
                     [this] { return hand_in(ordinary_job) == 200; });
    }

private:
    soak_checks checks_{read_clock()};
    soak_site site_;
    http_client http_;
    std::uint64_t jobs_ = 0;
};

crowd_plan plan_for(const net_address& to, std::string head, std::string piece = "", int pieces = 0,
                    std::string tail = "")
{
    return {to, crowd_clients, std::move(head), std::move(piece), pieces, std::move(tail)};
}

// One client that sends the same job again and again, each time under another id.
crowd_plan plan_jobs(const net_address& to, const std::string& body, int jobs)
{
    std::string requests;
    for (int i = 0; i < jobs; ++i) {
        requests += make_head(fmt::format("{:016x}", 0xc000 + i), announce(body.size())) + body;
    }
    crowd_plan plan = plan_for(to, std::move(requests));
    plan.clients = 1;
    return plan;
}

} // namespace

// --- callers: bodies that never end ---

BOOST_AUTO_TEST_CASE(bodies_in_large_chunks_that_never_end)
{
    constexpr std::size_t chunk_bytes = 65'536;
    calm_site s;
    s.bear(plan_for(s.site().callers_address(0), make_head(crowd_job, chunked), make_chunk(chunk_bytes), 3,
                    make_chunk(chunk_bytes - short_by)));
}

BOOST_AUTO_TEST_CASE(bodies_in_very_small_chunks_that_never_end)
{
    constexpr std::size_t chunk_bytes = 8;
    constexpr std::size_t chunks_of_a_piece = 512;
    constexpr int pieces = static_cast<int>(legal_bytes / chunk_bytes / chunks_of_a_piece) - 1;
    calm_site s;
    s.bear(plan_for(s.site().callers_address(0), make_head(crowd_job, chunked),
                    repeat(make_chunk(chunk_bytes), chunks_of_a_piece), pieces));
}

BOOST_AUTO_TEST_CASE(legal_bodies_sent_at_once_that_never_end)
{
    calm_site s;
    s.bear(plan_for(s.site().callers_address(0),
                    make_head(crowd_job, announce(legal_bytes)) + std::string(legal_bytes - short_by, ' ')));
}

BOOST_AUTO_TEST_CASE(legal_bodies_sent_piece_by_piece_that_never_end)
{
    constexpr std::size_t piece_bytes = 4096;
    calm_site s;
    s.bear(plan_for(s.site().callers_address(0), make_head(crowd_job, announce(legal_bytes)),
                    std::string(piece_bytes, ' '), legal_bytes / piece_bytes - 1,
                    std::string(piece_bytes - short_by, ' ')));
}

BOOST_AUTO_TEST_CASE(headers_that_never_end)
{
    constexpr std::size_t header_bytes = 15'000;
    calm_site s;
    s.bear(plan_for(s.site().callers_address(0),
                    "GET /jobs/ HTTP/1.1\r\nHost: soak.example\r\nX-Long: " + std::string(header_bytes, 'x')));
}

// --- callers: bodies far over the limit ---

BOOST_AUTO_TEST_CASE(bodies_far_over_the_limit_that_are_announced)
{
    constexpr std::size_t announced_bytes = 10'000'000'000;
    calm_site s;
    s.bear(plan_for(s.site().callers_address(0), make_head(crowd_job, announce(announced_bytes)),
                    std::string(far_over_bytes / 10, ' '), 10));
}

BOOST_AUTO_TEST_CASE(bodies_far_over_the_limit_that_are_just_sent)
{
    calm_site s;
    s.bear(plan_for(s.site().callers_address(0), make_head(crowd_job, chunked), make_chunk(far_over_bytes / 10), 10));
}

// --- callers: whole bodies of legal size ---

BOOST_AUTO_TEST_CASE(jobs_with_thousands_of_steps)
{
    const std::string step = R"({"count":1,"cpu":100,"mem-mb":10,"estimated-ms":900})";
    const std::string body = R"({"spec":"run 100","steps":[)" + repeat(step + ",", 4000) + step + "]}";
    calm_site s;
    s.bear(plan_for(s.site().callers_address(0), make_head(crowd_job, announce(body.size())) + body));
}

BOOST_AUTO_TEST_CASE(jobs_of_empty_steps)
{
    const std::string body = R"({"spec":"run 100","steps":[)" + repeat("{},", 87'000) + "{}]}";
    calm_site s;
    s.bear(plan_for(s.site().callers_address(0), make_head(crowd_job, announce(body.size())) + body));
}

BOOST_AUTO_TEST_CASE(bodies_of_deep_and_many_values)
{
    const std::string body = R"({"spec":"run 100","more":[)" + repeat("[[]],", 52'000) + R"([]],"steps":[{}]})";
    calm_site s;
    s.bear(plan_for(s.site().callers_address(0), make_head(crowd_job, announce(body.size())) + body));
}

BOOST_AUTO_TEST_CASE(jobs_with_millions_of_tasks)
{
    const std::string body =
        R"({"spec":"run 100","steps":[)" + repeat(R"({"count":4096,"cpu":100},)", 39) + R"({"count":4096,"cpu":100}]})";
    calm_site s;
    s.bear(plan_jobs(s.site().callers_address(0), body, 20));
}

// Jobs that the table takes, each of many tasks, one after the other.
BOOST_AUTO_TEST_CASE(many_jobs_of_thousands_of_tasks)
{
    const std::string body = R"({"spec":"run 100","steps":[)" + repeat(R"({"count":1000,"cpu":4000},)", 3) +
                             R"({"count":1000,"cpu":4000}]})";
    calm_site s;
    s.bear(plan_jobs(s.site().callers_address(0), body, 200));
}

// --- callers: answers that nobody reads ---

BOOST_AUTO_TEST_CASE(answers_that_nobody_reads)
{
    const std::string request = "GET /jobs/ HTTP/1.1\r\nHost: soak.example\r\n\r\n";
    calm_site s;
    s.bear(plan_for(s.site().callers_address(0), request, repeat(request, 100), 20));
}

// The parser's word on a body quotes what it could not read, here nearly all of it.
BOOST_AUTO_TEST_CASE(refusals_of_unreadable_bodies_that_nobody_reads)
{
    const std::string body = R"({"spec":")" + std::string(legal_bytes - 100, 'x') + "\xff";
    const std::string request = make_head(crowd_job, announce(body.size())) + body;
    calm_site s;
    s.bear(plan_for(s.site().callers_address(0), request, request, 4));
}

// --- the other listeners ---

BOOST_AUTO_TEST_CASE(bodies_to_the_listener_of_peers_that_never_end)
{
    calm_site s;
    s.bear(plan_for(s.site().peers_address(0),
                    "POST /flow HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" + std::string(999'000, ' ')));
}

BOOST_AUTO_TEST_CASE(bodies_to_the_listener_of_metrics_that_never_end)
{
    calm_site s;
    s.bear(
        plan_for(s.site().metrics_address(0),
                 "POST /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" + std::string(999'000, ' ')));
}

BOOST_AUTO_TEST_CASE(bodies_to_the_listener_of_readiness_that_never_end)
{
    calm_site s;
    s.bear(plan_for(s.site().readiness_address(0),
                    "POST /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" + std::string(999'000, ' ')));
}

BOOST_AUTO_TEST_CASE(metrics_that_nobody_reads)
{
    const std::string request = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    calm_site s;
    s.bear(plan_for(s.site().metrics_address(0), request, request, 40));
}

// --- one client in calm ---

// Guards against limits that refuse a client that keeps to its own.
BOOST_AUTO_TEST_CASE(a_body_of_the_largest_legal_size_is_served)
{
    calm_site s;
    const std::string body = ordinary_job + std::string(legal_bytes - ordinary_job.size(), ' ');
    BOOST_TEST(s.hand_in(body) == 200);
    BOOST_TEST(s.hand_in(ordinary_job) == 200);
}

// Guards against "come again" for a job whose row the table never takes.
BOOST_AUTO_TEST_CASE(a_job_that_no_row_holds_is_refused_for_good)
{
    const std::string step = R"({"count":1,"cpu":100,"mem-mb":10,"estimated-ms":900})";
    calm_site s;
    BOOST_TEST(s.hand_in(R"({"spec":"run 100","steps":[)" + repeat(step + ",", 4000) + step + "]}") == 400);
}
