// The random engine of routing: small, as each service has its own, and the same in every process for one seed, which
// Abseil's engines are not.
#pragma once

#include <cstdint>
#include <random>

namespace skylarkhub {

using route_random = std::minstd_rand;

inline route_random make_route_random(std::uint64_t seed)
{
    std::seed_seq sequence{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32U)};
    return route_random(sequence);
}

} // namespace skylarkhub
