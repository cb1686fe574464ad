// Keeps the settings tree of this entry in force: polls one version row, takes pushes from peers, makes operators'
// changes.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "platform_client_p.h"
#include "settings_change_p.h"
#include "settings_tree_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// The outcome cannot be told: the table stayed out of reach while the change may have been under way.
struct change_unknown {
    std::string reason;
};
// The table could not be reached and nothing was written.
struct change_unavailable {
    std::string reason;
};
using change_answer = std::variant<change_done, change_conflict, change_refused, change_unknown, change_unavailable>;

class settings_keeper : public std::enable_shared_from_this<settings_keeper> {
public:
    // `changed` runs after the tree in force moved, with rows for the peers; not under any lock.
    settings_keeper(platform_client& platform, std::function<void(const wire::settings_push&)> changed);

    // Empty until the settings were read whole: an empty tree would pass for a site that has none, where everybody may
    // do everything and no kind exists. A copy shares the subtrees, so it is cheap.
    std::optional<settings_tree> tree() const;
    settings_version version() const;
    wire::settings_push newer_than(std::int64_t version) const;

    // Reads the version row and whatever is behind it; one poll at a time.
    void poll();

    // Takes what a peer pushed or answered to a pull; the version in force after it.
    std::int64_t take_push(const wire::settings_push& push);

    // Makes an operator's change; `done` runs once, possibly after several tries.
    void change(const settings_change& change, std::function<void(change_answer)> done);

private:
    struct pending_change;
    void read_subtrees(const wire::settings_versions_row& versions);
    void finish_poll(const wire::settings_versions_row& versions);
    void try_change(const std::shared_ptr<pending_change>& pending);
    void read_next(const std::shared_ptr<pending_change>& pending);
    void step_change(const std::shared_ptr<pending_change>& pending);
    void take_step(const std::shared_ptr<pending_change>& pending, const change_step& step);
    void again(const std::shared_ptr<pending_change>& pending, const change_again& why);
    void take_own(const change_commit& commit);

    platform_client& platform_;
    const std::function<void(const wire::settings_push&)> changed_;
    std::atomic<bool> polling_{false};
    mutable absl::Mutex mutex_;
    settings_tree tree_ ABSL_GUARDED_BY(mutex_);
};

} // namespace skylarkhub
