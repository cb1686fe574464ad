// skylarkload: an open loop of requests towards entries; exit status 1 when any answer was wrong.
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <optional>

#include "load_run_p.h"

namespace {

using skylarkhub::load::load_options;

constexpr int exit_wrong_answer = 1;
constexpr int exit_usage = 2;

cxxopts::Options describe_options()
{
    using cxxopts::value;
    cxxopts::Options options("skylarkload", "Open loop of requests towards entries; checks every answer");
    auto add = options.add_options();
    add("entries", "IP:port of each entry, separated by commas", value<std::vector<std::string>>());
    add("team", "Team that owns the service", value<std::string>());
    add("service", "Service", value<std::string>());
    add("rate", "Requests a second in all", value<double>()->default_value("100"));
    add("seconds", "How long to send", value<double>()->default_value("10"));
    add("connections", "Most connections to each entry", value<long>()->default_value("64"));
    add("deadline-ms", "Deadline of each request", value<std::int64_t>()->default_value("1000"));
    add("body-bytes", "Size of each body", value<std::size_t>()->default_value("64"));
    add("keys", "Send Idempotency-Key load-SEED-NUMBER");
    add("seed", "Seed of the times; another one for each process, since it also tells bodies and keys apart",
        value<std::uint64_t>()->default_value("1"));
    add("json", "Print one JSON object, times in microseconds");
    add("help", "Print this text");
    return options;
}

// Empty when something is missing or out of range, with the reason in `last_reason`.
std::optional<load_options> read_options(const cxxopts::ParseResult& parsed, std::string* last_reason)
{
    for (const char* needed : {"entries", "team", "service"}) {
        if (parsed.count(needed) == 0) {
            *last_reason = fmt::format("--{} is needed", needed);
            return std::nullopt;
        }
    }
    load_options o;
    for (const std::string& entry : parsed["entries"].as<std::vector<std::string>>()) {
        o.entries.emplace_back(entry);
    }
    o.team = skylarkhub::team_id(parsed["team"].as<std::string>());
    o.service = parsed["service"].as<std::string>();
    o.rate = parsed["rate"].as<double>();
    o.seconds = parsed["seconds"].as<double>();
    o.connections = parsed["connections"].as<long>();
    o.deadline = std::chrono::milliseconds(parsed["deadline-ms"].as<std::int64_t>());
    o.body_bytes = parsed["body-bytes"].as<std::size_t>();
    o.keys = parsed.count("keys") > 0;
    o.seed = parsed["seed"].as<std::uint64_t>();
    if (o.rate <= 0 || o.seconds <= 0 || o.connections <= 0 || o.deadline.count() <= 0) {
        *last_reason = "--rate, --seconds, --connections and --deadline-ms must be above 0";
        return std::nullopt;
    }
    return o;
}

int run(const cxxopts::ParseResult& parsed)
{
    std::string reason;
    const auto options = read_options(parsed, &reason);
    if (!options) {
        fmt::print(stderr, "skylarkload: {}\n", reason);
        return exit_usage;
    }
    const skylarkhub::load::load_tally tally = skylarkhub::load::run_load(*options);
    fmt::print("{}", parsed.count("json") > 0 ? format_json(tally) : format_text(tally));
    return tally.wrong() > 0 ? exit_wrong_answer : 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options = describe_options();
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            fmt::print("{}\n", options.help());
            return 0;
        }
        return run(parsed);
    }
    catch (const cxxopts::exceptions::exception& error) {
        fmt::print(stderr, "skylarkload: {}\n", error.what());
        return exit_usage;
    }
}
