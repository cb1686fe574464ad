#include "daemon_gather_p.h"

#include <absl/synchronization/mutex.h>

#include <memory>

namespace skylarkhub {

namespace {

constexpr duration part_timeout = std::chrono::seconds(1);

struct gathering {
    absl::Mutex mutex;
    std::vector<gathered_part> parts ABSL_GUARDED_BY(mutex);
    std::size_t left ABSL_GUARDED_BY(mutex) = 0;
    std::function<void(std::vector<gathered_part>)> done;
};

void take_part(gathering& all, gathered_part part)
{
    std::vector<gathered_part> parts;
    {
        absl::MutexLock lock(&all.mutex);
        all.parts.push_back(std::move(part));
        if (--all.left > 0) {
            return;
        }
        parts.swap(all.parts);
    }
    all.done(std::move(parts));
}

} // namespace

void gather_parts(peer_client& peers, const std::vector<member>& members, const std::string& what,
                  std::function<void(std::vector<gathered_part>)> done)
{
    if (members.empty()) {
        done({});
        return;
    }
    auto all = std::make_shared<gathering>();
    {
        absl::MutexLock lock(&all->mutex);
        all->left = members.size();
    }
    all->done = std::move(done);
    for (const member& m : members) {
        peers.report(m.peer_address, what, part_timeout, [all, m](peer_result<std::string> result) {
            take_part(*all, {m, std::move(result.answer), std::move(result.reason)});
        });
    }
}

} // namespace skylarkhub
