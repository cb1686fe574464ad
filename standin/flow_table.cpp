#include "flow_table_p.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace skylarkhub::standin {

namespace {

using nlohmann::json;

constexpr std::size_t rows_most = 500; // of one answer
constexpr std::size_t page_bytes_most = 1 << 20;
constexpr std::size_t entries_most = 100; // of one transaction
constexpr std::size_t parts_most = 1000;  // of one answer

json describe_key(const std::tuple<std::string, std::string, std::string>& key)
{
    const auto& [table, part, name] = key;
    return {{"table", table}, {"part", part}, {"key", name}};
}

std::tuple<std::string, std::string, std::string> read_key(const json& entry)
{
    return {entry.at("table"), entry.value("part", ""), entry.at("key")};
}

std::int64_t read_number(const http_fields& query, std::string_view name, std::int64_t otherwise)
{
    std::int64_t number = otherwise;
    return absl::SimpleAtoi(std::string(find_field(query, name)), &number) ? number : otherwise;
}

http_response refuse(int status, const std::string& reason)
{
    return {status, {}, json{{"error", reason}}.dump()};
}

// The system may write neither the operator's table nor the list of workers.
bool is_reserved(const std::string& table)
{
    return table == "op" || table == "servers";
}

} // namespace

const flow_table::row* flow_table::find(const row_key& key) const
{
    const auto at = rows_.find(key);
    return at == rows_.end() || at->second.removed ? nullptr : &at->second;
}

// A removed row stays as a mark, so that readers of changes hear of it.
void flow_table::write(const row_key& key, row written)
{
    row& at = rows_[key];
    by_version_.erase({at.version, key});
    at = std::move(written);
    by_version_.emplace(at.version, key);
}

void flow_table::put(const std::string& table, const std::string& key, const std::string& value)
{
    write({table, "", key}, {absl::Base64Escape(value), ++version_, false});
}

void flow_table::remove(const std::string& table, const std::string& key)
{
    if (find({table, "", key}) != nullptr) {
        write({table, "", key}, {"", ++version_, true});
    }
}

http_response flow_table::make_page(const json& found, std::int64_t version, bool more) const
{
    return {200,
            {{"Content-Type", "application/json"}},
            json{{"rows", found}, {"schema-version", version}, {"has-more", more}}.dump()};
}

http_response flow_table::commit(const std::string& body)
{
    const json asked = json::parse(body, nullptr, false);
    if (!asked.is_object()) {
        return refuse(400, "not a JSON object");
    }
    const json checks = asked.value("expected-revision", json::array());
    const json puts = asked.value("put", json::array());
    const json removes = asked.value("remove", json::array());
    std::set<std::string> parts;
    for (const json* const list : {&checks, &puts, &removes}) {
        for (const json& entry : *list) {
            parts.insert(std::get<1>(read_key(entry)));
            if (list != &checks && is_reserved(std::get<0>(read_key(entry)))) {
                return refuse(403, "reserved");
            }
        }
    }
    if (checks.size() + puts.size() + removes.size() > entries_most || parts.size() > 1) {
        return refuse(400, "too many entries or parts");
    }
    json now = json::array();
    bool holds = true;
    for (const json& check : checks) {
        const row_key key = read_key(check);
        const row* const there = find(key);
        holds = holds && check.at("schema-version") == (there == nullptr ? 0 : there->version);
        if (there != nullptr) {
            json entry = describe_key(key);
            entry["value"] = there->value;
            entry["schema-version"] = there->version;
            now.push_back(std::move(entry));
        }
    }
    if (!holds) {
        http_response conflict = make_page(now, version_, false);
        conflict.status = 412;
        return conflict;
    }
    ++version_;
    for (const json& entry : puts) {
        write(read_key(entry), {entry.at("value"), version_, false});
    }
    for (const json& entry : removes) {
        if (find(read_key(entry)) != nullptr) {
            write(read_key(entry), {"", version_, true});
        }
    }
    return make_page(json::array(), version_, false);
}

http_response flow_table::read(const http_fields& query) const
{
    const std::string table(find_field(query, "table"));
    const std::string part(find_field(query, "part"));
    const std::string to(find_field(query, "to"));
    const auto limit = std::min<std::size_t>(rows_most, read_number(query, "limit", rows_most));
    json found = json::array();
    std::size_t bytes = 0;
    bool more = false;
    for (auto at = rows_.lower_bound({table, part, std::string(find_field(query, "from"))}); at != rows_.end(); ++at) {
        const auto& [row_table, row_part, key] = at->first;
        if (row_table != table || row_part != part || (!to.empty() && key >= to)) {
            break;
        }
        if (at->second.removed) {
            continue;
        }
        if (found.size() >= limit || bytes > page_bytes_most) {
            more = true;
            break;
        }
        json entry = describe_key(at->first);
        entry["value"] = at->second.value;
        entry["schema-version"] = at->second.version;
        bytes += at->second.value.size();
        found.push_back(std::move(entry));
    }
    return make_page(found, version_, more);
}

http_response flow_table::list_parts(const http_fields& query) const
{
    const std::string table(find_field(query, "table"));
    const std::string after(find_field(query, "after"));
    std::set<std::string> parts;
    for (auto at = rows_.lower_bound({table, after, ""}); at != rows_.end() && std::get<0>(at->first) == table; ++at) {
        if (!at->second.removed && std::get<1>(at->first) > after && parts.size() < parts_most) {
            parts.insert(std::get<1>(at->first));
        }
    }
    return {200, {}, json{{"parts", parts}, {"schema-version", version_}}.dump()};
}

std::optional<http_response> flow_table::changes(const http_fields& query) const
{
    const std::string table(find_field(query, "table"));
    const std::int64_t after = read_number(query, "after", 0);
    if (after < history_from_) {
        return refuse(410, "history is gone");
    }
    json found = json::array();
    std::int64_t last = version_;
    bool more = false;
    for (auto at = by_version_.lower_bound({after + 1, {}}); at != by_version_.end(); ++at) {
        if (std::get<0>(at->second) != table) {
            continue;
        }
        // Rows of one transaction share a version, after which the reader goes on: they aren't parted.
        if (found.size() >= rows_most && at->first != last) {
            more = true;
            break;
        }
        const row& changed = rows_.at(at->second);
        json entry = describe_key(at->second);
        entry["schema-version"] = changed.version;
        if (changed.removed) {
            entry["deleted"] = true;
        }
        else {
            entry["value"] = changed.value;
        }
        last = changed.version;
        found.push_back(std::move(entry));
    }
    if (found.empty()) {
        return std::nullopt;
    }
    return make_page(found, more ? last : version_, more);
}

http_response flow_table::no_changes() const
{
    return make_page(json::array(), version_, false);
}

} // namespace skylarkhub::standin
