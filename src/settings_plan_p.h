// What applying a directory of settings files would do to a site. The directory is the operators' source, kept in
// version control; beside its documents it records the version on which each is based, so that a change somebody else
// made meanwhile is a conflict and not silently undone.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "settings_tree_p.h"

namespace skylarkhub {

// A directory as read: documents and recorded versions by subtree path.
struct settings_directory {
    std::map<std::string, std::string> documents;
    std::map<std::string, settings_version> versions;
};

// One subtree as the site has it.
struct site_subtree {
    settings_version version;
    bool removed = false;
    std::string document; // empty when removed
    std::string author;
    wall_time changed{};
};

// One value that differs: empty on the side that does not have it.
struct value_change {
    std::string path;
    std::optional<nlohmann::json> before;
    std::optional<nlohmann::json> after;
};

// same: nothing to do. conflict: somebody else moved the subtree; nothing is done to it.
enum class plan_kind : std::uint8_t { same, create, change, remove, conflict };

struct plan_step {
    std::string path;
    plan_kind kind = plan_kind::same;
    settings_version base; // the site's version, which the change is checked against
    bool destroys = false; // loses what somebody wrote: a removal, or another's change overwritten
    std::vector<value_change> changes;
    std::string reason; // of a conflict
};

// Steps in the order in which they are to be done: what others build on comes first and goes last. With `onto_current`
// another's change is overwritten instead of being a conflict. Subtrees of the site which the directory has never known
// are left alone: they belong to somebody else.
std::vector<plan_step> plan_apply(const settings_directory& directory, const std::map<std::string, site_subtree>& site,
                                  bool onto_current);

// Values that differ between two documents, by dotted path; an unreadable one counts as empty.
std::vector<value_change> diff_documents(const std::string& before, const std::string& after);

} // namespace skylarkhub
