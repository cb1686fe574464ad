#include "platform_wire_p.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_replace.h>
#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace skylarkhub {

namespace {

using json = nlohmann::json;

constexpr char operation_end = ':';
constexpr char replaced_begin = '@';
constexpr char bar_begin = '!';
constexpr std::array<std::pair<instance_role, const char*>, 3> role_names{
    {{instance_role::worker, "worker"}, {instance_role::entry, "entry"}, {instance_role::target, "target"}}};

// Operation ids may come from callers; what has a meaning in front of a stored value is escaped.
std::string escape_operation(const operation_id& operation)
{
    return absl::StrReplaceAll(operation.str(), {{"%", "%25"}, {":", "%3A"}, {"@", "%40"}, {"!", "%21"}});
}

operation_id unescape_operation(const std::string& text)
{
    return operation_id(absl::StrReplaceAll(text, {{"%25", "%"}, {"%3A", ":"}, {"%40", "@"}, {"%21", "!"}}));
}

std::string dump(const json& j)
{
    return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

json parse(const std::string& text)
{
    return json::parse(text, nullptr, false);
}

// The value under `name`, null when `j` is no object or has none.
const json& find(const json& j, const char* name)
{
    static const json none;
    if (!j.is_object()) {
        return none;
    }
    const auto found = j.find(name);
    return found == j.end() ? none : *found;
}

std::string string_of(const json& j, const char* name)
{
    const json& value = find(j, name);
    return value.is_string() ? value.get<std::string>() : std::string();
}

std::int64_t number_of(const json& j, const char* name)
{
    const json& value = find(j, name);
    return value.is_number_integer() ? value.get<std::int64_t>() : 0;
}

json value_json(const std::optional<std::string>& value)
{
    return value ? json(*value) : json(nullptr);
}

bool fail(std::string* last_reason, const char* reason)
{
    if (last_reason != nullptr) {
        *last_reason = reason;
    }
    return false;
}

json row_json(const table_row& row)
{
    return {{"key", row.key}, {"value", value_json(row.value)}, {"version", row.version.value()}};
}

bool take_row(const json& j, table_row& row, std::string* last_reason)
{
    const json& value = find(j, "value");
    if (!find(j, "key").is_string() || !find(j, "version").is_number_integer()) {
        return fail(last_reason, "a row needs a key and a version");
    }
    if (!value.is_string() && !value.is_null()) {
        return fail(last_reason, "a row's value is a string or null");
    }
    row.key = string_of(j, "key");
    row.version = row_version(number_of(j, "version"));
    if (value.is_string()) {
        row.value = value.get<std::string>();
    }
    return true;
}

bool take_rows(const json& list, std::vector<table_row>& rows, std::string* last_reason)
{
    if (!list.is_array()) {
        return fail(last_reason, "a list of rows is missing");
    }
    for (const json& j : list) {
        if (!take_row(j, rows.emplace_back(), last_reason)) {
            return false;
        }
    }
    return true;
}

bool take_checks(const json& list, table_transaction& transaction, std::string* last_reason)
{
    if (!list.is_array()) {
        return fail(last_reason, "checks are missing");
    }
    for (const json& j : list) {
        if (!find(j, "key").is_string() || !find(j, "version").is_number_integer()) {
            return fail(last_reason, "a check needs a key and a version");
        }
        transaction.checks.push_back({string_of(j, "key"), row_version(number_of(j, "version"))});
    }
    return true;
}

bool take_writes(const json& list, table_transaction& transaction, std::string* last_reason)
{
    if (!list.is_array()) {
        return fail(last_reason, "writes are missing");
    }
    for (const json& j : list) {
        const json& value = find(j, "value");
        if (!find(j, "key").is_string() || (!value.is_string() && !value.is_null())) {
            return fail(last_reason, "a write needs a key and a value or null");
        }
        table_write& write = transaction.writes.emplace_back();
        write.key = string_of(j, "key");
        if (value.is_string()) {
            write.value = value.get<std::string>();
        }
    }
    return true;
}

json instance_json(const listed_instance& i)
{
    json j = {{"id", i.id},
              {"data_centre", i.data_centre.str()},
              {"rack", i.rack.str()},
              {"address", i.address.str()},
              {"peer_address", i.peer_address.str()},
              {"state", i.leaving ? "leaving" : "live"},
              {"service", i.service.str()},
              {"slots", i.slots},
              {"connections", i.connections},
              {"capacity",
               {{"cpu_millis", i.capacity.cpu_millis},
                {"memory_mib", i.capacity.memory_mib},
                {"accelerators", i.capacity.accelerators}}}};
    for (const auto& [role, name] : role_names) {
        if (role == i.role) {
            j["role"] = name;
        }
    }
    return j;
}

bool take_role(const json& j, instance_role& role, std::string* last_reason)
{
    for (const auto& [known, name] : role_names) {
        if (string_of(j, "role") == name) {
            role = known;
            return true;
        }
    }
    return fail(last_reason, "an instance's role is worker, entry or target");
}

bool take_instance(const json& j, listed_instance& i, std::string* last_reason)
{
    if (!take_role(j, i.role, last_reason)) {
        return false;
    }
    i.id = string_of(j, "id");
    if (i.id.empty()) {
        return fail(last_reason, "an instance needs an id");
    }
    i.data_centre = data_centre_id(string_of(j, "data_centre"));
    i.rack = rack_id(string_of(j, "rack"));
    i.address = net_address(string_of(j, "address"));
    i.peer_address = net_address(string_of(j, "peer_address"));
    i.leaving = string_of(j, "state") == "leaving";
    i.service = service_id(string_of(j, "service"));
    i.slots = static_cast<std::int32_t>(number_of(j, "slots"));
    i.connections = static_cast<std::int32_t>(number_of(j, "connections"));
    const json& capacity = find(j, "capacity");
    i.capacity.cpu_millis = number_of(capacity, "cpu_millis");
    i.capacity.memory_mib = number_of(capacity, "memory_mib");
    i.capacity.accelerators = static_cast<std::int32_t>(number_of(capacity, "accelerators"));
    return true;
}

} // namespace

std::string stored_value(const operation_id& operation, std::optional<row_version> replaced, const std::string& value)
{
    std::string front = escape_operation(operation);
    if (replaced) {
        front += replaced_begin + std::to_string(replaced->value());
    }
    return front + operation_end + value;
}

std::string stored_bar(const operation_id& operation)
{
    return bar_begin + escape_operation(operation);
}

stored_parts split_stored(const std::optional<std::string>& stored)
{
    if (!stored || (!stored->empty() && stored->front() == bar_begin)) {
        return {};
    }
    const auto end = stored->find(operation_end);
    if (end == std::string::npos) {
        return {.value = stored};
    }
    const std::string front = stored->substr(0, end);
    const auto replaced = front.find(replaced_begin);
    stored_parts parts{unescape_operation(front.substr(0, replaced)), std::nullopt, stored->substr(end + 1)};
    std::int64_t version = 0;
    if (replaced != std::string::npos && absl::SimpleAtoi(front.substr(replaced + 1), &version)) {
        parts.replaced = row_version(version);
    }
    return parts;
}

table_row unwrap_row(table_row stored)
{
    stored_parts parts = split_stored(stored.value);
    stored.operation = std::move(parts.operation);
    stored.value = std::move(parts.value);
    return stored;
}

std::vector<table_row> unwrap_rows(std::vector<table_row> stored)
{
    for (table_row& row : stored) {
        row = unwrap_row(std::move(row));
    }
    return stored;
}

table_transaction wrap_transaction(const table_transaction& transaction)
{
    table_transaction stored = transaction;
    for (table_write& write : stored.writes) {
        std::optional<row_version> replaced;
        for (const table_check& check : stored.checks) {
            if (check.key == write.key) {
                replaced = check.version;
            }
        }
        if (write.value) {
            write.value = stored_value(stored.operation, replaced, *write.value);
        }
    }
    return stored;
}

std::string format_commit(const table_transaction& transaction)
{
    json checks = json::array();
    for (const table_check& check : transaction.checks) {
        checks.push_back({{"key", check.key}, {"version", check.version.value()}});
    }
    json writes = json::array();
    for (const table_write& write : transaction.writes) {
        writes.push_back({{"key", write.key}, {"value", value_json(write.value)}});
    }
    return dump({{"operation", transaction.operation.str()}, {"checks", checks}, {"writes", writes}});
}

std::optional<table_transaction> parse_commit(const std::string& text, std::string* last_reason)
{
    const json j = parse(text);
    table_transaction transaction;
    transaction.operation = operation_id(string_of(j, "operation"));
    if (!transaction.operation.valid()) {
        fail(last_reason, "operation is missing");
        return std::nullopt;
    }
    if (!take_checks(find(j, "checks"), transaction, last_reason) ||
        !take_writes(find(j, "writes"), transaction, last_reason)) {
        return std::nullopt;
    }
    return transaction;
}

std::string format_applied(const std::vector<table_row>& written)
{
    json versions = json::object();
    for (const table_row& row : written) {
        versions[row.key] = row.version.value();
    }
    return dump({{"applied", true}, {"versions", versions}});
}

std::optional<std::vector<table_row>> parse_applied(const std::string& text, std::string* last_reason)
{
    const json j = parse(text);
    const json& applied = find(j, "applied");
    const json& versions = find(j, "versions");
    if (!applied.is_boolean() || !applied.get<bool>() || !versions.is_object()) {
        fail(last_reason, "not the answer of an applied transaction");
        return std::nullopt;
    }
    std::vector<table_row> rows;
    for (const auto& [key, version] : versions.items()) {
        if (!version.is_number_integer()) {
            fail(last_reason, "a version is not a number");
            return std::nullopt;
        }
        rows.push_back({.key = key, .version = row_version(version.get<std::int64_t>())});
    }
    return rows;
}

std::string format_conflict(const std::vector<table_row>& current)
{
    json rows = json::array();
    for (const table_row& row : current) {
        rows.push_back(row_json(row));
    }
    return dump({{"applied", false}, {"current", rows}});
}

std::optional<std::vector<table_row>> parse_conflict(const std::string& text, std::string* last_reason)
{
    std::vector<table_row> rows;
    const json j = parse(text);
    if (!take_rows(find(j, "current"), rows, last_reason)) {
        return std::nullopt;
    }
    return rows;
}

std::string format_row(const table_row& row)
{
    return dump(row_json(row));
}

std::optional<table_row> parse_row(const std::string& text, std::string* last_reason)
{
    table_row row;
    if (!take_row(parse(text), row, last_reason)) {
        return std::nullopt;
    }
    return row;
}

std::string format_page(const table_page& page)
{
    json rows = json::array();
    for (const table_row& row : page.rows) {
        rows.push_back(row_json(row));
    }
    return dump({{"rows", rows}, {"more", page.more}});
}

std::optional<table_page> parse_page(const std::string& text, std::string* last_reason)
{
    const json j = parse(text);
    table_page page;
    const json& more = find(j, "more");
    if (!more.is_boolean()) {
        fail(last_reason, "not a page of rows");
        return std::nullopt;
    }
    page.more = more.get<bool>();
    if (!take_rows(find(j, "rows"), page.rows, last_reason)) {
        return std::nullopt;
    }
    return page;
}

std::string format_instance(const listed_instance& instance)
{
    return dump(instance_json(instance));
}

std::optional<listed_instance> parse_instance(const std::string& text, std::string* last_reason)
{
    listed_instance instance;
    if (!take_instance(parse(text), instance, last_reason)) {
        return std::nullopt;
    }
    return instance;
}

std::string format_instances(const std::vector<listed_instance>& instances)
{
    json list = json::array();
    for (const listed_instance& instance : instances) {
        list.push_back(instance_json(instance));
    }
    return dump({{"instances", list}});
}

std::optional<std::vector<listed_instance>> parse_instances(const std::string& text, std::string* last_reason)
{
    const json j = parse(text);
    const json& list = find(j, "instances");
    if (!list.is_array()) {
        fail(last_reason, "not a list of instances");
        return std::nullopt;
    }
    std::vector<listed_instance> instances;
    for (const json& one : list) {
        if (!take_instance(one, instances.emplace_back(), last_reason)) {
            return std::nullopt;
        }
    }
    return instances;
}

} // namespace skylarkhub
