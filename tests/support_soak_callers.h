// Callers of a soak: each hands jobs in, asks for their state and cancels some, over connections that it keeps.
#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "base_random_p.h"
#include "http_client_p.h"
#include "support_soak_checks.h"

namespace skylarkhub::tests {

class soak_caller {
public:
    soak_caller(std::uint64_t seed, std::vector<net_address> entries, soak_checks& checks);
    ~soak_caller();
    soak_caller(const soak_caller&) = delete;
    soak_caller& operator=(const soak_caller&) = delete;

    // Begins no new jobs from now on, and returns when its last call has ended.
    void stop();
    // What some entry says of a job, whoever handed it in; empty when it says nothing.
    std::string ask_state(const std::string& job);

private:
    void run();
    soak_job make_job();
    hand_in submit(const soak_job& job);
    void cancel_some();
    void ask_about_some();
    http_result call(const std::string& method, const std::string& job, const std::string& body);

    random_source random_;
    std::vector<net_address> entries_;
    soak_checks& checks_;
    http_client http_;
    std::vector<soak_job> accepted_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace skylarkhub::tests
