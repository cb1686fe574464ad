#include "review_children.h"

#include <absl/strings/str_replace.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace skylarkhub::review {

namespace {

using nlohmann::json;

constexpr int peers_port = 7720;
constexpr int row_bytes = 65'536;

} // namespace

entries::entries(std::string folder, std::string program, const std::string& settings_template)
    : folder_(std::move(folder)), program_(std::move(program))
{
    const std::ifstream file(settings_template);
    std::ostringstream text;
    text << file.rdbuf();
    template_ = text.str();
    if (template_.empty()) {
        throw std::runtime_error(settings_template + " cannot be read");
    }
}

entries::~entries()
{
    for (const pid_t pid : processes_) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
}

std::string entries::render(const entry_place& place) const
{
    const std::map<std::string, json> values{
        {"node-name", place.name},
        {"zone", place.zone},
        {"ip", place.ip},
        {"listen-addrs.front", place.callers().str()},
        {"listen-addrs.ready-addr", place.readiness().str()},
        {"port-range.0", peers_port},
        {"platform.address", place.table.str()},
        {"recommendation", nullptr},
        {"cloud-api.address", nullptr},
        {"limits.cores", 1},
        {"limits.cpu-share", 1},
        {"limits.memory-mb", 260},
        {"limits.max-fds", 4100},
        {"platform.row-bytes", row_bytes},
    };
    std::string text = template_;
    for (const auto& [name, value] : values) {
        const std::string plain = value.is_string() ? value.get<std::string>() : value.dump();
        text = absl::StrReplaceAll(text, {{"{{" + name + "|json}}", value.dump()}, {"{{" + name + "}}", plain}});
    }
    return text;
}

int entries::start(const entry_place& place)
{
    processes_.push_back(spawn(place));
    places_.push_back(place);
    return count() - 1;
}

void entries::restart(int number, duration down)
{
    pid_t& process = processes_.at(static_cast<std::size_t>(number));
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
    std::this_thread::sleep_for(down);
    process = spawn(place(number));
}

std::int64_t entries::memory_bytes(int number) const
{
    std::ifstream file(fmt::format("/proc/{}/statm", processes_.at(static_cast<std::size_t>(number))));
    std::int64_t size = 0;
    std::int64_t resident = 0;
    return file >> size >> resident ? resident * sysconf(_SC_PAGESIZE) : 0;
}

pid_t entries::spawn(const entry_place& place) const
{
    const std::string settings = fmt::format("{}/{}.json", folder_, place.name);
    const std::string log = fmt::format("{}/{}.log", folder_, place.name);
    std::ofstream(settings) << render(place);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    std::string argument = "--platform";
    std::string variable = "SKYLARKHUB_NODE_FILE=" + settings;
    std::string path = std::string("PATH=") + (std::getenv("PATH") == nullptr ? "" : std::getenv("PATH"));
    std::string program = program_;
    char* const argv[] = {program.data(), argument.data(), nullptr};
    char* const variables[] = {variable.data(), path.data(), nullptr};
    pid_t pid = -1;
    const int failed = posix_spawn(&pid, program.c_str(), &files, nullptr, argv, variables);
    posix_spawn_file_actions_destroy(&files);
    if (failed != 0) {
        throw std::runtime_error("cannot start " + program_);
    }
    return pid;
}

void entries::signal(int number, int signal_number) const
{
    kill(processes_.at(static_cast<std::size_t>(number)), signal_number);
}

bool entries::lives(int number) const
{
    return kill(processes_.at(static_cast<std::size_t>(number)), 0) == 0;
}

} // namespace skylarkhub::review
