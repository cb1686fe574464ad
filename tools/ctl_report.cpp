#include <fmt/format.h>

#include <fstream>
#include <iostream>

#include "burn_page_p.h"
#include "ctl_p.h"

namespace skylarkhub::ctl {

namespace {

using nlohmann::json;

std::string format_number(const json& value, int digits)
{
    return value.is_number() ? fmt::format("{:.{}f}", value.get<double>(), digits) : "-";
}

std::string join_alerts(const json& service)
{
    std::string text;
    for (const json& alert : service.value("alerts", json::array())) {
        text += (text.empty() ? "" : ",") + alert.get<std::string>();
    }
    return text.empty() ? "-" : text;
}

void print_services(const json& report)
{
    text_table table({"SERVICE", "CALLER", "ALERTS", "OBJECTIVE", "LEFT 6H", "BURN 5M", "30M", "1H", "6H", "DONE",
                      "LATE", "REFUSED", "UNKNOWN", "TARGET MS", "P50", "P90", "P99", "P99.9"});
    for (const json& service : report.at("services")) {
        const json& windows = service.at("windows");
        std::vector<std::string> row{text_of(service, "service"), text_of(service, "team"), join_alerts(service),
                                     text_of(service, "objective")};
        const json& left = service.at("budget_left");
        row.push_back(left.is_number() ? fmt::format("{:.0f}%", left.get<double>() * 100) : "-");
        for (const json& window : windows) {
            row.push_back(format_number(window.at("burn"), 2));
        }
        for (const char* count : {"done", "late", "refused", "unknown"}) {
            row.push_back(text_of(windows.back(), count));
        }
        row.push_back(format_number(service.at("latency_target_ms"), 0));
        for (const char* percentile : {"p50", "p90", "p99", "p999"}) {
            row.push_back(format_number(service.at("latency_ms").at(percentile), 1));
        }
        table.add(std::move(row));
    }
    table.print();
}

void print_teams(const json& report)
{
    std::cout << "\nBatch work since each entry's start\n";
    text_table batch({"TEAM", "ACCEPTED", "FINISHED", "PARKED", "CANCELLED", "EVICTIONS", "WORK LOST S"});
    for (const json& team : report.at("batch")) {
        batch.add({text_of(team, "team"), text_of(team, "accepted"), text_of(team, "finished"), text_of(team, "parked"),
                   text_of(team, "cancelled"), text_of(team, "evictions"),
                   format_number(team.at("work_lost_seconds"), 0)});
    }
    batch.print();
    std::cout << "\nStanding work since each entry's start\n";
    text_table watches({"TEAM", "DUE", "RUN", "MISSED"});
    for (const json& team : report.at("watches")) {
        watches.add({text_of(team, "team"), text_of(team, "due"), text_of(team, "run"), text_of(team, "missed")});
    }
    watches.print();
}

void print_missing(const json& report)
{
    for (const json& source : report.at("sources")) {
        if (source.value("missing", false)) {
            std::cout << fmt::format("missing from this report: {} in {}: {}\n", text_of(source, "entry"),
                                     text_of(source, "data_centre"), text_of(source, "reason"));
        }
    }
}

exit_code write_page(const context& c, const json& report)
{
    const std::string path = c.flags["html"].as<std::string>();
    std::string reason;
    const auto page = format_burn_page(report, &reason);
    if (!page) {
        std::cerr << "the report cannot be read: " << reason << '\n';
        return exit_code::refused;
    }
    std::ofstream file(path, std::ios::binary);
    file << *page;
    if (!file.flush()) {
        throw usage_error{path + ": cannot be written"};
    }
    return exit_code::ok;
}

} // namespace

exit_code report_burn(context& c)
{
    json report;
    if (c.flags.count("file") > 0) {
        report = json::parse(read_file(c.flags["file"].as<std::string>()), nullptr, false);
    }
    else {
        const call_answer answer = c.entries().get("/v1/report");
        if (answer.outcome != call_outcome::ok) {
            return fail(c, answer);
        }
        report = answer.body;
    }
    if (c.flags.count("html") > 0) {
        return write_page(c, report);
    }
    if (c.json) {
        std::cout << report.dump(2) << '\n';
        return exit_code::ok;
    }
    try {
        print_services(report);
        print_teams(report);
        print_missing(report);
    }
    catch (const json::exception& error) {
        std::cerr << "the report cannot be read: " << error.what() << '\n';
        return exit_code::refused;
    }
    return exit_code::ok;
}

exit_code list_entries(context& c)
{
    const call_answer answer = c.entries().get("/v1/entries");
    if (answer.outcome != call_outcome::ok) {
        return fail(c, answer);
    }
    if (c.json) {
        std::cout << answer.body.dump(2) << '\n';
        return exit_code::ok;
    }
    text_table table({"ENTRY", "DATA CENTRE", "STATE", "SETTINGS", "HTTP", "PEER", "INCARNATION"});
    for (const json& entry : answer.body.value("entries", json::array())) {
        table.add({text_of(entry, "entry"), text_of(entry, "data_centre"), text_of(entry, "state"),
                   text_of(entry, "settings_version"), text_of(entry, "http_address"), text_of(entry, "peer_address"),
                   text_of(entry, "incarnation")});
    }
    table.print();
    return exit_code::ok;
}

exit_code list_cells(context& c)
{
    const call_answer answer = c.entries().get("/v1/cells");
    if (answer.outcome != call_outcome::ok) {
        return fail(c, answer);
    }
    if (c.json) {
        std::cout << answer.body.dump(2) << '\n';
        return exit_code::ok;
    }
    text_table table(
        {"CELL", "DATA CENTRE", "OWNER", "EPOCH", "QUEUED", "RUNNING", "FREE CPU", "FREE MIB", "FREE ACC"});
    for (const json& cell : answer.body.value("cells", json::array())) {
        const json free = cell.value("free", json::object());
        table.add({text_of(cell, "cell"), text_of(cell, "data_centre"), text_of(cell, "owner"), text_of(cell, "epoch"),
                   text_of(cell, "queued"), text_of(cell, "running"), text_of(free, "cpu_millis"),
                   text_of(free, "memory_mib"), text_of(free, "accelerators")});
    }
    table.print();
    return exit_code::ok;
}

} // namespace skylarkhub::ctl
