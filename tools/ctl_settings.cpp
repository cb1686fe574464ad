#include <fmt/format.h>

#include <algorithm>
#include <iostream>

#include "ctl_p.h"
#include "settings_plan_p.h"

namespace skylarkhub::ctl {

namespace {

using nlohmann::json;

// A path may go on into the subtree: "team/news/services/pages" is the part "services.pages" of "team/news".
std::string split_path(std::string& path)
{
    const std::size_t parts = path.starts_with("defaults") ? 1 : 2;
    std::size_t end = 0;
    for (std::size_t i = 0; i < parts && end != std::string::npos; ++i) {
        end = path.find('/', end == 0 ? 0 : end + 1);
    }
    if (end == std::string::npos) {
        return "";
    }
    std::string part = path.substr(end + 1);
    path.resize(end);
    std::replace(part.begin(), part.end(), '/', '.');
    return part;
}

void print_effective(const json& body, const std::string& part)
{
    text_table table({"SETTING", "VALUE", "ORIGIN", "VERSION"});
    for (const json& value : body.value("values", json::array())) {
        const std::string name = text_of(value, "path");
        if (part.empty() || name == part || name.starts_with(part + ".")) {
            table.add({name, text_of(value, "value"), text_of(value, "origin"), text_of(value, "version")});
        }
    }
    table.print();
}

} // namespace

std::string settings_target(const std::string& path)
{
    const auto parsed = parse_settings_path(path);
    if (!parsed) {
        throw usage_error{path + ": must be defaults, data_centre/NAME or team/NAME"};
    }
    return "/v1/settings/" + path;
}

std::string format_value(const std::optional<json>& value)
{
    return value ? value->dump() : "";
}

exit_code show_settings(context& c)
{
    std::string path = take_word(c, 0, "PATH");
    const bool effective = c.flags.count("effective") > 0;
    const std::string part = effective ? split_path(path) : "";
    std::string target = settings_target(path);
    if (effective) {
        target += "?effective=1";
        if (c.flags.count("data-centre") > 0) {
            target += "&data_centre=" + encode_url_part(c.flags["data-centre"].as<std::string>());
        }
    }
    const call_answer answer = c.entries().get(target);
    if (answer.outcome != call_outcome::ok) {
        return fail(c, answer);
    }
    if (c.json) {
        std::cout << answer.body.dump(2) << '\n';
        return exit_code::ok;
    }
    if (!effective) {
        std::cout << fmt::format("{} version {} by {} at {}{}\n", text_of(answer.body, "path"),
                                 text_of(answer.body, "version"), text_of(answer.body, "author"),
                                 format_time_ms(answer.body.value("changed_ms", 0LL)),
                                 answer.body.value("removed", false) ? ", removed" : "");
        std::cout << answer.body.value("document", json()).dump(2) << '\n';
        return exit_code::ok;
    }
    print_effective(answer.body, part);
    return exit_code::ok;
}

exit_code show_history(context& c)
{
    const call_answer answer = c.entries().get(settings_target(take_word(c, 0, "PATH")) + "?history=1");
    if (answer.outcome != call_outcome::ok) {
        return fail(c, answer);
    }
    if (c.json) {
        std::cout << answer.body.dump(2) << '\n';
        return exit_code::ok;
    }
    const json history = answer.body.value("history", json::array());
    for (std::size_t i = 0; i < history.size(); ++i) {
        const json& change = history[i];
        std::cout << fmt::format("version {} by {} at {}{}\n", text_of(change, "version"), text_of(change, "author"),
                                 format_time_ms(change.value("changed_ms", 0LL)),
                                 change.value("removed", false) ? ", removed" : "");
        if (i + 1 < history.size()) {
            for (const value_change& value : diff_documents(history[i + 1].value("document", json()).dump(),
                                                            change.value("document", json()).dump())) {
                std::cout << fmt::format("  {}: {} -> {}\n", value.path, format_value(value.before),
                                         format_value(value.after));
            }
        }
    }
    return exit_code::ok;
}

exit_code show_settings_status(context& c)
{
    const call_answer answer = c.entries().get("/v1/settings-status");
    if (answer.outcome != call_outcome::ok) {
        return fail(c, answer);
    }
    if (c.json) {
        std::cout << answer.body.dump(2) << '\n';
        return exit_code::ok;
    }
    const std::int64_t newest = answer.body.value("version", 0LL);
    text_table table({"ENTRY", "DATA CENTRE", "STATE", "VERSION", "BEHIND", "HEARD S AGO"});
    for (const json& entry : answer.body.value("entries", json::array())) {
        const std::string heard = text_of(entry, "heard_ms");
        table.add(
            {text_of(entry, "entry"), text_of(entry, "data_centre"), text_of(entry, "state"), text_of(entry, "version"),
             std::to_string(newest - entry.value("version", 0LL)),
             heard.empty() ? "" : fmt::format("{:.1f}", static_cast<double>(entry.value("heard_ms", 0LL)) / 1000)});
    }
    std::cout << fmt::format("newest version known: {}\n", newest);
    table.print();
    return exit_code::ok;
}

} // namespace skylarkhub::ctl
