#include "support_child.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace skylarkhub::tests {

namespace {

namespace fs = std::filesystem;
using namespace std::chrono_literals;

constexpr auto poll_interval = 50ms;

std::string find_program(const std::string& name)
{
    const char* const folder = std::getenv("SKYLARKHUB_BIN");
    return fmt::format("{}/{}", folder == nullptr ? "." : folder, name);
}

std::string read_all(const fs::path& path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// What the caller blocks or ignores must not pass on to a program that waits for its stop signal.
pid_t spawn(const std::string& program, const std::vector<std::string>& arguments,
            const std::vector<std::string>& variables, const fs::path& out, const fs::path& log)
{
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, out.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    posix_spawn_file_actions_addopen(&files, STDERR_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    std::vector<std::string> words{program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (std::string& word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    std::vector<char*> variable_list;
    variable_list.reserve(variables.size() + 1);
    for (const std::string& variable : variables) {
        variable_list.push_back(const_cast<char*>(variable.c_str()));
    }
    for (char** inherited = environ; *inherited != nullptr; ++inherited) {
        variable_list.push_back(*inherited);
    }
    variable_list.push_back(nullptr);
    pid_t pid = -1;
    const int failed = posix_spawn(&pid, program.c_str(), &files, nullptr, argv.data(), variable_list.data());
    posix_spawn_file_actions_destroy(&files);
    if (failed != 0) {
        throw std::runtime_error("cannot start " + program);
    }
    return pid;
}

} // namespace

bool wait_for(const std::function<bool()>& reached)
{
    const auto end = std::chrono::steady_clock::now() + state_wait;
    while (!reached()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

fs::path make_folder()
{
    std::string name = (fs::temp_directory_path() / "skylarktest-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("no folder for the site");
    }
    return name;
}

child::child(const fs::path& folder, std::string name, const std::string& program,
             const std::vector<std::string>& arguments, const std::vector<std::string>& variables)
    : out_(folder / (name + ".out")),
      name_(std::move(name)),
      pid_(spawn(find_program(program), arguments, variables, out_, folder / (name_ + ".log")))
{}

child::~child()
{
    if (running()) {
        kill(pid_, SIGKILL);
        waitpid(pid_, &status_, 0);
    }
}

void child::signal(int number) const
{
    if (pid_ > 0) {
        kill(pid_, number);
    }
}

bool child::running()
{
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) {
        pid_ = -1;
    }
    return pid_ > 0;
}

int child::wait_end()
{
    const bool ended = wait_for([this] { return !running(); });
    return ended && WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
}

std::string child::output() const
{
    return read_all(out_);
}

std::vector<std::string> child::listening()
{
    std::vector<std::string> addresses;
    const bool told = wait_for([&] {
        // The line stands among those of the log.
        std::istringstream lines(output());
        std::string line;
        while (std::getline(lines, line) && !lines.eof()) {
            std::istringstream words(line);
            std::string word;
            words >> word;
            if (word != "listening") {
                continue;
            }
            while (words >> word) {
                addresses.push_back(word);
            }
            return true;
        }
        return !running();
    });
    if (!told || addresses.empty()) {
        throw std::runtime_error(name_ + " does not listen");
    }
    return addresses;
}

} // namespace skylarkhub::tests
