// Workers of the users' platform on sockets: a place each, at which one life follows another, listed in the table.
#pragma once

#include <absl/synchronization/mutex.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "flow_table_p.h"
#include "flow_worker_p.h"

namespace skylarkhub::standin {

struct flow_worker_place {
    net_address listens; // where orders arrive
    net_address listed;  // what the list says: a link that leads there
    std::string data_centre;
    std::string rack;
    resources room;
};

class flow_workers {
public:
    flow_workers(std::uint64_t seed, flow_table& table, flow_worker::watcher watch);
    ~flow_workers();

    // Its number, with a first life begun; throws std::runtime_error when the address cannot be bound.
    int add(const flow_worker_place& place);
    // Ends the life at once; its entry stays in the list for a while.
    void crash(int place);
    // Says that it leaves, and does so seconds later.
    void drain(int place);
    // Another life under a new id, unless one is there.
    void begin_life(int place);
    // Ends the life at once, if one is there, and begins another under its id.
    void restart(int place);
    // This share of orders gets no answer and is carried out seconds later.
    void delay_orders(int place, double share);
    void set_slowness(int place, double slowness);

private:
    struct waiting_hold {
        std::string body;
        http_reply reply;
        instant until;
    };
    struct slot {
        flow_worker_place place;
        std::unique_ptr<http_server> server;
        std::optional<flow_worker> life; // empty while nobody is there
        worker_life newest;              // the life that is there, or was there last
        int ids = 0;                     // that its lives have had
        bool draining = false;
        instant leaves = instant::max();
        instant heartbeat{};
        std::int64_t heartbeats = 0; // of this life
        double late_share = 0;
        double slowness = 1;
        std::vector<waiting_hold> holds; // of this life
    };
    void serve(int place, const http_request& request, const http_reply& reply);
    void carry_out(slot& s, const std::string& id, const http_request& request, const http_reply& reply, bool late);
    void listen(int place);
    void close_connections(int place);
    void begin(slot& s, const std::string& id);
    void end(slot& s, duration listed_still);
    static duration still_listed(const slot& s);
    void unlist(const worker_life& life);
    void write_listing(slot& s, instant now);
    void answer_holds(slot& s, instant now);
    void advance_all(instant now);
    void look();
    slot& at(int place) { return *slots_.at(static_cast<std::size_t>(place)); }

    flow_table& table_;
    flow_worker::watcher watch_;
    absl::Mutex mutex_;
    random_source random_ ABSL_GUARDED_BY(mutex_);
    std::vector<std::unique_ptr<slot>> slots_ ABSL_GUARDED_BY(mutex_);
    std::map<std::string, worker_life> listed_ ABSL_GUARDED_BY(mutex_); // who wrote the entry, by id
    bool closing_ ABSL_GUARDED_BY(mutex_) = false;
    platform_timer timer_; // last: what it still runs uses the rest
};

} // namespace skylarkhub::standin
