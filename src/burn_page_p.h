// The burn report as one HTML page that needs nothing else: no script, no font, no other file.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace skylarkhub {

// `report` is the JSON of docs/PROTOCOLS.md. Empty when it is not of that form, with the reason in `last_reason`.
std::optional<std::string> format_burn_page(const nlohmann::json& report, std::string* last_reason);

} // namespace skylarkhub
