// Stand-in for one life of a worker of the users' platform: runs, leases, fencing tokens, ends. Pure: time is passed
// in. What a task does is said by its payload: `run MS`, `save MS` (the same with checkpoints), `fail MS`, `last`; more
// words may follow.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "http_message_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::standin {

// A worker may start again under its id; the moment of its birth tells its lives apart.
struct worker_life {
    std::string id;
    wall_time born{}; // in whole milliseconds

    friend bool operator==(const worker_life&, const worker_life&) = default;
    friend bool operator<(const worker_life& a, const worker_life& b)
    {
        return std::tie(a.id, a.born) < std::tie(b.id, b.born);
    }
};

// --- what is seen at a worker ---

struct life_began {
    worker_life worker;
};
struct life_over {
    worker_life worker;
};
struct lease_over {
    worker_life worker;
};
struct run_began {
    worker_life worker;
    std::string task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    bool late = false; // the order was carried out long after it was sent
};
struct run_over {
    worker_life worker;
    std::int64_t number = 0; // of the end
    std::string task;
    std::int64_t run = 0;
    std::string how;
    std::string checkpoint;
};
struct ends_confirmed {
    worker_life worker;
    std::int64_t up_to = 0;
};
using worker_sight = std::variant<life_began, life_over, lease_over, run_began, run_over, ends_confirmed>;

struct flow_worker_traits {
    worker_life life;
    duration clock_offset{0};
    double clock_rate = 1; // of the worker's clock; leases last longer where it is slow
    double slowness = 1;   // of what it starts from now on
    duration stop_time{0}; // that a stop takes
};

class flow_worker {
public:
    using watcher = std::function<void(instant, const worker_sight&)>;
    flow_worker(instant now, flow_worker_traits traits, watcher watch);

    const worker_life& life() const { return traits_.life; }
    void set_slowness(double slowness) { traits_.slowness = slowness; }

    // Lets time pass: ends what is over, and everything when the lease is.
    void advance(instant now);
    // Carries an order out; `late` when that is long after it was sent.
    http_response carry_out(instant now, const std::string& path, const std::string& body, bool late);
    // To an order that names another life.
    http_response refuse_other_life(instant now) const;
    // The hold has nothing to tell yet and may wait for it.
    bool hold_waits(instant now, const std::string& body);
    // Everything on it is gone.
    void end_life(instant now);

private:
    struct running {
        std::int64_t run = 0;
        instant begun{};
        instant ends{};
        instant stops = instant::max();
        duration resumed{0}; // of its work, by the checkpoint it began with
        bool fails = false;
        bool saves = false;
        bool lasts = false;
    };

    http_response start(instant now, const nlohmann::json& order, bool late);
    http_response stop(instant now, const nlohmann::json& order);
    http_response hold(instant now, const nlohmann::json& order);
    void extend_lease(instant now, const nlohmann::json& order);
    http_response answer(instant now, int status, nlohmann::json body) const;
    std::int64_t clock_ms(instant now) const;
    instant when(std::int64_t clock_ms) const;
    static std::string checkpoint_of(const std::string& task, const running& r, instant now);
    void end_run(instant now, const std::string& task, const std::string& how);

    instant born_;
    flow_worker_traits traits_;
    watcher watch_;
    std::int64_t fence_ = 0;
    instant lease_until_{};
    std::map<std::string, running> running_;          // by task
    std::map<std::string, std::int64_t> highest_run_; // stopped or ended here, by task
    std::vector<run_over> ends_;                      // not confirmed yet
    std::int64_t last_end_ = 0;
};

} // namespace skylarkhub::standin
