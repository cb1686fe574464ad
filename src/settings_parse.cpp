#include "settings_parse_p.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <google/protobuf/descriptor.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <set>

namespace skylarkhub {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using nlohmann::json;

constexpr std::size_t name_length_most = 64;
constexpr std::size_t digest_length = 64;

std::string join_path(const std::string& path, std::string_view name)
{
    return path.empty() ? std::string(name) : path + "." + std::string(name);
}

bool is_digest(std::string_view text)
{
    return text.size() == digest_length &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isxdigit(c) != 0; });
}

bool is_log_level(std::string_view text)
{
    constexpr std::array<std::string_view, 4> levels{"debug", "info", "warning", "error"};
    return std::find(levels.begin(), levels.end(), text) != levels.end();
}

struct form_check {
    settings::text_form form;
    bool (*accepts)(std::string_view);
    std::string_view expected;
};
constexpr std::array<form_check, 4> form_checks{{
    {settings::name_text, &is_settings_name, "must be a name: at most 64 letters, digits, '-', '_' and '.'"},
    {settings::address_text, &is_net_address, "must be an address IP:port"},
    {settings::digest_text, &is_digest, "must be 64 hexadecimal digits"},
    {settings::level_text, &is_log_level, "must be debug, info, warning or error"},
}};

// Walks one JSON value along the descriptor of a message; each level of the walk is a level of the schema, so the depth
// of the text does not matter.
class reader {
public:
    reader(std::optional<settings::tree_level> level, std::vector<settings_problem>& problems)
        : level_(level), problems_(problems)
    {}

    void read_message(const json& value, const std::string& path, Message& message)
    {
        if (!value.is_object()) {
            complain(path, "must be an object");
            return;
        }
        const google::protobuf::Descriptor* const type = message.GetDescriptor();
        for (const auto& [name, member] : value.items()) {
            const FieldDescriptor* const field = type->FindFieldByName(name);
            if (field == nullptr) {
                complain(join_path(path, name), "unknown name");
                continue;
            }
            read_field(member, join_path(path, name), message, *field);
        }
        for (int i = 0; i < type->field_count(); ++i) {
            const FieldDescriptor& field = *type->field(i);
            if (rule_of(field).required() && !value.contains(field.name())) {
                complain(join_path(path, field.name()), "is required");
            }
        }
    }

private:
    static const settings::field_rule& rule_of(const FieldDescriptor& field)
    {
        return field.options().GetExtension(settings::rule);
    }

    void complain(const std::string& path, std::string reason) { problems_.push_back({"", path, std::move(reason)}); }

    bool allowed_here(const FieldDescriptor& field) const
    {
        const auto& levels = rule_of(field).levels();
        return !level_ || levels.empty() || std::find(levels.begin(), levels.end(), *level_) != levels.end();
    }

    void read_field(const json& value, const std::string& path, Message& message, const FieldDescriptor& field)
    {
        if (!allowed_here(field)) {
            complain(path, fmt::format("may not stand in {}", settings::tree_level_Name(*level_)));
        }
        else if (value.is_null()) {
            complain(path, "null is no value; leave the name out to inherit");
        }
        else if (field.is_map()) {
            read_map(value, path, message, field);
        }
        else if (field.is_repeated()) {
            read_list(value, path, message, field);
        }
        else if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
            read_message(value, path, *message.GetReflection()->MutableMessage(&message, &field));
        }
        else {
            read_scalar(value, path, message, field);
        }
    }

    void read_map(const json& value, const std::string& path, Message& message, const FieldDescriptor& field)
    {
        if (!value.is_object()) {
            complain(path, "must be an object of names");
            return;
        }
        const FieldDescriptor& key = *field.message_type()->map_key();
        const FieldDescriptor& mapped = *field.message_type()->map_value();
        for (const auto& [name, member] : value.items()) {
            const std::string inner = join_path(path, name);
            if (!is_settings_name(name)) {
                complain(inner, std::string(form_checks[0].expected));
                continue;
            }
            Message& pair = *message.GetReflection()->AddMessage(&message, &field);
            pair.GetReflection()->SetString(&pair, &key, name);
            read_message(member, inner, *pair.GetReflection()->MutableMessage(&pair, &mapped));
        }
    }

    void read_list(const json& value, const std::string& path, Message& message, const FieldDescriptor& field)
    {
        if (!value.is_array()) {
            complain(path, "must be a list");
            return;
        }
        for (std::size_t i = 0; i < value.size(); ++i) {
            const std::string inner = fmt::format("{}[{}]", path, i);
            if (check_text(value[i], inner, field)) {
                message.GetReflection()->AddString(&message, &field, value[i].get<std::string>());
            }
        }
    }

    void read_scalar(const json& value, const std::string& path, Message& message, const FieldDescriptor& field)
    {
        const google::protobuf::Reflection& reflection = *message.GetReflection();
        switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_BOOL:
            if (!value.is_boolean()) {
                complain(path, "must be true or false");
                return;
            }
            reflection.SetBool(&message, &field, value.get<bool>());
            return;
        case FieldDescriptor::CPPTYPE_STRING:
            if (check_text(value, path, field)) {
                reflection.SetString(&message, &field, value.get<std::string>());
            }
            return;
        case FieldDescriptor::CPPTYPE_DOUBLE:
            if (check_number(value, path, field)) {
                reflection.SetDouble(&message, &field, value.get<double>());
            }
            return;
        case FieldDescriptor::CPPTYPE_INT32:
            if (check_whole_number(value, path, field)) {
                reflection.SetInt32(&message, &field, value.get<std::int32_t>());
            }
            return;
        case FieldDescriptor::CPPTYPE_INT64:
            if (check_whole_number(value, path, field)) {
                reflection.SetInt64(&message, &field, value.get<std::int64_t>());
            }
            return;
        default:
            complain(path, "has a type that settings do not use");
        }
    }

    bool check_text(const json& value, const std::string& path, const FieldDescriptor& field)
    {
        if (!value.is_string()) {
            complain(path, "must be a text");
            return false;
        }
        const auto& text = value.get_ref<const std::string&>();
        for (const form_check& check : form_checks) {
            if (rule_of(field).form() == check.form && !check.accepts(text)) {
                complain(path, std::string(check.expected));
                return false;
            }
        }
        return true;
    }

    bool check_whole_number(const json& value, const std::string& path, const FieldDescriptor& field)
    {
        if (!value.is_number_integer()) {
            complain(path, "must be a whole number");
            return false;
        }
        return check_number(value, path, field);
    }

    // The limits of the schema lie well inside the range of each type, so a value within them can be narrowed.
    bool check_number(const json& value, const std::string& path, const FieldDescriptor& field)
    {
        if (!value.is_number()) {
            complain(path, "must be a number");
            return false;
        }
        const settings::field_rule& rule = rule_of(field);
        const auto number = value.get<double>();
        if (number >= rule.least() && number <= rule.most()) {
            return true;
        }
        complain(path, fmt::format("must be from {} to {}", rule.least(), rule.most()));
        return false;
    }

    std::optional<settings::tree_level> level_;
    std::vector<settings_problem>& problems_;
};

