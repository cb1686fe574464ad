#include "job_json_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>

namespace skylarkhub {

namespace {

using json = nlohmann::json;

constexpr std::array<std::string_view, 3> urgency_names{"patient", "normal", "urgent"};

// One field of an object: its name and what takes its value; false when the value has the wrong type.
template <class Target> struct json_field {
    std::string_view name;
    const char* wanted;
    bool (*take)(const json&, Target&);
};

template <class Number> bool take_number(const json& value, Number& into)
{
    if (!value.is_number_integer() || (value.is_number_unsigned() && value.get<std::uint64_t>() > INT64_MAX)) {
        return false;
    }
    const auto number = value.get<std::int64_t>();
    if (number < std::numeric_limits<Number>::min() || number > std::numeric_limits<Number>::max()) {
        return false;
    }
    into = static_cast<Number>(number);
    return true;
}

bool take_text(const json& value, std::string& into)
{
    if (!value.is_string()) {
        return false;
    }
    into = value.get<std::string>();
    return true;
}

bool take_urgency(const json& value, job_spec& spec)
{
    for (std::size_t i = 0; i < urgency_names.size(); ++i) {
        if (value.is_string() && value.get<std::string>() == urgency_names.at(i)) {
            spec.urgency = static_cast<urgency>(i);
            return true;
        }
    }
    return false;
}

bool take_bool(const json& value, bool& into)
{
    if (!value.is_boolean()) {
        return false;
    }
    into = value.get<bool>();
    return true;
}

bool take_ms(const json& value, duration& into)
{
    std::int64_t ms = 0;
    constexpr std::int64_t ms_most = std::numeric_limits<std::int64_t>::max() / 1000;
    if (!take_number(value, ms) || ms > ms_most || ms < 0) {
        return false;
    }
    into = std::chrono::milliseconds(ms);
    return true;
}

template <class Id> bool take_id(const json& value, Id& into)
{
    std::string text;
    if (!take_text(value, text)) {
        return false;
    }
    into = Id(text);
    return true;
}

template <class Target, std::size_t Count>
void take_object(const json& object, const std::string& path, const std::array<json_field<Target>, Count>& fields,
                 Target& into, std::vector<field_error>& errors)
{
    if (!object.is_object()) {
        errors.push_back({path.empty() ? "body" : path, "must be an object"});
        return;
    }
    for (const auto& item : object.items()) {
        const std::string& name = item.key();
        const std::string at = path.empty() ? name : path + "." + name;
        const auto* const found =
            std::find_if(fields.begin(), fields.end(), [&](const auto& f) { return f.name == name; });
        if (found == fields.end()) {
            errors.push_back({at, "is not a known field"});
        }
        else if (!found->take(item.value(), into)) {
            errors.push_back({at, std::string("must be ") + found->wanted});
        }
    }
}

constexpr std::array<json_field<resources>, 3> resource_fields{{
    {"cpu_millis", "a whole number", [](const json& v, resources& r) { return take_number(v, r.cpu_millis); }},
    {"memory_mib", "a whole number", [](const json& v, resources& r) { return take_number(v, r.memory_mib); }},
    {"accelerators", "a whole number", [](const json& v, resources& r) { return take_number(v, r.accelerators); }},
}};

constexpr std::array<json_field<job_spec>, 12> spec_fields{{
    {"team", "a text", [](const json& v, job_spec& s) { return take_id(v, s.team); }},
    {"name", "a text", [](const json& v, job_spec& s) { return take_text(v, s.name); }},
    {"kind", "a text", [](const json& v, job_spec& s) { return take_id(v, s.kind); }},
    {"declared", "an object", [](const json& v, job_spec&) { return v.is_object(); }},
    {"task_count", "a whole number", [](const json& v, job_spec& s) { return take_number(v, s.task_count); }},
    {"urgency", "patient, normal or urgent", [](const json& v, job_spec& s) { return take_urgency(v, s); }},
    {"run_time_ms", "a whole number from 0", [](const json& v, job_spec& s) { return take_ms(v, s.run_time); }},
    {"attempt_limit", "a whole number", [](const json& v, job_spec& s) { return take_number(v, s.attempt_limit); }},
    {"service", "true or false", [](const json& v, job_spec& s) { return take_bool(v, s.is_service); }},
    {"slots", "a whole number", [](const json& v, job_spec& s) { return take_number(v, s.slots); }},
    {"connections", "a whole number", [](const json& v, job_spec& s) { return take_number(v, s.connections); }},
    {"payload", "a text", [](const json& v, job_spec& s) { return take_text(v, s.payload); }},
}};

} // namespace

std::optional<job_spec> parse_job(const json& object, const std::string& path, std::vector<field_error>* errors)
{
    const std::size_t before = errors->size();
    job_spec spec;
    spec.declared = {1000, 1024, 0};
    take_object(object, path, spec_fields, spec, *errors);
    if (object.is_object() && object.contains("declared")) {
        take_object(object["declared"], path.empty() ? "declared" : path + ".declared", resource_fields, spec.declared,
                    *errors);
    }
    if (errors->size() == before) {
        const std::vector<field_error> found = check_job_spec(spec);
        errors->insert(errors->end(), found.begin(), found.end());
    }
    if (errors->size() > before) {
        return std::nullopt;
    }
    return spec;
}

std::optional<job_spec> parse_job(const std::string& text, std::vector<field_error>* errors)
{
    const json object = json::parse(text, nullptr, false);
    if (object.is_discarded()) {
        errors->push_back({"body", "is not JSON"});
        return std::nullopt;
    }
    return parse_job(object, "", errors);
}

json format_job_spec(const job_spec& spec)
{
    return {{"team", spec.team.str()},
            {"name", spec.name},
            {"kind", spec.kind.str()},
            {"declared",
             {{"cpu_millis", spec.declared.cpu_millis},
              {"memory_mib", spec.declared.memory_mib},
              {"accelerators", spec.declared.accelerators}}},
            {"task_count", spec.task_count},
            {"urgency", urgency_names.at(static_cast<std::size_t>(spec.urgency))},
            {"run_time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(spec.run_time).count()},
            {"attempt_limit", spec.attempt_limit},
            {"service", spec.is_service},
            {"slots", spec.slots},
            {"connections", spec.connections},
            {"payload", spec.payload}};
}

} // namespace skylarkhub
