#include "flow_settings_p.h"

#include <absl/strings/numbers.h>

#include <array>
#include <nlohmann/json.hpp>
#include <set>

namespace skylarkhub {

namespace {

using nlohmann::json;

struct address_field {
    const char* name;
    net_address flow_entry_settings::*field;
    bool required;
};

constexpr std::array<address_field, 7> address_fields{{
    {"callers_address", &flow_entry_settings::callers_address, true},
    {"readiness_address", &flow_entry_settings::readiness_address, true},
    {"peers_address", &flow_entry_settings::peers_address, true},
    {"metrics_address", &flow_entry_settings::metrics_address, true},
    {"table_address", &flow_entry_settings::table_address, true},
    {"advice_address", &flow_entry_settings::advice_address, false},
    {"instances_address", &flow_entry_settings::instances_address, false},
}};

struct amount_field {
    const char* name;
    double flow_entry_settings::*field;
};

constexpr std::array<amount_field, 2> amount_fields{{
    {"cores", &flow_entry_settings::cores},
    {"cpu_share", &flow_entry_settings::cpu_share},
}};

// Limits that an installation may not tell. They stand in quotes in the template, so that the settings can be read all
// the same.
constexpr std::array<amount_field, 3> limit_fields{{
    {"memory_mib", &flow_entry_settings::memory_mib},
    {"descriptors", &flow_entry_settings::descriptors},
    {"row_bytes", &flow_entry_settings::row_bytes},
}};

std::string read_text(const json& j, const char* name, bool required, std::vector<settings_problem>& problems)
{
    const auto at = j.find(name);
    if (at == j.end() || at->is_null()) {
        if (required) {
            problems.push_back({name, "is missing"});
        }
        return "";
    }
    if (!at->is_string() || (required && at->get_ref<const std::string&>().empty())) {
        problems.push_back({name, "must be a text that is not empty"});
        return "";
    }
    return at->get<std::string>();
}

// Leaves `amount` unchanged if the field is absent.
void read_amount(const json& j, const char* name, double& amount, std::vector<settings_problem>& problems)
{
    const auto at = j.find(name);
    if (at == j.end() || at->is_null()) {
        return;
    }
    if (!at->is_number() || !(at->get<double>() > 0)) {
        problems.push_back({name, "must be a number above 0"});
        return;
    }
    amount = at->get<double>();
}

bool is_filled_in(const std::string& text)
{
    return !text.empty() && text.find("{{") == std::string::npos;
}

// As read_amount, for an amount that may be a text, or a placeholder that nobody has filled in.
void read_limit(const json& j, const char* name, double& amount, std::vector<settings_problem>& problems)
{
    const auto at = j.find(name);
    if (at == j.end() || !at->is_string()) {
        read_amount(j, name, amount, problems);
        return;
    }
    const auto& text = at->get_ref<const std::string&>();
    double read = 0;
    if (is_filled_in(text) && (!absl::SimpleAtod(text, &read) || !(read > 0))) {
        problems.push_back({name, "must be a number above 0"});
        return;
    }
    amount = read;
}

} // namespace

std::optional<flow_entry_settings> parse_flow_settings(std::string_view text, std::vector<settings_problem>& problems)
{
    const std::size_t before = problems.size();
    const json j = json::parse(text, nullptr, false);
    if (!j.is_object()) {
        problems.push_back({"", "is not a JSON object"});
        return std::nullopt;
    }
    flow_entry_settings settings;
    settings.entry = entry_id(read_text(j, "entry", true, problems));
    settings.data_centre = data_centre_id(read_text(j, "data_centre", true, problems));
    std::set<std::string> known{"entry", "data_centre"};
    for (const address_field& field : address_fields) {
        known.insert(field.name);
        const std::string address = read_text(j, field.name, field.required, problems);
        if (!address.empty() && !is_reachable_address(address)) {
            problems.push_back({field.name, "must be IP:port, is " + address});
        }
        settings.*field.field = net_address(address);
    }
    for (const amount_field& field : amount_fields) {
        known.insert(field.name);
        read_amount(j, field.name, settings.*field.field, problems);
    }
    for (const amount_field& field : limit_fields) {
        known.insert(field.name);
        read_limit(j, field.name, settings.*field.field, problems);
    }
    for (const auto& [name, value] : j.items()) {
        if (known.count(name) == 0) {
            problems.push_back({name, "is not a setting"});
        }
    }
    if (problems.size() != before) {
        return std::nullopt;
    }
    return settings;
}

} // namespace skylarkhub
