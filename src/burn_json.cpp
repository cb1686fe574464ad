#include <array>
#include <cmath>

#include "burn_p.h"

namespace skylarkhub {

namespace {

using nlohmann::json;

constexpr std::array<std::pair<const char*, double>, 4> percentiles{
    {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p999", 0.999}}};
constexpr double micros_per_ms = 1000;

std::int64_t to_ms(wall_time t)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(t.time_since_epoch()).count();
}

wall_time from_ms(std::int64_t ms)
{
    return wall_time(std::chrono::milliseconds(ms));
}

json format_source(const burn_report::source& source)
{
    return {{"entry", source.entry},         {"data_centre", source.data_centre}, {"since_ms", to_ms(source.since)},
            {"made_ms", to_ms(source.made)}, {"missing", source.missing},         {"reason", source.reason}};
}

burn_report::source parse_source(const json& value)
{
    return {value.at("entry").get<std::string>(),
            value.at("data_centre").get<std::string>(),
            from_ms(value.at("since_ms").get<std::int64_t>()),
            from_ms(value.at("made_ms").get<std::int64_t>()),
            value.at("missing").get<bool>(),
            value.at("reason").get<std::string>()};
}

json optional_number(std::optional<double> value)
{
    return value ? json(*value) : json(nullptr);
}

json format_window(const burn_window& window, const burn_counts& counts, double objective)
{
    return {{"window", window.name},
            {"seconds", std::chrono::duration_cast<std::chrono::seconds>(window.length).count()},
            {"done", counts.done},
            {"late", counts.late},
            {"refused", counts.refused},
            {"unknown", counts.unknown},
            {"burn", optional_number(burn_rate(counts, objective))}};
}

json format_latency(const latency_histogram& latency)
{
    json result = json::object();
    for (const auto& [name, p] : percentiles) {
        const auto value = latency.percentile(p);
        result[name] = value ? json(static_cast<double>(value->count()) / micros_per_ms) : json(nullptr);
    }
    return result;
}

// What is left of the budget that the longest window allows; negative when overdrawn.
std::optional<double> budget_left(const service_burn& service)
{
    const auto burn = burn_rate(service.windows.back(), service.objective);
    return burn ? std::optional(1 - *burn) : std::nullopt;
}

json format_service(const service_burn& service)
{
    json windows = json::array();
    for (std::size_t i = 0; i < burn_window_count; ++i) {
        windows.push_back(format_window(burn_windows.at(i), service.windows.at(i), service.objective));
    }
    json buckets = json::array();
    for (const auto& [bucket, count] : service.latency.buckets()) {
        buckets.push_back({bucket, count});
    }
    return {{"service", service.service.str()},
            {"team", service.team.str()},
            {"objective", service.objective},
            {"latency_target_ms", static_cast<double>(service.latency_target.count()) / micros_per_ms},
            {"windows", std::move(windows)},
            {"budget_left", optional_number(budget_left(service))},
            {"alerts", standing_alerts(service)},
            {"latency_ms", format_latency(service.latency)},
            {"buckets", std::move(buckets)}};
}

service_burn parse_service(const json& value)
{
    service_burn service;
    service.service = service_id(value.at("service").get<std::string>());
    service.team = team_id(value.at("team").get<std::string>());
    service.objective = value.at("objective").get<double>();
    service.latency_target = duration(std::llround(value.at("latency_target_ms").get<double>() * micros_per_ms));
    for (const json& window : value.at("windows")) {
        for (std::size_t i = 0; i < burn_window_count; ++i) {
            if (window.at("window") == burn_windows.at(i).name) {
                service.windows.at(i) = {window.at("done").get<std::int64_t>(), window.at("late").get<std::int64_t>(),
                                         window.at("refused").get<std::int64_t>(),
                                         window.at("unknown").get<std::int64_t>()};
            }
        }
    }
    for (const json& bucket : value.at("buckets")) {
        service.latency.add_bucket(bucket.at(0).get<std::int32_t>(), bucket.at(1).get<std::int64_t>());
    }
    return service;
}

json format_batch(const std::string& team, const batch_counts& counts)
{
    return {{"team", team},
            {"accepted", counts.accepted},
            {"finished", counts.finished},
            {"parked", counts.parked},
            {"cancelled", counts.cancelled},
            {"evictions", counts.evictions},
            {"work_lost_seconds", counts.work_lost_seconds}};
}

batch_counts parse_batch(const json& value)
{
    return {value.at("accepted").get<std::int64_t>(),  value.at("finished").get<std::int64_t>(),
            value.at("parked").get<std::int64_t>(),    value.at("cancelled").get<std::int64_t>(),
            value.at("evictions").get<std::int64_t>(), value.at("work_lost_seconds").get<double>()};
}

json format_watches(const std::string& team, const watch_counts& counts)
{
    return {{"team", team}, {"due", counts.due}, {"run", counts.run}, {"missed", counts.missed}};
}

watch_counts parse_watches(const json& value)
{
    return {value.at("due").get<std::int64_t>(), value.at("run").get<std::int64_t>(),
            value.at("missed").get<std::int64_t>()};
}

} // namespace

nlohmann::json format_report(const burn_report& report)
{
    json result{{"complete", true},
                {"sources", json::array()},
                {"services", json::array()},
                {"batch", json::array()},
                {"watches", json::array()}};
    for (const burn_report::source& source : report.sources) {
        result["sources"].push_back(format_source(source));
        if (source.missing) {
            result["complete"] = false;
        }
    }
    for (const service_burn& service : report.services) {
        result["services"].push_back(format_service(service));
    }
    for (const auto& [team, counts] : report.batch) {
        result["batch"].push_back(format_batch(team, counts));
    }
    for (const auto& [team, counts] : report.watches) {
        result["watches"].push_back(format_watches(team, counts));
    }
    return result;
}

std::optional<burn_report> parse_report(const std::string& text, std::string* last_reason)
{
    burn_report report;
    try {
        const json value = json::parse(text);
        for (const json& source : value.at("sources")) {
            report.sources.push_back(parse_source(source));
        }
        for (const json& service : value.at("services")) {
            report.services.push_back(parse_service(service));
        }
        for (const json& batch : value.at("batch")) {
            report.batch[batch.at("team").get<std::string>()] = parse_batch(batch);
        }
        for (const json& watches : value.at("watches")) {
            report.watches[watches.at("team").get<std::string>()] = parse_watches(watches);
        }
    }
    catch (const json::exception& error) {
        if (last_reason != nullptr) {
            *last_reason = error.what();
        }
        return std::nullopt;
    }
    return report;
}

} // namespace skylarkhub
