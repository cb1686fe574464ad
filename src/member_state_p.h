// What one entry knows of the others, shared by the parts of the membership.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <optional>
#include <vector>

#include "base_random_p.h"
#include "member_p.h"

namespace skylarkhub {

struct membership::state {
    struct record {
        member known;
        bool leaving = false;        // as it said itself, also while it is suspect
        bool suspected_here = false; // this entry found it silent, and goes on asking
        instant suspect_until{};     // of a suspect
        instant died{};              // of a dead one
    };
    // A change on its way to the others. The newest state is sent, whatever it was when the rumour began.
    struct rumour {
        incarnation_id subject;
        int sends = 0;
        std::int64_t stamp = 0; // rises; the newer of two goes first
    };
    struct pending_probe {
        instant sent{};
        int relays_out = 0; // 0 while the direct probe is out
    };
    struct centre_contact {
        std::optional<instant> answered; // last answer of any member there to a probe of this entry's own
        instant asked{};                 // last probe sent there because of its silence
    };

    member self;
    member_settings settings;
    random_source random;

    absl::btree_map<incarnation_id, record> records; // others, dead ones included while remembered
    std::vector<incarnation_id> order;               // those not dead, in the order of probing
    std::size_t next_in_order = 0;
    std::vector<incarnation_id> dead; // oldest death first
    std::size_t next_dead = 0;
    absl::btree_set<incarnation_id> suspects;
    absl::btree_map<incarnation_id, pending_probe> pending;
    absl::btree_map<data_centre_id, centre_contact> centres; // other ones

    std::vector<rumour> rumours;
    std::int64_t rumour_stamp = 0;

    std::optional<instant> last_event;
    instant next_period{};
    std::int64_t periods = 0;

    state(member own, member_settings given, std::uint64_t seed);

    // member_decide.cpp
    void tick(instant now, std::vector<member_action>& actions);
    void notice_pause(instant now);
    void add_listed(instant now, const std::vector<member>& entries, std::vector<member_action>& actions);
    void leave(instant now, std::vector<member_action>& actions);

    // member_probe.cpp
    void run_period(instant now, std::vector<member_action>& actions);
    void drop_unended_probes(instant now);
    void probe_next(instant now, std::vector<member_action>& actions);
    void probe_suspects(instant now, std::vector<member_action>& actions);
    void probe_silent_centre(instant now, std::vector<member_action>& actions);
    std::optional<incarnation_id> pick_in(const data_centre_id& centre);
    void probe_a_dead_one(instant now, std::vector<member_action>& actions);
    void probe(instant now, const incarnation_id& subject, std::vector<member_action>& actions);
    void end_probe(instant now, const member_probe_ended& event, std::vector<member_action>& actions);
    void ask_relays(instant now, const incarnation_id& subject, std::vector<member_action>& actions);
    std::vector<incarnation_id> pick_relays(const incarnation_id& subject);

    // member_state.cpp
    void merge(instant now, const member& news, std::vector<member_action>& actions);
    void merge_all(instant now, const std::vector<member>& news, std::vector<member_action>& actions);
    void add(instant now, const member& news, std::vector<member_action>& actions);
    void change(instant now, record& r, const member& news, std::vector<member_action>& actions);
    void suspect(instant now, const incarnation_id& subject, std::vector<member_action>& actions);
    void end_suspicions(instant now, std::vector<member_action>& actions);
    void forget_dead(instant now);
    void refute(const member& news);
    void suspect_earlier_lives(instant now, const member& newcomer, std::vector<member_action>& actions);
    void enter_state(instant now, record& r);
    void put_in_order(const incarnation_id& id);
    void take_out_of_order(const incarnation_id& id);

    // member_news.cpp
    void spread(const incarnation_id& subject);
    std::vector<member> compose(const incarnation_id& about);
    void add_rumours(std::vector<member>& news, std::size_t most);
    void add_a_random_one(std::vector<member>& news);
    int sends_most() const;
    const member* find(const incarnation_id& id) const;
};

} // namespace skylarkhub
