// The stand-in for one worker instance, with a real listener for each of its service tasks.
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <random>
#include <thread>

#include "worker_host_p.h"

namespace {

using skylarkhub::standin::worker_host;

// Blocks the signals that stop the program in all threads to come; one thread then waits for one of them.
sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int serve(worker_host::options options)
{
    const sigset_t signals = block_stop_signals();
    worker_host host(std::move(options));
    std::string reason;
    if (!host.start(&reason)) {
        fmt::print(stderr, "worker_standin: {}\n", reason);
        return 1;
    }
    fmt::print("listening {}\n", host.address().str());
    std::fflush(stdout);
    std::thread waiter([&] {
        int received = 0;
        sigwait(&signals, &received);
        host.leave();
    });
    host.run();
    waiter.join();
    return 0;
}

std::string draw_boot()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}", device(), device());
}

cxxopts::Options describe_options()
{
    using cxxopts::value;
    cxxopts::Options options("worker_standin", "Stand-in for a worker: tasks, leases, checkpoints, targets");
    auto add = options.add_options();
    add("id", "Name in the platform's instance list", value<std::string>()->default_value("worker-1"));
    add("address", "IP:port to listen on; port 0 takes a free one", value<std::string>()->default_value("127.0.0.1:0"));
    add("platform", "IP:port of the platform; empty: none", value<std::string>()->default_value(""));
    add("data-centre", "Data centre", value<std::string>()->default_value("dc1"));
    add("rack", "Rack", value<std::string>()->default_value("r1"));
    add("cpu-millis", "Processors, in thousandths", value<std::int64_t>()->default_value("32000"));
    add("memory-mib", "Memory, in MiB", value<std::int64_t>()->default_value("128000"));
    add("accelerators", "Accelerators", value<std::int32_t>()->default_value("0"));
    add("time-scale", "Run times are divided by it", value<double>()->default_value("1"));
    add("usage-lag-ms", "Age of the usage and the interference it reports",
        value<std::int64_t>()->default_value("2000"));
    add("size-error", "True sizes and run times differ from declared ones by a factor up to 1 + this",
        value<double>()->default_value("0"));
    add("leave-seconds", "Longest wait for batch tasks after SIGTERM", value<std::int64_t>()->default_value("10"));
    add("linger-ms", "How long a leaving target still refuses before it closes",
        value<std::int64_t>()->default_value("3000"));
    add("seed", "Seed of all that is random", value<std::uint64_t>()->default_value("1"));
    add("help", "Print this text");
    return options;
}

worker_host::options read_options(const cxxopts::ParseResult& parsed)
{
    worker_host::options o;
    o.id = parsed["id"].as<std::string>();
    o.address = skylarkhub::net_address(parsed["address"].as<std::string>());
    o.platform = skylarkhub::net_address(parsed["platform"].as<std::string>());
    o.data_centre = parsed["data-centre"].as<std::string>();
    o.rack = parsed["rack"].as<std::string>();
    o.leave_patience = std::chrono::seconds(parsed["leave-seconds"].as<std::int64_t>());
    o.linger = std::chrono::milliseconds(parsed["linger-ms"].as<std::int64_t>());
    o.settings.capacity.cpu_millis = parsed["cpu-millis"].as<std::int64_t>();
    o.settings.capacity.memory_mib = parsed["memory-mib"].as<std::int64_t>();
    o.settings.capacity.accelerators = parsed["accelerators"].as<std::int32_t>();
    o.settings.time_scale = parsed["time-scale"].as<double>();
    o.settings.usage_lag = std::chrono::milliseconds(parsed["usage-lag-ms"].as<std::int64_t>());
    o.settings.size_error = parsed["size-error"].as<double>();
    o.settings.seed = parsed["seed"].as<std::uint64_t>();
    o.settings.boot = draw_boot();
    return o;
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
        return serve(read_options(parsed));
    }
    catch (const cxxopts::exceptions::exception& error) {
        fmt::print(stderr, "worker_standin: {}\n", error.what());
        return 2;
    }
}
