// Random choices within decisions. Abseil's generators mix a salt of the process into every seed, so no run of theirs
// can be had again from its seed; this one repeats, in 208 bytes of state, and serves Abseil's distributions.
#pragma once

#include <absl/random/distributions.h>

#include <cstdint>
#include <random>

namespace skylarkhub {

using random_source = std::ranlux24_base;

// The same seed gives the same choices in every process.
inline random_source make_random(std::uint64_t seed)
{
    std::seed_seq sequence{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32)};
    return random_source(sequence);
}

} // namespace skylarkhub
