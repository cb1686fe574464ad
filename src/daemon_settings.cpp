#include "daemon_settings_p.h"

#include <array>

#include "log_line_p.h"
#include "row_keys_p.h"

namespace skylarkhub {

namespace {

// Tries of one change: operators of other subtrees may win the version row again and again, a store that is down may
// not come back soon; the operator's tool goes on under the same key.
constexpr int change_tries_most = 12;

constexpr std::size_t reads_per_try = 3;

} // namespace

struct settings_keeper::pending_change {
    settings_change change;
    std::function<void(change_answer)> done;
    settings_rows rows;
    std::size_t rows_read = 0;
    int tries = 0;
    bool unknown = false;
};

settings_keeper::settings_keeper(platform_client& platform, std::function<void(const wire::settings_push&)> changed)
    : platform_(platform), changed_(std::move(changed))
{}

std::optional<settings_tree> settings_keeper::tree() const
{
    absl::MutexLock lock(&mutex_);
    return tree_.was_read() ? std::optional(tree_) : std::nullopt;
}

settings_version settings_keeper::version() const
{
    absl::MutexLock lock(&mutex_);
    return tree_.version();
}

wire::settings_push settings_keeper::newer_than(std::int64_t version) const
{
    absl::MutexLock lock(&mutex_);
    return tree_.newer_than(settings_version(version));
}

void settings_keeper::poll()
{
    if (polling_.exchange(true)) {
        return;
    }
    platform_.read(table_traffic::settings, settings_versions_key(),
                   [self = shared_from_this()](const std::optional<table_row>& row) {
                       const auto versions = row ? read_versions_row(*row) : std::nullopt;
                       if (versions) {
                           self->read_subtrees(*versions);
                       }
                       else {
                           self->polling_.store(false);
                       }
                   });
}

void settings_keeper::read_subtrees(const wire::settings_versions_row& versions)
{
    std::vector<std::string> paths;
    {
        absl::MutexLock lock(&mutex_);
        paths = tree_.behind(versions);
    }
    if (paths.empty()) {
        finish_poll(versions);
        return;
    }
    auto left = std::make_shared<std::atomic<std::size_t>>(paths.size());
    auto before = std::make_shared<settings_version>(version());
    for (const std::string& path : paths) {
        platform_.read(table_traffic::settings, settings_key(path),
                       [self = shared_from_this(), left, before, versions](const std::optional<table_row>& row) {
                           std::string reason;
                           const auto settings = row ? read_settings_row(*row, &reason) : std::nullopt;
                           if (settings) {
                               absl::MutexLock lock(&self->mutex_);
                               self->tree_.apply(*settings);
                           }
                           if (left->fetch_sub(1) == 1) {
                               self->finish_poll(versions);
                           }
                       });
    }
}

void settings_keeper::finish_poll(const wire::settings_versions_row& versions)
{
    wire::settings_push push;
    bool moved = false;
    {
        absl::MutexLock lock(&mutex_);
        const settings_version before = tree_.version();
        const bool read_before = tree_.was_read();
        tree_.reach(versions);
        moved = before < tree_.version() || read_before != tree_.was_read();
        if (moved) {
            push = tree_.newer_than(before);
        }
    }
    polling_.store(false);
    if (moved) {
        write_log(log_level::info, "settings", "in_force", {{"version", std::to_string(push.version)}});
        changed_(push);
    }
}

std::int64_t settings_keeper::take_push(const wire::settings_push& push)
{
    bool moved = false;
    std::int64_t version = 0;
    {
        absl::MutexLock lock(&mutex_);
        moved = tree_.apply(push);
        version = tree_.version().value();
    }
    if (moved) {
        write_log(log_level::info, "settings", "in_force", {{"version", std::to_string(version)}});
        changed_({});
    }
    return version;
}

void settings_keeper::change(const settings_change& change, std::function<void(change_answer)> done)
{
    auto pending = std::make_shared<pending_change>();
    pending->change = change;
    pending->done = std::move(done);
    try_change(pending);
}

void settings_keeper::try_change(const std::shared_ptr<pending_change>& pending)
{
    if (++pending->tries > change_tries_most) {
        if (pending->unknown) {
            pending->done(change_unknown{"the table did not say whether the change is in force"});
        }
        else {
            pending->done(change_unavailable{"the table could not be reached, or others kept changing it"});
        }
        return;
    }
    pending->rows_read = 0;
    read_next(pending);
}

void settings_keeper::read_next(const std::shared_ptr<pending_change>& pending)
{
    if (pending->rows_read == reads_per_try) {
        step_change(pending);
        return;
    }
    const settings_reads keys = reads_of(pending->change);
    const std::array<const std::string*, reads_per_try> order{&keys.versions, &keys.subtree, &keys.history};
    platform_.read(table_traffic::settings, *order.at(pending->rows_read),
                   [self = shared_from_this(), pending](std::optional<table_row> row) {
                       if (!row) {
                           self->again(pending, {"the table cannot be read", pending->unknown});
                           return;
                       }
                       const std::array<table_row*, reads_per_try> into{&pending->rows.versions, &pending->rows.subtree,
                                                                        &pending->rows.history};
                       *into.at(pending->rows_read) = std::move(*row);
                       ++pending->rows_read;
                       self->read_next(pending);
                   });
}

void settings_keeper::step_change(const std::shared_ptr<pending_change>& pending)
{
    const auto versions = read_versions_row(pending->rows.versions);
    if (versions) {
        polling_.store(true);
        read_subtrees(*versions);
    }
    const auto now = tree();
    if (!now) {
        again(pending, {"the settings are not read yet"});
        return;
    }
    take_step(pending, plan_change(*now, pending->rows, pending->change));
}

void settings_keeper::take_step(const std::shared_ptr<pending_change>& pending, const change_step& step)
{
    std::visit(detail::overloaded{
                   [&](const change_done& s) { pending->done(s); },
                   [&](const change_conflict& s) { pending->done(s); },
                   [&](const change_refused& s) { pending->done(s); },
                   [&](const change_again& s) { again(pending, s); },
                   [&](const change_commit& s) {
                       platform_.commit(table_traffic::settings, s.transaction,
                                        [self = shared_from_this(), pending, s](const table_result& result) {
                                            const change_step next = conclude_change(s, result);
                                            if (std::holds_alternative<change_done>(next)) {
                                                self->take_own(s);
                                            }
                                            self->take_step(pending, next);
                                        });
                   },
               },
               step);
}

void settings_keeper::again(const std::shared_ptr<pending_change>& pending, const change_again& why)
{
    pending->unknown = pending->unknown || why.unknown;
    try_change(pending);
}

void settings_keeper::take_own(const change_commit& commit)
{
    wire::settings_push push;
    {
        absl::MutexLock lock(&mutex_);
        const settings_version before = tree_.version();
        tree_.apply(commit.row);
        tree_.reach(commit.versions);
        push = tree_.newer_than(before);
    }
    changed_(push);
}

} // namespace skylarkhub
