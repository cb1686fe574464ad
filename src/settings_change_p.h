// How one change of a subtree is made. The transaction writes the subtree's row, its history row and the version row,
// and checks the rows it read. The version row is shared, so two operators on two subtrees may meet there: the one that
// loses reads again and goes on, because its own subtree did not move. On the same subtree the one that loses is told
// the version that won.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "settings_tree_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// Changes of one subtree that history keeps.
inline constexpr std::size_t settings_history_kept = 50;

struct settings_change {
    operation_id operation; // of the operator and the subtree, the same for every try
    std::string path;
    settings_version expected; // the version which the operator's document is based on; 0: the subtree is new
    std::string document;      // ignored when removing
    bool removed = false;
    std::string author;
    wall_time now{};
};

// Keys of the rows to be read before each plan_change().
struct settings_reads {
    std::string versions;
    std::string subtree;
    std::string history; // the row that replaced the expected version, if any did
};
settings_reads reads_of(const settings_change& change);

// Those rows as the table has them now.
struct settings_rows {
    table_row versions;
    table_row subtree;
    table_row history;
};

// In force with this version, by this operation or because the document was in force already.
struct change_done {
    settings_version version;
};
// Somebody else's version is in force; nothing was written.
struct change_conflict {
    settings_version current;
    std::string author;
    wall_time changed{};
};
// The document has mistakes, or a row cannot be read; nothing was written.
struct change_refused {
    std::vector<settings_problem> problems;
};
// Bring the tree up to the version row, read the rows and plan again. After an `unknown` one the write may still take
// effect until a later step says done or conflict: a caller that gives up in between must say unknown.
struct change_again {
    std::string reason;
    bool unknown = false;
};
// To be committed; then conclude_change() tells what its result means.
struct change_commit {
    table_transaction transaction;
    wire::settings_row row;               // in force once applied: for this entry's own tree and its peers
    wire::settings_versions_row versions; // likewise
};
using change_step = std::variant<change_done, change_conflict, change_refused, change_again, change_commit>;

// The next step of a change, from the tree in force and the rows just read.
change_step plan_change(const settings_tree& tree, const settings_rows& rows, const settings_change& change);

// change_done, or change_again: the rows then tell who won, and whether a lost answer hid a success.
change_step conclude_change(const change_commit& commit, const table_result& result);

// The table's rows as values; empty when the row is absent or unreadable, then with the reason.
std::optional<wire::settings_row> read_settings_row(const table_row& row, std::string* last_reason = nullptr);

// An absent row reads as version 0 without subtrees.
std::optional<wire::settings_versions_row> read_versions_row(const table_row& row, std::string* last_reason = nullptr);

} // namespace skylarkhub
