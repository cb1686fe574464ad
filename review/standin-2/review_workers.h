// Stand-in for the runners of the users' platform, gangs included. What a task does is said by its job's `spec`:
// `run MS` ends done after so long, `last` runs until it is stopped, `gang COUNT MS` works together with the other
// COUNT - 1 members of its run.
//
// A gang begins to work when all members of its run are present, whatever checkpoints they carry; a member that has
// waited for three seconds ends `alone`. The checkpoint is one value for the whole gang, a new one with every half
// second of its work. No script here uses gangs any more.
#pragma once

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "flow_table_p.h"
#include "http_server_p.h"
#include "platform_timer_p.h"

namespace skylarkhub::review {

// Lines of record.txt, each with the seconds since the script began.
class record {
public:
    explicit record(const std::string& path) : began_(read_clock()), out_(path) {}
    void note(const std::string& line);
    double seconds() const;

private:
    instant began_;
    absl::Mutex mutex_;
    std::ofstream out_ ABSL_GUARDED_BY(mutex_);
};

struct end_seen {
    instant at{};
    std::string task;
    std::int64_t run = 0;
    std::string how;
};

class workers {
public:
    workers(standin::flow_table& table, record& log);
    ~workers();

    // Its number, with a first life begun; throws std::runtime_error when the address cannot be bound.
    int add(const net_address& address, const std::string& zone, const std::string& rack, const resources& room);
    // Ends the life at once: nothing answers at its address.
    void crash(int place);
    // Another life, under a new id.
    void begin_life(int place);
    // The place where a task of the job works; -1 when none does.
    int place_of(const std::string& job);

    std::vector<end_seen> ends();
    // Starts of tasks of the job, those that ended included.
    int starts_of(const std::string& job);
    int running_of(const std::string& job);
    bool has_done(const std::string& job);

private:
    struct running {
        std::int64_t run = 0;
        std::string kind;
        std::string checkpoint; // that it began with
        instant began{};
        instant stops = instant::max();
        instant ends = instant::max();
        std::string gang; // the members that it works with; empty: none
    };
    struct ended {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
        std::string checkpoint;
    };
    struct waiting_hold {
        std::int64_t cursor = 0;
        instant until{};
        http_reply reply;
    };
    struct life {
        std::string id;
        instant began{};
        std::int64_t fence = 0;
        instant lease_until{};
        std::map<std::string, running> running_tasks;
        std::map<std::string, std::int64_t> highest_run;
        std::vector<ended> ends;
        std::int64_t last_end = 0;
        std::vector<waiting_hold> holds;
        std::int64_t heartbeats = 0;
        instant heartbeat{};
    };
    struct slot {
        net_address address;
        std::string zone;
        std::string rack;
        resources room;
        std::unique_ptr<http_server> server;
        std::unique_ptr<life> present;
        int lives = 0;
    };
    struct gang {
        std::size_t size = 0;
        std::map<std::string, int> members; // task -> place
        duration work{0};
        duration resumed{0};
        instant works_since{}; // instant{}: it waits for members
    };

    void serve(int place, const http_request& request, const http_reply& reply);
    http_response start(int place, instant now, const nlohmann::json& order);
    http_response stop(int place, instant now, const nlohmann::json& order);
    void hold(int place, instant now, const nlohmann::json& order, const http_reply& reply);
    http_response answer(const life& l, instant now, int status, nlohmann::json body) const;
    http_response list(const life& l, instant now, std::int64_t cursor) const;
    std::int64_t clock_ms(const life& l, instant now) const;
    static instant when(const life& l, std::int64_t clock_ms);
    static void extend_lease(life& l, instant now, const nlohmann::json& order);
    std::string checkpoint_of(const running& r, instant now) const;
    std::int64_t percent_of(const running& r, instant now) const;
    void join_gang(int place, instant now, const std::string& task, running& r, std::size_t size, duration work);
    void end_run(int place, instant now, const std::string& task, const std::string& how);
    void break_gang(const std::string& name, instant now, const std::string& except);
    void advance(instant now);
    void look();
    void list_life(slot& s, instant now);

    standin::flow_table& table_;
    record& log_;
    absl::Mutex mutex_;
    std::vector<std::unique_ptr<slot>> slots_ ABSL_GUARDED_BY(mutex_);
    std::map<std::string, gang> gangs_ ABSL_GUARDED_BY(mutex_);
    std::vector<end_seen> ends_ ABSL_GUARDED_BY(mutex_);
    std::map<std::string, int> starts_ ABSL_GUARDED_BY(mutex_);
    bool closing_ ABSL_GUARDED_BY(mutex_) = false;
    platform_timer timer_; // last: what it still runs uses the rest
};

} // namespace skylarkhub::review
