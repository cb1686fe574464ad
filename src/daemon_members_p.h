// Membership of this entry on real sockets and clocks: carries probes between the membership decisions and the peers.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "member_p.h"
#include "peer_client_p.h"
#include "peer_types.h"
#include "platform_client_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

class member_host {
public:
    // `changed` runs after a member came, went or changed its state; not under any lock.
    member_host(member self, peer_client& peers, std::uint64_t seed, std::function<void(const member&)> changed);

    void tick();
    void see_instances(const std::vector<listed_instance>& instances);
    wire::probe_reply answer_probe(const wire::probe_request& request);
    void plan_stop();
    void set_settings_version(settings_version version);

    member self() const;
    std::vector<member> members() const;
    std::vector<incarnation_id> live_in(const data_centre_id& data_centre) const;
    std::optional<member> find(const incarnation_id& incarnation) const;
    // Other entries that are live or suspect.
    std::vector<member> peers() const;

private:
    void decide(const member_event& event);
    void carry(const member_action& action);
    void probe(const send_probe& action);

    peer_client& peers_;
    const std::function<void(const member&)> changed_;
    mutable absl::Mutex mutex_;
    membership membership_ ABSL_GUARDED_BY(mutex_);
    std::int64_t sequence_ ABSL_GUARDED_BY(mutex_) = 0;
};

wire::member_wire to_wire(const member& m);
member from_wire(const wire::member_wire& w);

} // namespace skylarkhub
