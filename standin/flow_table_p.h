// Stand-in for the table of the users' platform: rows in tables and parts, checked transactions, a feed of changes.
// Pure: it answers decoded requests and knows no time; flow_table_service puts it on sockets.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "http_message_p.h"

#include <nlohmann/json_fwd.hpp>

namespace skylarkhub::standin {

class flow_table {
public:
    // What the platform itself writes: the operator's configuration, the list of workers.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);

    http_response commit(const std::string& body);
    http_response read(const http_fields& query) const;
    http_response list_parts(const http_fields& query) const;
    // Empty while nothing has changed since the version that the reader has.
    std::optional<http_response> changes(const http_fields& query) const;
    // The answer of a feed that has waited in vain.
    http_response no_changes() const;
    // Readers of changes that stand at an earlier version than the newest are told to start anew.
    void forget_history() { history_from_ = version_; }

private:
    using row_key = std::tuple<std::string, std::string, std::string>; // table, part, key
    struct row {
        std::string value; // base64, as it came
        std::int64_t version = 0;
        bool removed = false;
    };
    using rows = std::map<row_key, row>;

    const row* find(const row_key& key) const;
    http_response make_page(const nlohmann::json& found, std::int64_t version, bool more) const;

    rows rows_;
    std::set<std::pair<std::int64_t, row_key>> by_version_;
    std::int64_t version_ = 0;
    std::int64_t history_from_ = 0;

    void write(const row_key& key, row written);
};

} // namespace skylarkhub::standin
