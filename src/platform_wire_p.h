// The JSON of the platform's calls (docs/PROTOCOLS.md), both ways: the client uses one half, the stand-in the other.
// Parsers return empty when the text is malformed, with the reason in `last_reason`.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "platform_client_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// A row as the table keeps it is a table_row with the whole stored value and no operation. In front of what was written
// stands who wrote it and, when the write was checked, which version it replaced: `OPERATION@REPLACED:` or
// `OPERATION:`.
// `!OPERATION` alone holds the place of an absent row against a delayed write of that operation (see platform_settle).
std::string stored_value(const operation_id& operation, std::optional<row_version> replaced, const std::string& value);
std::string stored_bar(const operation_id& operation);

struct stored_parts {
    operation_id operation;
    std::optional<row_version> replaced;
    std::optional<std::string> value; // empty: absent, or a place held
};
stored_parts split_stored(const std::optional<std::string>& stored);

// Fills `operation` and leaves the written value. A place held reads as absent, at a version other than 0.
table_row unwrap_row(table_row stored);
std::vector<table_row> unwrap_rows(std::vector<table_row> stored);

// The transaction as it is to be stored.
table_transaction wrap_transaction(const table_transaction& transaction);

std::string format_commit(const table_transaction& transaction); // values as stored
std::optional<table_transaction> parse_commit(const std::string& json, std::string* last_reason);

std::string format_applied(const std::vector<table_row>& written);
std::optional<std::vector<table_row>> parse_applied(const std::string& json, std::string* last_reason);
std::string format_conflict(const std::vector<table_row>& current);
std::optional<std::vector<table_row>> parse_conflict(const std::string& json, std::string* last_reason);

std::string format_row(const table_row& row);
std::optional<table_row> parse_row(const std::string& json, std::string* last_reason);

struct table_page {
    std::vector<table_row> rows;
    bool more = false;
};
std::string format_page(const table_page& page);
std::optional<table_page> parse_page(const std::string& json, std::string* last_reason);

std::string format_instance(const listed_instance& instance);
std::optional<listed_instance> parse_instance(const std::string& json, std::string* last_reason);
std::string format_instances(const std::vector<listed_instance>& instances);
std::optional<std::vector<listed_instance>> parse_instances(const std::string& json, std::string* last_reason);

} // namespace skylarkhub
