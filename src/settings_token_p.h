// Tokens of operators. The settings hold only digests; a token itself is never stored or logged.
#pragma once

#include <string>
#include <string_view>

namespace skylarkhub {

// SHA-256 in lower-case hexadecimal.
std::string hash_token(std::string_view token);

// Compares in constant time, so that the time of a refusal tells nothing about how much of a token was right.
bool token_matches(std::string_view token, std::string_view sha256_hex);

} // namespace skylarkhub
