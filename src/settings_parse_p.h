// JSON into the messages of schema/settings.proto, checked against the rules that stand beside each field. Every
// mistake of a text is found at once, so that an operator mends a file in one go.
#pragma once

#include <google/protobuf/message.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "settings.pb.h"

namespace skylarkhub {

// One mistake: which document of the tree (empty for a single file), the dotted path within it, and why.
struct settings_problem {
    std::string document;
    std::string path;
    std::string reason;

    friend bool operator==(const settings_problem&, const settings_problem&) = default;
};

// Texts longer than this are refused unread.
inline constexpr std::size_t settings_bytes_most = 256 * 1024;

// Fills `message` from JSON text. `level` is where in the tree the text stands, empty for a daemon's own file. Appends
// to `problems`; the message is meaningless when any was added.
void parse_settings(std::string_view text, std::optional<settings::tree_level> level,
                    google::protobuf::Message& message, std::vector<settings_problem>& problems);

// True for names of teams, data centres, kinds and services: letters, digits, '-', '_' and '.', at most 64.
bool is_settings_name(std::string_view text);

// True for "IP:port" with an IPv4 address; port 0 is allowed.
bool is_net_address(std::string_view text);
// The same without port 0, which nobody can be reached at.
bool is_reachable_address(std::string_view text);

// The fields that are set, by dotted path, for operators.
void list_settings(const google::protobuf::Message& message, const std::string& path,
                   std::vector<std::pair<std::string, nlohmann::json>>& values);

} // namespace skylarkhub
