#include "settings_token_p.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>

namespace skylarkhub {

std::string hash_token(std::string_view token)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (EVP_Digest(token.data(), token.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
        return "";
    }
    return absl::BytesToHexString(std::string(reinterpret_cast<const char*>(digest.data()), length));
}

bool token_matches(std::string_view token, std::string_view sha256_hex)
{
    const std::string expected = absl::AsciiStrToLower(std::string(sha256_hex));
    const std::string found = hash_token(token);
    return !found.empty() && found.size() == expected.size() &&
           CRYPTO_memcmp(found.data(), expected.data(), found.size()) == 0;
}

} // namespace skylarkhub
