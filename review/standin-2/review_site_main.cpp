// A small site for the scripts of the second review: four entries as processes of their own, the table, eight runners
// and the clients as stand-ins here, all on loopback. Exit codes: 0 the rule held, 1 it was broken, 2 not run.
#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <vector>

#include "http_client_p.h"
#include "review_children.h"
#include "review_workers.h"

namespace skylarkhub::review {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

constexpr int entry_count = 4;
constexpr int worker_count = 8;
constexpr int table_port = 8169;
constexpr int worker_port = 8300;
constexpr resources worker_room{32'000, 128'000, 0};
constexpr const char* host = "review.example";
constexpr const char* prefix = "/jobs/";
constexpr duration patience = 3s; // of a client, for one answer
constexpr duration contact = 3s;  // contact-ms
constexpr duration finish = 14s;  // finish_s
constexpr duration ready_most = 20s;

json make_config()
{
    const json route{{"name", "queue"}, {"host", host},      {"path-prefix", prefix}, {"service", "service"},
                     {"priority", 1},   {"max-attempts", 3}, {"slack-factor", 2},     {"target-latency-ms", 1000}};
    return {{"version", 1},
            {"routes", {route}},
            {"services", {{{"name", "service"}, {"preconditions", false}}}},
            {"limits", {{"max-body-bytes", 1 << 18}}}};
}

class site {
public:
    site(const std::string& folder, const std::string& root, record& log)
        : log_(log),
          network_(fmt::format("127.{}.{}", 1 + getpid() / 250 % 250, getpid() % 250)),
          table_(1),
          workers_(table_, log),
          entries_(folder, root + "/target/skylarkhubd", root + "/deploy/settings.json.tmpl")
    {
        table_.put("op", "config", make_config().dump());
        for (int i = 0; i < worker_count; ++i) {
            workers_.add(net_address(fmt::format("{}.{}:{}", network_, 100 + i, worker_port)), zone_of(i),
                         fmt::format("{}-rack{}", zone_of(i), i / 4), worker_room);
        }
        for (int i = 0; i < entry_count; ++i) {
            const net_address table(fmt::format("{}.{}:{}", network_, 200 + i, table_port));
            table_.open_door(table);
            entries_.start({fmt::format("entry-{}", i), zone_of(i), fmt::format("{}.{}", network_, 10 + i), table});
        }
    }

    record& log() { return log_; }
    workers& runners() { return workers_; }
    entries& processes() { return entries_; }

    // The status; 0: no answer.
    int call(int entry, const std::string& method, const std::string& path, const std::string& body,
             std::string* answer = nullptr)
    {
        http_call call;
        call.method = method;
        call.address = entries_.place(entry).callers();
        call.target = path;
        call.headers = {{"Host", host}, {"X-Deadline", std::to_string(patience / 1ms)}};
        if (!body.empty()) {
            call.headers.emplace_back("Content-Type", "application/json");
        }
        call.body = body;
        call.timeout = patience;
        const http_result result = client_.call(std::move(call));
        if (answer != nullptr) {
            *answer = result.body;
        }
        return result.answered ? result.status : 0;
    }

    bool wait_until_ready()
    {
        const instant until = read_clock() + ready_most;
        for (int i = 0; i < entry_count; ++i) {
            http_call call;
            call.address = entries_.place(i).readiness();
            call.target = "/ready";
            call.timeout = 1s;
            while (client_.call(call).status != 200) {
                if (read_clock() > until) {
                    return false;
                }
                std::this_thread::sleep_for(100ms);
            }
        }
        return true;
    }

    // Hands the job in, at one entry after the other, until it is accepted.
    bool submit(const std::string& job, const json& body)
    {
        const instant until = read_clock() + ready_most;
        for (int i = 0; read_clock() < until; ++i) {
            const int status = call(i % entry_count, "POST", prefix + job, body.dump());
            if (status / 100 == 2) {
                log_.note(fmt::format("job {} is accepted", job));
                return true;
            }
            log_.note(fmt::format("job {} is answered {}", job, status));
            std::this_thread::sleep_for(500ms);
        }
        return false;
    }

    std::string state_of(const std::string& job, int entry = 0)
    {
        std::string answer;
        const int status = call(entry, "GET", prefix + job, "", &answer);
        const json body = json::parse(answer, nullptr, false);
        return status == 200 && body.is_object() ? body.value("state", "") : std::to_string(status);
    }

    bool wait_for_state(const std::string& job, const std::string& state, duration most)
    {
        const instant until = read_clock() + most;
        while (state_of(job) != state) {
            if (read_clock() > until) {
                return false;
            }
            std::this_thread::sleep_for(250ms);
        }
        return true;
    }

private:
    static std::string zone_of(int number) { return number % 2 == 0 ? "zone-a" : "zone-b"; }

