// A soak: real entries, callers and faults from a seed, in series and overlapping, while the product's promises are
// checked. docs/soak.md tells what is played and which promises are looked at.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "support_soak_checks.h"

namespace skylarkhub::tests {

struct soak_options {
    std::uint64_t seed = 1;
    std::chrono::seconds length{30}; // of the time with faults; starting and settling take some 20 s more
    int entries = 0;                 // 0: the seed decides
    int workers = 0;                 // 0: the seed decides
    bool evacuations = false;        // of data centres, of which there are two at least
    const std::atomic<bool>* interrupted = nullptr; // set: the soak ends at once, with an exception
};

struct soak_report {
    std::vector<std::string> broken; // promises, in words; empty when none
    soak_counts counts;
    std::string folder; // with the entries' logs; kept when something is broken
};

soak_report run_soak(const soak_options& options);

} // namespace skylarkhub::tests
