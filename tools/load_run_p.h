// An open loop of requests: they leave at times drawn beforehand, whether or not earlier ones have been answered, so
// that a stalled server cannot hide its delay by slowing its callers down.
#pragma once

#include <string>
#include <vector>

#include "load_tally_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::load {

struct load_options {
    std::vector<net_address> entries;
    team_id team;
    std::string service;
    double rate = 100; // requests a second in all, with exponential gaps
    double seconds = 10;
    long connections = 64; // to each entry at most
    duration deadline{std::chrono::seconds(1)};
    std::size_t body_bytes = 64;
    bool keys = false; // sends Idempotency-Key load-SEED-NUMBER
    std::uint64_t seed = 1;
};

// Runs to its end and waits for every answer, at most a second beyond the last deadline.
load_tally run_load(const load_options& options);

} // namespace skylarkhub::load
