// Who is alive: the platform's lagging list as a hint, direct probes at a cost per entry that stays flat as entries
// grow, suspicion before death, news carried on the probes. No agreement is needed: ownership is settled by the table.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "config.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

enum class member_state : std::uint8_t { live, suspect, leaving, dead };

struct member {
    incarnation_id incarnation;
    entry_id entry;
    data_centre_id data_centre;
    net_address peer_address;
    net_address http_address;
    member_state state = member_state::live;
    std::int64_t version = 0; // raised by the member itself; the higher wins
    skylarkhub::settings_version settings;
};

struct member_settings {
    duration probe_interval = config::probe_interval;
    duration probe_timeout = config::probe_timeout;
    duration suspect_timeout = config::suspect_timeout;
    int relays = config::probe_relays;
    int news_per_message = config::news_per_message;
    duration contact_lately = config::contact_lately;
    duration dead_memory = config::dead_memory;
};

struct member_tick {};
// Entries as the platform lists them; a hint only: adds what is unknown, never ends a member that answers.
struct member_listed {
    std::vector<member> entries;
};
struct member_probed { // somebody probes us
    incarnation_id sender;
    std::vector<member> news;
};
struct member_probe_ended {
    incarnation_id asked;   // who was sent the probe
    incarnation_id subject; // whom it was about; differs from `asked` for a relayed probe
    bool reached = false;
    std::vector<member> news;
};
struct member_leaving {}; // a planned stop of this entry
using member_event = std::variant<member_tick, member_listed, member_probed, member_probe_ended, member_leaving>;

struct send_probe {
    member asked;
    incarnation_id subject;
    std::vector<member> news;
};
struct member_changed {
    member changed;
};
using member_action = std::variant<send_probe, member_changed>;

// Decides, and never speaks: the caller sends the probes, ends each with member_probe_ended after probe_timeout (twice
// that for a relayed one), and calls with member_tick several times within each probe_interval.
class membership {
public:
    membership(member self, member_settings settings, std::uint64_t seed);
    ~membership();

    void decide(instant now, const member_event& event, std::vector<member_action>& actions);

    // News to answer a probe with; this entry itself comes first, so that every answer shows its newest version.
    std::vector<member> news();

    const member& self() const;
    // Told with the next probes; no change of state.
    void set_settings_version(settings_version version);
    std::vector<member> members() const; // sorted by incarnation, this entry and remembered dead ones included
    std::vector<incarnation_id> live_in(const data_centre_id& data_centre) const; // live and suspect, sorted
    bool reachable(const data_centre_id& data_centre,
                   instant now) const; // a member there answered this entry's own probe lately

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace skylarkhub
