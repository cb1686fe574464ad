// Child processes of tests. Each is ended by its own id, whatever it is doing then.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

namespace skylarkhub::tests {

// How long a state is waited for before the test fails. Far above what any of them needs, since machines may be busy.
inline constexpr std::chrono::seconds state_wait{60};

// Asks every few milliseconds until `reached` says so; false when it never did within state_wait.
bool wait_for(const std::function<bool()>& reached);

// A new folder for what a test's processes write.
std::filesystem::path make_folder();

// One child process with its standard output and error in files of `folder`.
class child {
public:
    // `variables`, each NAME=VALUE, go before those of this process.
    child(const std::filesystem::path& folder, std::string name, const std::string& program,
          const std::vector<std::string>& arguments, const std::vector<std::string>& variables = {});
    ~child(); // kills it and waits for its end
    child(const child&) = delete;
    child& operator=(const child&) = delete;

    void signal(int number) const;
    bool running();
    // -1 once it has ended.
    pid_t id() const { return pid_; }
    // The exit status once it has ended by itself; -1 when it was ended by a signal or did not end within state_wait.
    int wait_end();
    std::string output() const;
    // What it printed after "listening ", one address or two; waits for it.
    std::vector<std::string> listening();

private:
    std::filesystem::path out_;
    std::string name_;
    pid_t pid_ = -1;
    int status_ = 0;
};

} // namespace skylarkhub::tests
