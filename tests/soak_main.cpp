// Plays one seed of the soak. Exit codes: 0 all promises held, 1 some were broken, 2 wrong use.
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <exception>

#include "support_soak.h"

namespace {

using skylarkhub::tests::hand_in;
using skylarkhub::tests::soak_options;
using skylarkhub::tests::soak_report;

constexpr int exit_broken = 1;
constexpr int exit_usage = 2;

std::atomic<bool> interrupted{false};

// The entries are ended by whoever started them, also when the soak is.
void interrupt(int /*number*/)
{
    interrupted = true;
}

int play(const soak_options& options)
{
    const soak_report report = skylarkhub::tests::run_soak(options);
    const auto& counts = report.counts;
    const auto jobs = [&](hand_in outcome) { return counts.jobs.count(outcome) == 0 ? 0 : counts.jobs.at(outcome); };
    fmt::print("seed {}: {} broken; jobs accepted {}, refused {}, in doubt {}, cancelled {}, finished {}; starts {}\n",
               options.seed, report.broken.size(), jobs(hand_in::accepted), jobs(hand_in::refused),
               jobs(hand_in::in_doubt), counts.cancelled, counts.finished, counts.starts);
    if (report.broken.empty()) {
        return 0;
    }
    fmt::print("first: {}\nlogs: {}\n", report.broken.front(), report.folder);
    return exit_broken;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("soak", "Plays faults from a seed against real entries and checks the promises");
    options.add_options()("seed", "Of the faults and the callers", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "Time with faults", cxxopts::value<int>()->default_value("30"))(
        "entries", "How many; 0: by the seed", cxxopts::value<int>()->default_value("0"))(
        "workers", "How many; 0: by the seed", cxxopts::value<int>()->default_value("0"))(
        "evacuations", "Evacuate data centres too")("help", "Print this text");
    signal(SIGPIPE, SIG_IGN);
    signal(SIGINT, &interrupt);
    signal(SIGTERM, &interrupt);
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0) {
            fmt::print("{}\n", options.help());
            return 0;
        }
        return play({.seed = given["seed"].as<std::uint64_t>(),
                     .length = std::chrono::seconds(given["seconds"].as<int>()),
                     .entries = given["entries"].as<int>(),
                     .workers = given["workers"].as<int>(),
                     .evacuations = given.count("evacuations") > 0,
                     .interrupted = &interrupted});
    }
    catch (const cxxopts::exceptions::exception& error) {
        fmt::print(stderr, "soak: {}\n", error.what());
        return exit_usage;
    }
    catch (const std::exception& error) {
        fmt::print(stderr, "soak: {}\n", error.what());
        return exit_broken;
    }
}
