// Calls to other entries (schema/peer.thrift, service entry_peer).
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "peer_channel_p.h"
#include "peer_types.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

template <class Answer> struct peer_result {
    std::optional<Answer> answer;  // empty when there is no whole, well-formed answer
    bool may_have_arrived = false; // false only when no byte of the call can have left
    std::string reason;            // why there is no answer
};

// All bytes of a one-way call have left; nobody says whether they arrived.
struct peer_sent {};

class peer_client {
public:
    template <class Answer> using callback = std::function<void(peer_result<Answer>)>;

    peer_client() : peer_client(peer_channel::limits{}) {}
    explicit peer_client(peer_channel::limits l);

    // All calls return at once. `done` runs once, on the client's thread, and must not block. `timeout` counts from the
    // call and includes connecting.
    void probe(const net_address& to, const wire::probe_request& request, duration timeout,
               callback<wire::probe_reply> done);
    void hold(const net_address& to, const wire::hold_request& request, duration timeout,
              callback<wire::hold_reply> done);
    void tell_cells(const net_address& to, const std::string& sender, const std::vector<wire::cell_news>& news,
                    duration timeout, callback<peer_sent> done);
    void inbox_hint(const net_address& to, const cell_id& cell, duration timeout, callback<peer_sent> done);
    void push_settings(const net_address& to, const wire::settings_push& push, duration timeout,
                       callback<std::int64_t> done);
    void pull_settings(const net_address& to, std::int64_t newer_than, duration timeout,
                       callback<wire::settings_push> done);
    void report(const net_address& to, const std::string& what, duration timeout, callback<std::string> done);

    peer_channel::stats read_stats() const;

private:
    std::int32_t message_bytes_most_;
    peer_channel channel_;
};

} // namespace skylarkhub
