// The same crowds against an entry that speaks the project's own interface.
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include "support_crowd_checks.h"
#include "support_site.h"

using namespace skylarkhub;
using namespace skylarkhub::tests;

namespace {

constexpr int memory_mib = 128;
constexpr int descriptors = 700;
constexpr int sockets_most = descriptors - 200;
constexpr int crowd_clients = 600;
constexpr std::size_t legal_bytes = 1 << 20;
constexpr std::size_t short_by = 100;

void bear(site& s, crowd_plan plan)
{
    plan.clients = crowd_clients;
    check_crowds(s.entry("a1"), plan, {memory_mib, sockets_most},
                 [&s] { return request_bulletin(s, "a1", "ordinary").outcome == "done"; });
}

struct calm_site {
    calm_site()
    {
        s.prepare();
        s.submit("a1", "service", service_job(2));
        BOOST_REQUIRE(wait_for([this] { return request_bulletin(s, "a1", "first").outcome == "done"; }));
    }
    site s{{.entries = {"a1"},
            .workers = 2,
            .entry_settings = {{"memory_mib", memory_mib}, {"descriptors", descriptors}}}};
};

std::string make_head(const std::string& length_field)
{
    return fmt::format("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nOperation-Key: crowd\r\n{}\r\n\r\n", length_field);
}

} // namespace

BOOST_AUTO_TEST_CASE(legal_bodies_that_never_end)
{
    calm_site site;
    bear(site.s, {.to = site.s.entry_address("a1"),
                  .head = make_head(fmt::format("Content-Length: {}", legal_bytes)) +
                          std::string(legal_bytes - short_by, ' ')});
}

BOOST_AUTO_TEST_CASE(bodies_in_chunks_that_never_end)
{
    constexpr std::size_t chunk_bytes = 65'536;
    calm_site site;
    bear(site.s, {.to = site.s.entry_address("a1"),
                  .head = make_head("Transfer-Encoding: chunked"),
                  .piece = fmt::format("{:x}\r\n{}\r\n", chunk_bytes, std::string(chunk_bytes, ' ')),
                  .pieces = 15});
}

BOOST_AUTO_TEST_CASE(whole_bodies_of_legal_size)
{
    calm_site site;
    std::string body = R"({"name":"rebuild","team":"newsroom","more":[)";
    while (body.size() < legal_bytes - 100) {
        body += "{},";
    }
    body += "{}]}";
    bear(site.s,
         {.to = site.s.entry_address("a1"), .head = make_head(fmt::format("Content-Length: {}", body.size())) + body});
}

BOOST_AUTO_TEST_CASE(messages_to_the_listener_of_peers_that_never_end)
{
    const std::string length{'\x00', '\x0f', '\x00', '\x00'}; // 983,040 bytes
    calm_site site;
    bear(site.s, {.to = site.s.peer_address("a1"), .head = length + std::string(980'000, ' ')});
}