// Reads the text and complains of names that stand twice in one object: a parser would silently keep the last, which
// hides a bad merge of two operators' files.
std::optional<json> read_json(std::string_view text, std::vector<settings_problem>& problems)
{
    std::vector<std::set<std::string>> names;
    std::vector<std::string> path;
    const auto watch = [&](int, json::parse_event_t event, json& parsed) {
        if (event == json::parse_event_t::object_start) {
            names.emplace_back();
            path.emplace_back();
        }
        else if (event == json::parse_event_t::object_end) {
            names.pop_back();
            path.pop_back();
        }
        else if (event == json::parse_event_t::key) {
            path.back() = parsed.get<std::string>();
            if (!names.back().insert(path.back()).second) {
                problems.push_back({"", fmt::format("{}", fmt::join(path, ".")), "stands twice"});
            }
        }
        return true;
    };
    try {
        return json::parse(text, watch);
    }
    catch (const json::exception& error) {
        problems.push_back({"", "", fmt::format("is not JSON: {}", error.what())});
        return std::nullopt;
    }
}

void list_field(const Message& message, const FieldDescriptor& field, const std::string& path,
                std::vector<std::pair<std::string, json>>& values)
{
    const google::protobuf::Reflection& reflection = *message.GetReflection();
    if (field.is_map()) {
        const FieldDescriptor& key = *field.message_type()->map_key();
        const FieldDescriptor& mapped = *field.message_type()->map_value();
        for (int i = 0; i < reflection.FieldSize(message, &field); ++i) {
            const Message& pair = reflection.GetRepeatedMessage(message, &field, i);
            const std::string name = pair.GetReflection()->GetString(pair, &key);
            list_settings(pair.GetReflection()->GetMessage(pair, &mapped), join_path(path, name), values);
        }
        return;
    }
    if (field.is_repeated()) {
        json list = json::array();
        for (int i = 0; i < reflection.FieldSize(message, &field); ++i) {
            list.push_back(reflection.GetRepeatedString(message, &field, i));
        }
        values.emplace_back(path, std::move(list));
        return;
    }
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_MESSAGE:
        list_settings(reflection.GetMessage(message, &field), path, values);
        return;
    case FieldDescriptor::CPPTYPE_BOOL:
        values.emplace_back(path, reflection.GetBool(message, &field));
        return;
    case FieldDescriptor::CPPTYPE_STRING:
        values.emplace_back(path, reflection.GetString(message, &field));
        return;
    case FieldDescriptor::CPPTYPE_DOUBLE:
        values.emplace_back(path, reflection.GetDouble(message, &field));
        return;
    case FieldDescriptor::CPPTYPE_INT32:
        values.emplace_back(path, reflection.GetInt32(message, &field));
        return;
    case FieldDescriptor::CPPTYPE_INT64:
        values.emplace_back(path, reflection.GetInt64(message, &field));
        return;
    default:
        return;
    }
}

} // namespace

void parse_settings(std::string_view text, std::optional<settings::tree_level> level, Message& message,
                    std::vector<settings_problem>& problems)
{
    if (text.size() > settings_bytes_most) {
        problems.push_back({"", "", fmt::format("is longer than {} bytes", settings_bytes_most)});
        return;
    }
    const std::optional<json> parsed = read_json(text, problems);
    if (parsed) {
        reader(level, problems).read_message(*parsed, "", message);
    }
}

bool is_settings_name(std::string_view text)
{
    if (text.empty() || text.size() > name_length_most || std::isalnum(static_cast<unsigned char>(text[0])) == 0) {
        return false;
    }
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; });
}

bool is_net_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    in_addr ip{};
    if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &ip) != 1) {
        return false;
    }
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
    return error == std::errc() && stop == end;
}

bool is_reachable_address(std::string_view text)
{
    return is_net_address(text) && text.find_first_not_of('0', text.rfind(':') + 1) != std::string_view::npos;
}

void list_settings(const Message& message, const std::string& path, std::vector<std::pair<std::string, json>>& values)
{
    std::vector<const FieldDescriptor*> fields;
    message.GetReflection()->ListFields(message, &fields);
    for (const FieldDescriptor* field : fields) {
        list_field(message, *field, join_path(path, field->name()), values);
    }
}

} // namespace skylarkhub
