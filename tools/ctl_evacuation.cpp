// Commands that evacuate a data centre and take that back: a setting of the data centre's subtree.
#include <fmt/format.h>

#include <iostream>

#include "ctl_p.h"

namespace skylarkhub::ctl {

namespace {

using nlohmann::json;

constexpr const char* evacuated_name = "evacuated";
constexpr std::string_view data_centre_prefix = "data_centre/";
constexpr int not_found = 404;

exit_code change_evacuation(context& c, bool evacuated)
{
    const std::string data_centre = take_word(c, 0, "DATA-CENTRE");
    const std::string target = settings_target(std::string(data_centre_prefix) + data_centre);
    const call_answer read = c.entries().get(target);
    if (read.outcome != call_outcome::ok && read.status != not_found) {
        return fail(c, read);
    }
    const bool present = read.outcome == call_outcome::ok && !read.body.value("removed", false);
    json document = present ? read.body.value("document", json::object()) : json::object();
    const std::int64_t version = read.outcome == call_outcome::ok ? read.body.value("version", std::int64_t{0}) : 0;
    if (document.value(evacuated_name, false) == evacuated) {
        std::cout << fmt::format("{} is {}evacuated already\n", data_centre, evacuated ? "" : "not ");
        return exit_code::ok;
    }
    if (evacuated) {
        document[evacuated_name] = true;
    }
    else {
        document.erase(evacuated_name);
    }
    const call_answer answer =
        c.entries().change("PUT", fmt::format("{}?version={}", target, version), document.dump());
    if (answer.outcome != call_outcome::ok) {
        return fail(c, answer);
    }
    if (c.json) {
        std::cout << answer.body.dump(2) << '\n';
        return exit_code::ok;
    }
    std::cout << fmt::format("{} is {}evacuated from version {} on\n", data_centre, evacuated ? "" : "no longer ",
                             text_of(answer.body, "version"));
    return exit_code::ok;
}

} // namespace

exit_code evacuate_data_centre(context& c)
{
    return change_evacuation(c, true);
}

exit_code take_back_data_centre(context& c)
{
    return change_evacuation(c, false);
}

exit_code list_evacuations(context& c)
{
    const call_answer listed = c.entries().get("/v1/settings");
    if (listed.outcome != call_outcome::ok) {
        return fail(c, listed);
    }
    json evacuations = json::array();
    for (const json& subtree : listed.body.value("subtrees", json::array())) {
        const std::string path = text_of(subtree, "path");
        if (!path.starts_with(data_centre_prefix) || subtree.value("removed", false)) {
            continue;
        }
        const call_answer answer = c.entries().get(settings_target(path));
        if (answer.outcome != call_outcome::ok) {
            return fail(c, answer);
        }
        if (answer.body.value("document", json::object()).value(evacuated_name, false)) {
            evacuations.push_back({{"data_centre", path.substr(data_centre_prefix.size())},
                                   {"version", answer.body.value("version", std::int64_t{0})},
                                   {"author", text_of(answer.body, "author")},
                                   {"changed_ms", answer.body.value("changed_ms", std::int64_t{0})}});
        }
    }
    if (c.json) {
        std::cout << json{{"evacuations", evacuations}}.dump(2) << '\n';
        return exit_code::ok;
    }
    text_table table({"DATA CENTRE", "VERSION", "CHANGED", "AUTHOR"});
    for (const json& evacuation : evacuations) {
        table.add({text_of(evacuation, "data_centre"), text_of(evacuation, "version"),
                   format_time_ms(evacuation.value("changed_ms", std::int64_t{0})), text_of(evacuation, "author")});
    }
    table.print();
    return exit_code::ok;
}

} // namespace skylarkhub::ctl
