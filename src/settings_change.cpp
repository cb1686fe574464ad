#include "settings_change_p.h"

#include <fmt/format.h>

#include <algorithm>

#include "row_codec_p.h"
#include "row_keys_p.h"
#include "settings_merge_p.h"

namespace skylarkhub {

namespace {

std::int64_t to_ms(wall_time t)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(t.time_since_epoch()).count();
}

wall_time from_ms(std::int64_t ms)
{
    return wall_time(std::chrono::milliseconds(ms));
}

bool same_document(const std::string& a, const std::string& b)
{
    const auto left = nlohmann::json::parse(a, nullptr, false);
    const auto right = nlohmann::json::parse(b, nullptr, false);
    return !left.is_discarded() && left == right;
}

bool same_content(const wire::settings_row& row, const settings_change& change)
{
    return row.removed == change.removed && (change.removed || same_document(row.document, change.document));
}

// Somebody replaced the version this change is based on. If it was this very change, whose answer was lost, then the
// history row says so, even after others have replaced it in turn.
change_step settle_moved(const settings_rows& rows, const wire::settings_row& current, const settings_change& change)
{
    const auto replaced = read_settings_row(rows.history);
    if (replaced && replaced->operation == change.operation.str()) {
        return change_done{settings_version(replaced->version)};
    }
    if (current.operation == change.operation.str()) {
        return change_done{settings_version(current.version)};
    }
    return change_conflict{settings_version(current.version), current.author, from_ms(current.changed_ms)};
}

// Mistakes that the change would bring in. Those that stand already are left aside: else a mistake in one subtree would
// keep everybody from changing theirs.
std::vector<settings_problem> check_change(const settings_tree& tree, const settings_change& change)
{
    settings::subtree changed;
    detail::parsed_subtrees subtrees = tree.parsed();
    const std::vector<settings_problem> before = detail::check_between(subtrees);
    if (change.removed) {
        subtrees.erase(change.path);
    }
    else {
        std::vector<settings_problem> problems = check_subtree(change.path, change.document);
        if (!problems.empty()) {
            return problems;
        }
        parse_settings(change.document, parse_settings_path(change.path)->level, changed, problems);
        subtrees[change.path] = &changed;
    }
    std::vector<settings_problem> after = detail::check_between(subtrees);
    std::erase_if(after, [&](const settings_problem& problem) {
        return std::find(before.begin(), before.end(), problem) != before.end();
    });
    return after;
}

wire::settings_row make_row(const wire::settings_row& replaced, const settings_change& change, std::int64_t version)
{
    wire::settings_row row;
    row.__set_path(change.path);
    row.__set_version(version);
    row.__set_document(change.removed ? "" : change.document);
    row.__set_author(change.author);
    row.__set_changed_ms(to_ms(change.now));
    row.__set_removed(change.removed);
    row.__set_operation(change.operation.str());
    row.__set_past(replaced.past);
    row.past.push_back(replaced.version);
    return row;
}

change_commit make_commit(const settings_rows& rows, const wire::settings_row& current,
                          const wire::settings_versions_row& versions, const settings_change& change)
{
    change_commit commit;
    commit.versions = versions;
    commit.versions.version = versions.version + 1;
    commit.versions.subtrees[change.path] = commit.versions.version;
    commit.row = make_row(current, change, commit.versions.version);
    table_transaction& t = commit.transaction;
    t.operation = change.operation;
    t.checks = {{rows.versions.key, rows.versions.version}, {rows.subtree.key, rows.subtree.version}};
    if (commit.row.past.size() > settings_history_kept) {
        t.writes.push_back({settings_history_key(change.path, settings_version(commit.row.past.front())), {}});
        commit.row.past.erase(commit.row.past.begin());
    }
    const std::string value = encode_row(commit.row);
    t.writes.push_back({rows.subtree.key, value});
    t.writes.push_back({settings_history_key(change.path, change.expected), value});
    t.writes.push_back({rows.versions.key, encode_row(commit.versions)});
    return commit;
}

change_refused refuse(const settings_change& change, std::string reason)
{
    return {{{change.path, "", std::move(reason)}}};
}

} // namespace

settings_reads reads_of(const settings_change& change)
{
    return {settings_versions_key(), settings_key(change.path), settings_history_key(change.path, change.expected)};
}

std::optional<wire::settings_row> read_settings_row(const table_row& row, std::string* last_reason)
{
    return row.value ? decode_row<wire::settings_row>(*row.value, last_reason) : std::nullopt;
}

std::optional<wire::settings_versions_row> read_versions_row(const table_row& row, std::string* last_reason)
{
    if (!row.value) {
        return wire::settings_versions_row();
    }
    return decode_row<wire::settings_versions_row>(*row.value, last_reason);
}

change_step plan_change(const settings_tree& tree, const settings_rows& rows, const settings_change& change)
{
    if (!parse_settings_path(change.path)) {
        return refuse(change, "is no subtree; it must be defaults, data_centre/NAME or team/NAME");
    }
    std::string reason;
    const auto versions = read_versions_row(rows.versions, &reason);
    std::optional<wire::settings_row> current = read_settings_row(rows.subtree, &reason);
    if (!versions || (rows.subtree.value && !current)) {
        return refuse(change, "the table's row cannot be read: " + reason);
    }
    if (!current) {
        current.emplace();
    }
    if (current->version == 0 && change.removed) {
        return refuse(change, "there is no such subtree");
    }
    if (current->version != change.expected.value()) {
        return settle_moved(rows, *current, change);
    }
    // Checks between documents are only sound against the very tree that the transaction checks: else one operator
    // could remove a kind while another one begins to use it.
    const auto listed = versions->subtrees.find(change.path);
    const std::int64_t listed_version = listed == versions->subtrees.end() ? 0 : listed->second;
    if (listed_version != current->version || versions->version != tree.version().value()) {
        return change_again{"the tree moved meanwhile"};
    }
    std::vector<settings_problem> problems = check_change(tree, change);
    if (!problems.empty()) {
        return change_refused{std::move(problems)};
    }
    if (current->version > 0 && same_content(*current, change)) {
        return change_done{change.expected};
    }
    return make_commit(rows, *current, *versions, change);
}

change_step conclude_change(const change_commit& commit, const table_result& result)
{
    switch (result.outcome) {
    case table_outcome::applied:
        return change_done{settings_version(commit.row.version)};
    case table_outcome::conflict:
        return change_again{"another change came first"};
    case table_outcome::refused:
        return change_again{"the table refused: " + result.reason};
    case table_outcome::unknown:
        break;
    }
    return change_again{"the table's answer was lost: " + result.reason, true};
}

} // namespace skylarkhub