    record& log_;
    std::string network_;
    standin::flow_table table_;
    workers workers_;
    entries entries_;
    http_client client_;
};

std::string job_name(int number)
{
    return fmt::format("{:016x}", 0x5ca1ab1e00000000ULL + static_cast<unsigned>(number));
}

json one_step(const std::string& spec, const json& step)
{
    return {{"spec", spec}, {"steps", {step}}};
}

bool begin(site& s)
{
    const std::string probe = job_name(0);
    return s.wait_until_ready() && s.submit(probe, one_step("run 200", {{"count", 1}, {"cpu", 500}})) &&
           s.wait_for_state(probe, "done", ready_most);
}

// A recurring job whose tasks last, and the machines' limit of memory.
int run_recurring(site& s, bool trouble)
{
    constexpr int occurrences_many = 500'000;
    constexpr int occurrences_few = 20;
    constexpr std::int64_t memory_most = std::int64_t{260} << 20; // limits.memory-mb
    constexpr duration watched = 60s;
    constexpr duration down = 500ms;
    constexpr int ends_most = 3;      // of a machine's process, and then
    constexpr int machines_least = 2; // on so many machines: a fault
    constexpr int neighbours = 4;
    const int occurrences = trouble ? occurrences_many : occurrences_few;
    const std::string job = job_name(1);
    for (int i = 0; i < neighbours; ++i) {
        if (!s.submit(job_name(10 + i), one_step("last", {{"count", 2}, {"cpu", 8000}, {"long-running", true}}))) {
            return not_run;
        }
    }
    std::this_thread::sleep_for(contact);
    json body = one_step("last", {{"count", 1}, {"cpu", 10}, {"mem-mb", 10}, {"long-running", true}});
    body["repeat-count"] = occurrences;
    body["interval-ms"] = 1000;
    s.log().note(fmt::format("job {} has {} occurrences of one task that lasts", job, occurrences));
    if (!s.submit(job, body)) {
        return not_run;
    }
    std::vector<int> ends(entry_count, 0);
    std::vector<std::int64_t> most(entry_count, 0);
    const instant until = read_clock() + watched;
    while (read_clock() < until) {
        for (int i = 0; i < entry_count; ++i) {
            const std::int64_t bytes = s.processes().memory_bytes(i);
            const auto at = static_cast<std::size_t>(i);
            most[at] = std::max(most[at], bytes);
            if (bytes > memory_most) {
                s.log().note(fmt::format("entry-{} holds {} MB of 260 and is killed", i, bytes >> 20));
                ++ends[at];
                s.processes().restart(i, down);
            }
        }
        std::this_thread::sleep_for(50ms);
    }
    for (int i = 0; i < neighbours; ++i) {
        const std::string neighbour = job_name(10 + i);
        s.log().note(fmt::format("job {}: {} of 2 tasks that last run, {} were started", neighbour,
                                 s.runners().running_of(neighbour), s.runners().starts_of(neighbour)));
    }
    const std::string other = job_name(2);
    const bool accepted = s.submit(other, one_step("run 200", {{"count", 1}, {"cpu", 500}}));
    const bool served = accepted && s.wait_for_state(other, "done", finish);
    for (int i = 0; i < entry_count; ++i) {
        const auto at = static_cast<std::size_t>(i);
        s.log().note(fmt::format("entry-{} ended {} times, and held {} MB at most", i, ends[at], most[at] >> 20));
    }
    s.log().note(fmt::format("job {}: {} tasks run, {} were started; a job of another client is {}", job,
                             s.runners().running_of(job), s.runners().starts_of(job), served ? "done" : "not done"));
    const auto machines = std::count_if(ends.begin(), ends.end(), [](int n) { return n >= ends_most; });
    return machines >= machines_least ? broken : held;
}

int run(const std::string& name, bool trouble, const std::string& root, const std::string& record_path)
{
    record log(record_path);
    const std::string folder = (std::filesystem::temp_directory_path() / fmt::format("review-2-{}", getpid())).string();
    std::filesystem::create_directories(folder);
    int verdict = not_run;
    {
        site s(folder, root, log);
        if (begin(s)) {
            verdict = name == "recurring" ? run_recurring(s, trouble) : not_run;
        }
        for (int i = 0; i < s.processes().count(); ++i) {
            s.processes().signal(i, SIGTERM);
        }
        std::this_thread::sleep_for(500ms);
    }
    log.note(fmt::format("verdict: {}", verdict == held ? "held" : verdict == broken ? "broken" : "not run"));
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(folder);
    }
    return verdict;
}

} // namespace

} // namespace skylarkhub::review

int main(int argc, char** argv)
{
    if (argc != 4) {
        fmt::print(stderr, "usage: review_2_site SCENARIO ROOT RECORD\n");
        return skylarkhub::review::not_run;
    }
    const char* const trouble = std::getenv("TROUBLE");
    try {
        return skylarkhub::review::run(argv[1], trouble == nullptr || std::string(trouble) != "0", argv[2], argv[3]);
    }
    catch (const std::exception& error) {
        fmt::print(stderr, "review_2_site: {}\n", error.what());
        return skylarkhub::review::not_run;
    }
}
