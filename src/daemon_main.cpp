// skylarkhubd: one entry. Exit codes: 0 stopped as asked, 1 cannot start, 2 wrong use or settings.
#include <absl/debugging/failure_signal_handler.h>
#include <absl/debugging/symbolize.h>
#include <fmt/format.h>
#include <pthread.h>
#include <signal.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <sstream>

#include "../platform/settings_path.h"
#include "daemon_app_p.h"
#include "daemon_flow_app_p.h"
#include "log_line_p.h"

namespace {

using namespace skylarkhub;

constexpr int exit_cannot_start = 1;
constexpr int exit_usage = 2;

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Signals are taken by one waiting thread, so that no handler runs in the middle of anything.
sigset_t block_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return signals;
}

log_level parse_level(const std::string& name)
{
    if (name == "debug") {
        return log_level::debug;
    }
    if (name == "warning") {
        return log_level::warning;
    }
    return name == "error" ? log_level::error : log_level::info;
}

// Reads a settings file and says on standard error what is wrong with it; empty when anything is.
template <class Parse> auto read_settings(const std::string& path, std::string& text, Parse parse)
{
    std::vector<settings_problem> problems;
    const auto found = read_file(path);
    if (!found) {
        fmt::print(stderr, "skylarkhubd: {} cannot be read\n", path);
        return decltype(parse(text, problems))();
    }
    text = *found;
    auto settings = parse(text, problems);
    for (const settings_problem& p : problems) {
        fmt::print(stderr, "skylarkhubd: {}: {}: {}\n", path, p.path, p.reason);
    }
    return settings;
}

int run(const entry_settings& settings)
{
    const sigset_t signals = block_signals();
    set_log_level(parse_level(settings.log_level));
    std::string reason;
    auto app = daemon_app::start(settings, &reason);
    if (!app) {
        write_log(log_level::error, "entry", "cannot_start", {{"reason", reason}});
        return exit_cannot_start;
    }
    write_log(log_level::info, "entry", "listening",
              {{"entry", settings.name.str()},
               {"data_centre", settings.data_centre.str()},
               {"http", app->http_address().str()},
               {"peer", app->peer_address().str()}});
    fmt::print("listening {} {}\n", app->http_address().str(), app->peer_address().str());
    std::fflush(stdout);
    int taken = 0;
    do {
        sigwait(&signals, &taken);
    } while (taken == SIGHUP);
    app->stop();
    return 0;
}

// The platform replaces the settings file and may or may not say so by SIGHUP.
constexpr timespec main_wait{0, 250'000'000};
constexpr int waits_per_settings_poll = 4;

int run_on_platform(const std::string& path)
{
    const sigset_t signals = block_signals();
    std::string text; // of the settings in force
    const auto settings = read_settings(path, text, &parse_flow_settings);
    if (!settings) {
        return exit_usage;
    }
    std::string reason;
    auto app = flow_app::start(*settings, &reason);
    if (!app) {
        write_log(log_level::error, "entry", "cannot_start", {{"reason", reason}});
        return exit_cannot_start;
    }
    write_log(log_level::info, "entry", "started",
              {{"entry", settings->entry.str()}, {"data_centre", settings->data_centre.str()}});
    int waits = 0;
    while (true) {
        flush_log();
        const int taken = sigtimedwait(&signals, nullptr, &main_wait);
        if (taken == SIGTERM || taken == SIGINT) {
            break;
        }
        if (taken != SIGHUP && ++waits % waits_per_settings_poll != 0) {
            continue;
        }
        const std::string newer = read_file(path).value_or("");
        if (newer == text && taken != SIGHUP) {
            continue;
        }
        text = newer;
        std::vector<settings_problem> problems;
        const auto changed = parse_flow_settings(newer, problems);
        const char* const by = taken == SIGHUP ? "signal" : "change";
        if (!changed) {
            write_log(log_level::info, "settings", "unreadable", {{"by", by}, {"reason", format_problems(problems)}});
            continue;
        }
        write_log(log_level::info, "settings", "reloaded", {{"by", by}});
        app->change_settings(*changed);
    }
    app->stop();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    // A crash tells where, on standard error, before the process ends.
    absl::InitializeSymbolizer(argv[0]);
    absl::InstallFailureSignalHandler(absl::FailureSignalHandlerOptions());

    cxxopts::Options options("skylarkhubd", "One entry of skylarkhub: request path, control path and settings.");
    options.add_options()("platform", "run on the users' platform, which names the settings file")(
        "settings", "settings file (JSON), see docs/SETTINGS.md", cxxopts::value<std::string>())(
        "check", "check the settings file and exit")("version", "print the version and exit")("help",
                                                                                              "print this help");
    options.custom_help("--settings FILE [--check] | --platform");
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0) {
            fmt::print("{}\nExit codes: 0 stopped as asked, 1 cannot start, 2 wrong use or settings.\n",
                       options.help());
            return 0;
        }
        if (given.count("version") > 0) {
            fmt::print("skylarkhubd {}\n", SKYLARKHUB_VERSION);
            return 0;
        }
        if (given.count("platform") > 0) {
            const char* const path = std::getenv(platform::settings_path_variable);
            if (path == nullptr) {
                fmt::print(stderr, "skylarkhubd: {} is not set\n", platform::settings_path_variable);
                return exit_usage;
            }
            return run_on_platform(path);
        }
        if (given.count("settings") == 0) {
            fmt::print(stderr, "skylarkhubd: --settings FILE is missing; see --help\n");
            return exit_usage;
        }
        const std::string path = given["settings"].as<std::string>();
        std::string text;
        const auto settings = read_settings(path, text, &parse_entry_settings);
        if (!settings) {
            return exit_usage;
        }
        if (given.count("check") > 0) {
            fmt::print("{}: no mistakes\n", path);
            return 0;
        }
        return run(*settings);
    }
    catch (const cxxopts::exceptions::exception& error) {
        fmt::print(stderr, "skylarkhubd: {}; see --help\n", error.what());
        return exit_usage;
    }
}
