// The stand-in for the platform as a program: it keeps everything in memory and forgets it when it stops.
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <thread>

#include "platform_service_p.h"

namespace {

// Blocks the signals that stop the program in all threads to come; the main thread then waits for one.
sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int serve(const skylarkhub::standin::platform_service::options& options)
{
    const sigset_t signals = block_stop_signals();
    std::string reason;
    const auto service = skylarkhub::standin::platform_service::start(options, &reason);
    if (!service) {
        fmt::print(stderr, "platform_standin: {}\n", reason);
        return 1;
    }
    fmt::print("listening {}\n", service->address().str());
    std::fflush(stdout);
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("platform_standin", "Stand-in for the platform: table, object store, instance list");
    options.add_options()("address", "IP:port to listen on; port 0 takes a free one",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "list-lag-ms", "Age of the instance list, in milliseconds",
        cxxopts::value<std::int64_t>()->default_value("2000"))("help", "Print this text");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            fmt::print("{}\n", options.help());
            return 0;
        }
        return serve({.address = skylarkhub::net_address(parsed["address"].as<std::string>()),
                      .list_lag = std::chrono::milliseconds(parsed["list-lag-ms"].as<std::int64_t>())});
    }
    catch (const cxxopts::exceptions::exception& error) {
        fmt::print(stderr, "platform_standin: {}\n", error.what());
        return 2;
    }
}
