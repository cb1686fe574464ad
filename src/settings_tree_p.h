// The operators' settings tree: defaults -> data centre -> team -> service. Each subtree is one JSON document with its
// own version. Versions are drawn from one counter of the whole tree, so that "everything after version V" is well
// defined, and a subtree held is only ever replaced by a higher version: what was accepted never reverts.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peer_types.h"
#include "settings_parse_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// The name of a subtree: "defaults", "data_centre/NAME" or "team/NAME".
struct settings_path {
    settings::tree_level level = settings::defaults;
    std::string name; // empty for the defaults
};

// Empty when the text names no possible subtree.
std::optional<settings_path> parse_settings_path(std::string_view path);
std::string format_settings_path(const settings_path& path);

// Mistakes of one document on its own: unknown names, bad values, values at a level where they may not stand.
std::vector<settings_problem> check_subtree(std::string_view path, std::string_view json);

// Mistakes of a whole tree given by path, those between documents included (kinds that do not exist, for one).
std::vector<settings_problem> check_settings(const std::map<std::string, std::string>& documents);

struct service_settings {
    service_id id; // "TEAM/NAME"
    kind_id kind;
    double availability_objective = 0; // share of requests
    std::int32_t slots = 0;
    std::int32_t connections = 0;
};
struct request_settings {
    std::int32_t queue_length = 0;
    std::int64_t body_bytes = 0;
    double retry_share = 0;
    double hedge_share = 0;
};
struct quota_settings {
    resources most; // 0 in a dimension: no limit there
    double share = 1;
    std::int32_t queued_jobs = 0; // 0: no limit
};

// A value in force and where it comes from: "built_in" or the path of a subtree.
struct effective_value {
    std::string path;
    nlohmann::json value;
    std::string origin;
    settings_version version; // of the origin
};

// A plain value: copies are cheap, since they share the subtrees. Held under the daemon's lock, or published as a copy.
class settings_tree {
public:
    settings_tree();

    // Takes a row if its version is above the one held; a row that cannot be read is never taken. True when the tree
    // changed. The reason of a refusal, other than an old version, goes to `last_reason`.
    bool apply(const wire::settings_row& row, std::string* last_reason = nullptr);

    // Takes a push of a peer: rows after `push.newer_than`, complete up to `push.version`. True when the tree changed.
    bool apply(const wire::settings_push& push);

    // Subtrees which the table holds at a higher version than this tree; to be read and applied.
    std::vector<std::string> behind(const wire::settings_versions_row& versions) const;

    // Says that the table's version row was `versions`; the tree's version follows once nothing is behind it.
    void reach(const wire::settings_versions_row& versions);

    // Whether the tree was ever whole, be it as one without any subtree; before that it tells nothing.
    bool was_read() const { return version_.has_value(); }

    // Every subtree change up to here is in force; 0 also while nothing was read.
    settings_version version() const { return version_.value_or(settings_version()); }
    settings_version version_of(std::string_view path) const; // 0 when never written
    std::map<std::string, settings_version> versions() const; // removed subtrees included

    // Rows above `version`, removed ones included, for a peer or an entry that starts in an outage.
    wire::settings_push newer_than(settings_version version) const;

    // The row of one subtree; empty when never written.
    std::optional<wire::settings_row> row(std::string_view path) const;

    // Documents in force by path, without removed ones.
    std::map<std::string, std::string> documents() const;

    // The same, read; pointers live as long as this tree or a copy of it holds the subtree.
    std::map<std::string, const settings::subtree*, std::less<>> parsed() const;

    // --- in force ---

    std::vector<team_id> teams() const;
    std::vector<service_id> services(const team_id& team) const;

    // Empty when the team has no such kind or service.
    std::optional<work_kind> find_kind(const team_id& team, const data_centre_id& data_centre,
                                       const kind_id& kind) const;
    std::optional<service_settings> find_service(const team_id& team, const data_centre_id& data_centre,
                                                 std::string_view name) const;
    request_settings limits(const team_id& team, const data_centre_id& data_centre) const;
    quota_settings quota(const team_id& team, const data_centre_id& data_centre) const;

    // Kinds of one data centre for all teams: "KIND" as the defaults have it, and "TEAM/KIND" where a team differs.
    std::vector<work_kind> kinds(const data_centre_id& data_centre) const;

    // Every value that a team (empty: any team) meets in a data centre (empty: any), by path.
    // Whether no task is to be started in the data centre.
    bool is_evacuated(const data_centre_id& data_centre) const;
    std::vector<data_centre_id> evacuated_data_centres() const;
    std::vector<effective_value> effective(const team_id& team, const data_centre_id& data_centre) const;

    // Whether the bearer of `token` may change a subtree or the work of a team: the team's own token or the one of the
    // defaults. Everyone may while neither is set. Compares in constant time.
    bool may_change(const settings_path& path, std::string_view token) const;

private:
    struct subtree;

    const settings::subtree* find(std::string_view path) const;
    std::vector<std::string> paths_of(settings::tree_level level) const;
    std::vector<const settings::subtree*> levels(const team_id& team, const data_centre_id& data_centre) const;

    std::map<std::string, std::shared_ptr<const subtree>, std::less<>> subtrees_;
    std::optional<settings_version> version_; // empty: not read
};

// The kind of a job of `team` within the list made by settings_tree::kinds(); null when there is none.
const work_kind* find_kind(const std::vector<work_kind>& kinds, const team_id& team, const kind_id& kind);

} // namespace skylarkhub
