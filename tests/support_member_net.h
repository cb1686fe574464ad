// Memberships in one process under a virtual clock: carries their probes with delay, loss, cuts and freezes.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "base_random_p.h"
#include "member_p.h"
#include "peer_types.h"

namespace skylarkhub::testing {

class member_net {
public:
    struct options {
        std::uint64_t seed = 1;
        duration delay{1000}; // one way
        member_settings settings;
    };
    struct traffic {
        std::int64_t messages = 0; // requests and answers sent
        std::int64_t bytes = 0;    // of these, as encoded with their frames
    };
    struct change {
        instant at;
        std::string seen_by;
        member changed;
    };

    explicit member_net(options o);

    // Starts an entry. Its incarnation is "NAME@STAMP"; a stamp of 0 takes the clock.
    incarnation_id start(const std::string& name, const std::string& data_centre, std::int64_t stamp = 0);
    // Three data centres "a", "b", "c" in turn, all listed to each other.
    void start_all(int entries, int data_centres = 3);

    void kill(const std::string& name);
    void freeze(const std::string& name); // it neither moves nor answers, and keeps its state
    void thaw(const std::string& name);
    void leave(const std::string& name);
    void list(const std::string& to, const std::vector<std::string>& names);
    void list_to_all();

    // True for messages that do not arrive, by names of sender and receiver.
    std::function<bool(const std::string& from, const std::string& to)> cut;
    double loss = 0; // share of messages that vanish

    void run(duration time);

    instant now() const { return now_; }
    membership& at(const std::string& name);
    std::string data_centre(const std::string& name) const;
    std::vector<std::string> names() const;                                // of running entries
    member_state state(const std::string& seen_by, const std::string& of); // dead also when unknown
    bool all_see(const std::string& of, member_state state);
    bool all_live();
    const traffic& sent_by(const std::string& name) { return nodes_.at(name).sent; }
    const std::vector<change>& changes() const { return changes_; }
    std::int64_t deaths() const; // changes to dead, over all observers

private:
    struct node {
        std::unique_ptr<membership> machine;
        bool running = false;
        bool frozen = false;
        std::vector<std::function<void()>> held; // what arrived while it was frozen
        traffic sent;
    };
    struct event {
        instant at;
        std::int64_t order;
        std::function<void()> act;
        bool operator<(const event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };
    // One question and its answer; `ended` runs once, in the asker, at the latest after `timeout`.
    void ask(const std::string& from, const net_address& to, const wire::probe_request& request, duration timeout,
             const std::function<void(std::optional<wire::probe_reply>)>& ended);
    void answer(const std::string& by, const wire::probe_request& request,
                const std::function<void(wire::probe_reply)>& reply);
    void decide(const std::string& name, const member_event& what);
    void carry(const std::string& from, const send_probe& probe);
    void tick(const std::string& name, const incarnation_id& life);
    void later(duration delay, std::function<void()> act);
    void deliver(const std::string& to, const incarnation_id& life, std::function<void()> act);
    bool vanishes(const std::string& from, const std::string& to);
    incarnation_id life_of(const std::string& name) const { return nodes_.at(name).machine->self().incarnation; }

    options options_;
    random_source random_;
    instant now_{std::chrono::seconds(1000)};
    std::int64_t events_made_ = 0;
    std::priority_queue<event> events_;
    std::map<std::string, node> nodes_;
    std::vector<change> changes_;
};

} // namespace skylarkhub::testing
