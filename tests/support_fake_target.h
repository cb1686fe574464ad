// A target on a raw socket that answers byte for byte what a test wants, whole or broken.
#pragma once

#include <absl/synchronization/mutex.h>

#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::test {

enum class after_answer { keep, close, reset };

// What is sent once a request has been read whole; "{id}" stands for its Request-Id. Without bytes nothing is sent.
struct fake_answer {
    std::optional<std::string> bytes;
    after_answer after = after_answer::keep;
    duration body_gap{0}; // between any two bytes of the body; 0: all at once
};

// An answer as docs/PROTOCOLS.md has it; `more_headers` are whole lines.
std::string whole_answer(const std::string& body, const std::string& id = "{id}", const std::string& more_headers = "");
std::string refusal(const std::string& id_line = "Request-Id: {id}\r\n");

class fake_target {
public:
    // `number` counts the requests from 1.
    using script = std::function<fake_answer(int number)>;

    explicit fake_target(script s, bool accepts = true);
    ~fake_target();
    fake_target(const fake_target&) = delete;
    fake_target& operator=(const fake_target&) = delete;

    net_address address() const;
    int requests_read() const; // whole ones
    int connections() const;
    std::string last_request() const;

private:
    void accept_all();
    void serve(int connection);
    bool answer(int connection, const std::string& request);
    static void send_slowly(int connection, const std::string& bytes, duration gap);

    script script_;
    int listener_ = -1;
    std::string address_;
    mutable absl::Mutex mutex_;
    std::vector<int> open_ ABSL_GUARDED_BY(mutex_);
    std::vector<std::thread> threads_ ABSL_GUARDED_BY(mutex_);
    int requests_ ABSL_GUARDED_BY(mutex_) = 0;
    std::string last_request_ ABSL_GUARDED_BY(mutex_);
    std::thread accepter_;
};

} // namespace skylarkhub::test
