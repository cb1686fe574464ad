// Small numbers for the strings that placement learns by, so that its tables and loops carry no strings.
#pragma once

#include <boost/functional/hash.hpp>

#include <cstdint>
#include <string>

namespace skylarkhub::detail {

using name_index = std::uint32_t;
inline constexpr int name_bits = 30;
inline constexpr name_index any_name = 0; // stands for all of them in tables that shrink towards a common value

// The same for the same text in every process. A table of names would grow with every job that ever ran; two names that
// meet in one number, about one pair in 30,000 names, only share what is learned about them.
inline name_index index_of(const std::string& text)
{
    constexpr std::size_t numbers = (std::size_t{1} << name_bits) - 1;
    return static_cast<name_index>(1 + boost::hash<std::string>{}(text) % numbers);
}

} // namespace skylarkhub::detail
