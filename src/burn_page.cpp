#include "burn_page_p.h"

#include <absl/time/time.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace skylarkhub {

namespace {

using nlohmann::json;

constexpr std::size_t plotted_services_most = 12;

// Burn is plotted on a logarithmic scale from a tenth to a hundred times what the objective allows.
constexpr double burn_least = 0.1;
constexpr double burn_most = 100;
constexpr double plot_left = 14; // per cent of the width
constexpr double plot_right = 84;
constexpr int bar_height = 9;
constexpr int bar_step = 13;
constexpr int service_gap = 34;
constexpr int axis_height = 26;

constexpr const char* style = R"(
:root{--ink:#1d2329;--soft:#5a6672;--line:#d5dbe1;--paper:#fff;--band:#f5f7f9;--bad:#b3261e;--warn:#8a5a00;
--w0:#b3261e;--w1:#c77700;--w2:#2b6cb0;--w3:#5b7f95}
@media(prefers-color-scheme:dark){:root{--ink:#e6eaee;--soft:#9aa7b3;--line:#39434d;--paper:#14181c;--band:#1c2227;
--bad:#ff8a80;--warn:#ffc266;--w0:#ff8a80;--w1:#ffc266;--w2:#7fb5ee;--w3:#9db8c7}}
*{box-sizing:border-box}body{margin:0 auto;max-width:76rem;padding:1rem;background:var(--paper);color:var(--ink);
font:15px/1.45 system-ui,sans-serif}h1{font-size:1.4rem;margin:.2rem 0}h2{font-size:1.05rem;margin:1.6rem 0 .4rem}
p{margin:.3rem 0;color:var(--soft)}.scroll{overflow-x:auto}table{border-collapse:separate;border-spacing:0;width:100%;font-size:.87rem}
th,td{padding:.3rem .55rem;border-bottom:1px solid var(--line);text-align:right;white-space:nowrap}
th{color:var(--soft);font-weight:600}th:first-child,td:first-child{text-align:left;position:sticky;left:0;
background:var(--paper)}td.text,th.text{text-align:left}.bad{color:var(--bad);font-weight:600}
.notice{border-left:4px solid var(--bad);background:var(--band);padding:.5rem .8rem;color:var(--ink)}
svg{display:block;width:100%}svg text{fill:var(--ink);font:12px system-ui,sans-serif}svg .soft{fill:var(--soft)}
.grid{stroke:var(--line)}.limit{stroke:var(--bad);stroke-dasharray:4 3}
.w0{fill:var(--w0)}.w1{fill:var(--w1)}.w2{fill:var(--w2)}.w3{fill:var(--w3)}
)";

std::string escape(const std::string& text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

std::string format_time(std::int64_t ms)
{
    return ms == 0 ? "" : absl::FormatTime("%Y-%m-%d %H:%M:%S UTC", absl::FromUnixMillis(ms), absl::UTCTimeZone());
}

std::string format_number(const json& value, int digits)
{
    return value.is_null() ? "–" : fmt::format("{:.{}f}", value.get<double>(), digits);
}

// Large burns need no digits after the point, and would not fit beside their bars.
std::string format_burn(const json& value)
{
    return format_number(value, value.is_number() && value.get<double>() >= 100 ? 0 : 2);
}

std::string name_of(const json& service)
{
    const auto name = service.at("service").get<std::string>();
    const auto team = service.at("team").get<std::string>();
    return name.starts_with(team + "/") ? name : fmt::format("{} for {}", name, team);
}

double worst_burn(const json& service)
{
    double worst = 0;
    for (const json& window : service.at("windows")) {
        worst = std::max(worst, window.at("burn").is_null() ? 0 : window.at("burn").get<double>());
    }
    return worst;
}

double position_of(double burn)
{
    const double share =
        std::log(std::clamp(burn, burn_least, burn_most) / burn_least) / std::log(burn_most / burn_least);
    return plot_left + share * (plot_right - plot_left);
}

// Services that burn most come first.
std::vector<json> sorted_services(const json& report)
{
    std::vector<json> services = report.at("services").get<std::vector<json>>();
    std::stable_sort(services.begin(), services.end(),
                     [](const json& a, const json& b) { return worst_burn(a) > worst_burn(b); });
    return services;
}

void add_grid(std::string& svg, int height)
{
    struct grid_line {
        double burn;
        const char* label;
        const char* style_class;
    };
    constexpr std::array<grid_line, 5> lines{
        {{0.1, "0.1", "grid"}, {1, "1", "limit"}, {6, "6", "grid"}, {14.4, "14.4", "grid"}, {100, "100", "grid"}}};
    for (const grid_line& line : lines) {
        svg += fmt::format(R"(<line class="{0}" x1="{1:.2f}%" x2="{1:.2f}%" y1="0" y2="{2}"/>)"
                           R"(<text class="soft" text-anchor="middle" x="{1:.2f}%" y="{3}">{4}</text>)",
                           line.style_class, position_of(line.burn), height, height + axis_height - 10, line.label);
    }
}

void add_bars(std::string& svg, const json& service, int top)
{
    svg += fmt::format(R"(<text x="0" y="{}" font-weight="600">{}</text>)", top + 13, escape(name_of(service)));
    int y = top + 20;
    int index = 0;
    for (const json& window : service.at("windows")) {
        const double burn = window.at("burn").is_null() ? 0 : window.at("burn").get<double>();
        const double end = position_of(burn);
        svg += fmt::format(R"(<text class="soft" x="0" y="{}">{}</text>)", y + bar_height,
                           escape(window.at("window").get<std::string>()));
        svg += fmt::format(R"(<rect class="w{}" x="{:.2f}%" y="{}" width="{:.2f}%" height="{}" rx="1"/>)", index,
                           plot_left, y, end - plot_left, bar_height);
        svg += fmt::format(R"(<text x="{:.2f}%" dx="4" y="{}">{}</text>)", end, y + bar_height,
                           format_burn(window.at("burn")));
        y += bar_step;
        ++index;
    }
}

// Widths are per cent and heights pixels, so that text keeps its size in a narrow window.
std::string format_plot(const std::vector<json>& services)
{
    const std::size_t shown = std::min(services.size(), plotted_services_most);
    const int service_height = service_gap + 4 * bar_step;
    const int height = static_cast<int>(shown) * service_height;
    std::string svg =
        fmt::format(R"(<svg height="{}" role="img" aria-label="Burn of the error budget by service and window">)",
                    height + axis_height);
    add_grid(svg, height);
    for (std::size_t i = 0; i < shown; ++i) {
        add_bars(svg, services[i], static_cast<int>(i) * service_height);
    }
    svg += "</svg>";
    if (shown < services.size()) {
        svg += fmt::format("<p>The {} services that burn most, of {}.</p>", shown, services.size());
    }
    return svg;
}

std::string format_alerts(const json& alerts)
{
    std::string text;
    for (const json& alert : alerts) {
        text += (text.empty() ? "" : ", ") + escape(alert.get<std::string>());
    }
    return text.empty() ? "–" : R"(<span class="bad">)" + text + "</span>";
}

std::string format_service_row(const json& service)
{
    std::string row = fmt::format("<tr><td>{}</td><td class=\"text\">{}</td><td>{}</td>", escape(name_of(service)),
                                  format_alerts(service.at("alerts")), service.at("objective").get<double>());
    const json& left = service.at("budget_left");
    const bool overdrawn = !left.is_null() && left.get<double>() < 0;
    row += fmt::format("<td{}>{}</td>", overdrawn ? " class=\"bad\"" : "",
                       left.is_null() ? "–" : fmt::format("{:.0f}%", left.get<double>() * 100));
    for (const json& window : service.at("windows")) {
        row += fmt::format("<td>{}</td>", format_burn(window.at("burn")));
    }
    return row + "</tr>";
}

std::string format_request_row(const json& service)
{
    std::string row = fmt::format("<tr><td>{}</td>", escape(name_of(service)));
    const json& longest = service.at("windows").back();
    for (const char* count : {"done", "late", "refused", "unknown"}) {
        row += fmt::format("<td>{}</td>", longest.at(count).get<std::int64_t>());
    }
    row += fmt::format("<td>{}</td>", format_number(service.at("latency_target_ms"), 0));
    for (const char* percentile : {"p50", "p90", "p99", "p999"}) {
        row += fmt::format("<td>{}</td>", format_number(service.at("latency_ms").at(percentile), 1));
    }
    return row + "</tr>";
}

std::string format_service_table(const std::vector<json>& services)
{
    std::string table = "<div class=\"scroll\"><table><thead><tr><th>Service</th><th class=\"text\">Alerts</th>"
                        "<th>Objective</th><th>Budget left, 6h</th><th>5m</th><th>30m</th><th>1h</th><th>6h</th>"
                        "</tr></thead><tbody>";
    for (const json& service : services) {
        table += format_service_row(service);
    }
    return table + "</tbody></table></div>";
}

std::string format_request_table(const std::vector<json>& services)
{
    std::string table = "<div class=\"scroll\"><table><thead><tr><th>Service</th><th>Done</th><th>Late</th>"
                        "<th>Refused</th><th>Unknown</th><th>Target</th><th>p50</th><th>p90</th><th>p99</th>"
                        "<th>p99.9</th></tr></thead><tbody>";
    for (const json& service : services) {
        table += format_request_row(service);
    }
    return table + "</tbody></table></div>";
}

// A table of counts by team; columns are JSON names and their headings.
std::string format_team_table(const json& rows, const std::vector<std::pair<std::string, std::string>>& columns)
{
    std::string table = "<div class=\"scroll\"><table><thead><tr><th>Team</th>";
    for (const auto& [name, heading] : columns) {
        table += fmt::format("<th>{}</th>", heading);
    }
    table += "</tr></thead><tbody>";
    for (const json& row : rows) {
        table += fmt::format("<tr><td>{}</td>", escape(row.at("team").get<std::string>()));
        for (const auto& [name, heading] : columns) {
            table += fmt::format("<td>{:.0f}</td>", row.at(name).get<double>());
        }
        table += "</tr>";
    }
    return table + "</tbody></table></div>";
}

std::string format_missing(const json& report)
{
    std::string lines;
    for (const json& source : report.at("sources")) {
        if (source.at("missing").get<bool>()) {
            lines += fmt::format("<li>{} in {}: {}</li>", escape(source.at("entry").get<std::string>()),
                                 escape(source.at("data_centre").get<std::string>()),
                                 escape(source.at("reason").get<std::string>()));
        }
    }
    return lines.empty()
               ? ""
               : "<div class=\"notice\"><strong>Not whole: the figures of these entries are missing.</strong><ul>" +
                     lines + "</ul></div>";
}

std::string format_sources(const json& report)
{
    std::string table = "<div class=\"scroll\"><table><thead><tr><th>Entry</th><th class=\"text\">Data centre</th>"
                        "<th class=\"text\">Counts since</th><th class=\"text\">Made</th></tr></thead><tbody>";
    for (const json& source : report.at("sources")) {
        const bool missing = source.at("missing").get<bool>();
        table += fmt::format(
            "<tr><td>{}</td><td class=\"text\">{}</td><td class=\"text\">{}</td><td class=\"text\">{}</td></tr>",
            escape(source.at("entry").get<std::string>()), escape(source.at("data_centre").get<std::string>()),
            missing ? "<span class=\"bad\">missing</span>" : format_time(source.at("since_ms").get<std::int64_t>()),
            missing ? "" : format_time(source.at("made_ms").get<std::int64_t>()));
    }
    return table + "</tbody></table></div>";
}

std::string format_page(const json& report)
{
    const std::vector<json> services = sorted_services(report);
    std::string page = "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><meta name=\"viewport\" "
                       "content=\"width=device-width,initial-scale=1\"><title>Service-level burn</title><style>";
    page += style;
    page += "</style></head><body><h1>Service-level burn</h1>";
    page += format_missing(report);
    page +=
        "<h2>Burn of the error budget</h2><p>Share of requests that were late, refused or of unknown outcome, over the "
        "share that the objective allows. At 1 the budget is just used up; a fast burn alerts at 14.4 over 5m and "
        "1h, a slow one at 6 over 30m and 6h. Logarithmic scale.</p>";
    page += services.empty() ? "<p>No service had a request in the last six hours.</p>" : format_plot(services);
    page += "<h2>Services</h2>" + format_service_table(services);
    page += "<h2>Requests and latency</h2><p>Requests over 6h; latencies in milliseconds over the last 30 to 60 "
            "minutes.</p>";
    page += format_request_table(services);
    page += "<h2>Batch work</h2><p>Since each entry's start.</p>";
    page += format_team_table(report.at("batch"), {{"accepted", "Accepted"},
                                                   {"finished", "Finished"},
                                                   {"parked", "Parked"},
                                                   {"cancelled", "Cancelled"},
                                                   {"evictions", "Evictions"},
                                                   {"work_lost_seconds", "Work lost, s"}});
    page += "<h2>Standing work</h2><p>Due times since each entry's start.</p>";
    page += format_team_table(report.at("watches"), {{"due", "Due"}, {"run", "Run"}, {"missed", "Missed"}});
    page += "<h2>Entries</h2>" + format_sources(report) + "</body></html>\n";
    return page;
}

} // namespace

std::optional<std::string> format_burn_page(const nlohmann::json& report, std::string* last_reason)
{
    try {
        return format_page(report);
    }
    catch (const json::exception& error) {
        if (last_reason != nullptr) {
            *last_reason = error.what();
        }
        return std::nullopt;
    }
}

} // namespace skylarkhub
