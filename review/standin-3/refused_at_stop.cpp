// A site of three entries, which are stopped in turn. Callers hand jobs in at an entry while the table is silent, and
// that entry is told to stop. The table carries the calls out when the silence is over. A job whose only hand-in was
// rejected must never run.
//
// Usage: refused_at_stop RECORD. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "http_client_p.h"
#include "platform_timer_p.h"
#include "support_soak_site.h"

namespace {

using namespace skylarkhub;
using namespace skylarkhub::tests;
using namespace std::chrono_literals;

constexpr int entry_count = 3;
constexpr int callers = 200;             // at each entry
constexpr int request_timeout_ms = 8000; // X-Deadline
constexpr duration silent_for = 4500ms;  // the table
constexpr duration stop_after = 200ms;   // from the begin of the silence
constexpr duration round_time = 12s;     // an entry is back by then, and has its cells again
constexpr duration settle_time = 15s;

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

bool is_rejected(const http_result& answer)
{
    return answer.answered && (answer.status == 503 || answer.status == 429);
}

hand_in outcome_of(const http_result& answer)
{
    if (is_rejected(answer)) {
        return hand_in::refused;
    }
    return answer.answered && answer.status / 100 == 2 ? hand_in::accepted : hand_in::in_doubt;
}

class refused_at_stop {
public:
    refused_at_stop(record& out, bool trouble)
        : out_(out),
          trouble_(trouble),
          checks_(read_clock()),
          site_(7, {.entries = entry_count, .workers = 6, .data_centres = 1}, checks_)
    {}

    int play()
    {
        if (!wait_for_service()) {
            out_.write("no entry accepts a job");
            return 2;
        }
        for (int entry = 0; entry < entry_count; ++entry) {
            play_round(entry);
        }
        look_until(read_clock() + settle_time);
        return judge();
    }

private:
    void look_until(instant end)
    {
        while (read_clock() < end) {
            site_.look(read_clock());
            std::this_thread::sleep_for(10ms);
        }
    }

    bool wait_for_service()
    {
        const soak_job first = described(job_id_of(entry_count * callers));
        checks_.note_job(first);
        const instant end = read_clock() + 30s;
        while (read_clock() < end) {
            if (http_.call(make_hand_in(site_.callers_address(0), first.id)).status / 100 == 2) {
                return true;
            }
            look_until(read_clock() + 200ms);
        }
        return false;
    }

    // Calls wait on their way to the table until the silence is over.
    void set_silent(bool silent)
    {
        for (int i = 0; i < entry_count; ++i) {
            standin::link_faults faults;
            faults.to_server_held = silent;
            site_.links().set_faults(site_.table_link(i), faults);
        }
    }

    void send(int entry, const std::string& id)
    {
        checks_.note_job(described(id));
        out_.write(fmt::format("POST {} at entry {}", id, entry));
        http_.send(make_hand_in(site_.callers_address(entry), id), [this, id](http_result answer) {
            out_.write(fmt::format("{} is answered {} {}", id, answer.answered ? answer.status : 0,
                                   answer.answered ? answer.body : answer.reason));
            checks_.note_hand_in(id, outcome_of(answer));
            const std::lock_guard lock(mutex_);
            answers_.emplace(id, std::move(answer));
        });
    }

    void play_round(int entry)
    {
        const instant begun = read_clock();
        if (trouble_) {
            out_.write(fmt::format("the table is silent for {} ms", silent_for / 1ms));
            set_silent(true);
        }
        for (int i = 0; i < callers; ++i) {
            send(entry, job_id_of(entry * callers + i));
        }
        look_until(begun + stop_after);
        if (trouble_) {
            out_.write(fmt::format("SIGTERM to entry {}", entry));
            site_.stop(entry, 1s);
        }
        look_until(begun + silent_for);
        if (trouble_) {
            set_silent(false);
            out_.write("the table answers");
        }
        look_until(begun + round_time);
    }

    int judge()
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [id, answer] : answers_) {
            if (is_rejected(answer)) {
                const http_result state = ask(http_, site_.callers_address(0), id);
                out_.write(fmt::format("GET {}: {} {}", id, state.status, state.body));
            }
        }
        const soak_counts counts = checks_.counts();
        out_.write(fmt::format("tasks started by workers: {}", counts.starts));
        for (const auto& [outcome, count] : counts.jobs) {
            constexpr const char* names[] = {"open", "accepted", "rejected", "in doubt"};
            out_.write(fmt::format("{}: {}", names[static_cast<int>(outcome)], count));
        }
        bool broken = false;
        for (const std::string& text : checks_.broken()) {
            out_.write(text);
            broken = broken || text.find("every try to hand its job in was refused") != std::string::npos;
        }
        site_.remove_folder();
        return broken ? 1 : 0;
    }

    record& out_;
    bool trouble_;
    soak_checks checks_;
    soak_site site_;
    std::mutex mutex_;
    std::map<std::string, http_result> answers_;
    http_client http_; // last: what it still answers uses the rest
};

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
        return refused_at_stop(out, trouble == nullptr || std::string(trouble) != "0").play();
    }
    catch (const std::exception& error) {
        out.write(error.what());
        return 2;
    }
}
