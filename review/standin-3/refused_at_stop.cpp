// A site of three entries. Callers hand jobs in at one entry while the table is silent, and that entry is told to
// stop. The table carries the calls out when the silence is over. A job whose only hand-in was rejected must never run.
//
// Usage: refused_at_stop RECORD. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http_client_p.h"
#include "platform_timer_p.h"
#include "support_soak_site.h"

namespace {

using namespace skylarkhub;
using namespace skylarkhub::tests;
using namespace std::chrono_literals;

constexpr int callers = 300;
constexpr int request_timeout_ms = 8000; // X-Deadline
constexpr duration silent_for = 4500ms;  // the table
constexpr duration stop_after = 200ms;   // from the begin of the silence
constexpr duration settle_time = 15s;
constexpr int stopped_entry = 0;

class record {
public:
    explicit record(const char* path) : file_(path), begun_(read_clock()) {}

    void write(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        const double seconds = std::chrono::duration<double>(read_clock() - begun_).count();
        file_ << fmt::format("{:7.3f} s {}\n", seconds, text) << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    instant begun_;
};

std::string job_id_of(int number)
{
    return fmt::format("{:016x}", 0x5c0e7a21d9400000ULL + static_cast<unsigned long long>(number));
}

http_call make_hand_in(const net_address& to, const std::string& id)
{
    http_call call;
    call.method = "POST";
    call.address = to;
    call.target = soak_prefix + id;
    call.headers = {{"Host", soak_host}, {"X-Deadline", std::to_string(request_timeout_ms)}};
    call.body = fmt::format(
        R"({{"spec":"run 200 for {}","steps":[{{"count":1,"cpu":100,"mem-mb":64,"estimated-ms":200}}]}})", id);
    call.timeout = std::chrono::milliseconds(request_timeout_ms);
    return call;
}

http_result ask(http_client& http, const net_address& at, const std::string& id)
{
    http_call call;
    call.method = "GET";
    call.address = at;
    call.target = soak_prefix + id;
    call.headers = {{"Host", soak_host}, {"X-Deadline", "3000"}};
    call.timeout = 3s;
    return http.call(std::move(call));
}

soak_job described(const std::string& id)
{
    soak_job job;
    job.id = id;
    job.payload = "run 200 for " + id;
    job.steps.push_back({1, {100, 64, 0}});
    return job;
}

int play(record& out, bool trouble)
{
    soak_checks checks(read_clock());
    soak_site site(7, {.entries = 3, .workers = 6, .data_centres = 1}, checks);
    std::map<std::string, http_result> answers;
    std::mutex mutex;
    http_client http; // ends before what its answers are written to
    const net_address entry = site.callers_address(stopped_entry);
    const soak_job first = described(job_id_of(9999));
    checks.note_job(first);
    const instant ready_by = read_clock() + 30s;
    bool ready = false;
    while (!ready && read_clock() < ready_by) {
        site.look(read_clock());
        ready = http.call(make_hand_in(entry, first.id)).status / 100 == 2;
        std::this_thread::sleep_for(200ms);
    }
    if (!ready) {
        out.write("no entry accepts a job");
        return 2;
    }
    // Calls wait on their way to the table until the silence is over.
    const auto set_silent = [&](bool silent) {
        for (int i = 0; i < site.entry_count(); ++i) {
            standin::link_faults faults;
            faults.to_server_held = silent;
            site.links().set_faults(site.table_link(i), faults);
        }
    };
    for (int i = 0; i < callers; ++i) {
        checks.note_job(described(job_id_of(i)));
    }
    if (trouble) {
        out.write(fmt::format("the table is silent for {} ms", silent_for / 1ms));
        set_silent(true);
    }
    const instant begun = read_clock();
    for (int i = 0; i < callers; ++i) {
        const std::string id = job_id_of(i);
        out.write("POST " + id);
        http.send(make_hand_in(entry, id), [&, id](http_result answer) {
            out.write(fmt::format("{} is answered {} {}", id, answer.answered ? answer.status : 0,
                                  answer.answered ? answer.body : answer.reason));
            const std::lock_guard lock(mutex);
            answers.emplace(id, std::move(answer));
        });
    }
    std::this_thread::sleep_for(stop_after);
    if (trouble) {
        out.write("SIGTERM to the entry");
        site.stop(stopped_entry, 1s);
    }
    while (read_clock() < begun + silent_for) {
        site.look(read_clock());
        std::this_thread::sleep_for(10ms);
    }
    set_silent(false);
    out.write("the table answers");
    const auto all_answered = [&] {
        const std::lock_guard lock(mutex);
        return answers.size() == callers;
    };
    while (!all_answered()) {
        std::this_thread::sleep_for(10ms);
    }
    for (const auto& [id, answer] : answers) {
        const bool rejected = answer.answered && (answer.status == 503 || answer.status == 429);
        const bool accepted = answer.answered && answer.status / 100 == 2;
        checks.note_hand_in(id, accepted ? hand_in::accepted : rejected ? hand_in::refused : hand_in::in_doubt);
    }
    const instant end = read_clock() + settle_time;
    while (read_clock() < end) {
        site.look(read_clock());
        std::this_thread::sleep_for(10ms);
    }
    for (const auto& [id, answer] : answers) {
        if (answer.status == 503 || answer.status == 429) {
            const http_result state = ask(http, site.callers_address(stopped_entry + 1), id);
            out.write(fmt::format("GET {} at another entry: {} {}", id, state.status, state.body));
        }
    }
    const soak_counts counts = checks.counts();
    out.write(fmt::format("tasks started by workers: {}", counts.starts));
    for (const auto& [outcome, count] : counts.jobs) {
        constexpr const char* names[] = {"open", "accepted", "rejected", "in doubt"};
        out.write(fmt::format("{}: {}", names[static_cast<int>(outcome)], count));
    }
    bool broken = false;
    for (const std::string& text : checks.broken()) {
        out.write(text);
        broken = broken || text.find("every try to hand its job in was refused") != std::string::npos;
    }
    site.remove_folder();
    return broken ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    record out(argv[1]);
    const char* const trouble = std::getenv("TROUBLE");
    try {
        return play(out, trouble == nullptr || std::string(trouble) != "0");
    }
    catch (const std::exception& error) {
        out.write(error.what());
        return 2;
    }
}
