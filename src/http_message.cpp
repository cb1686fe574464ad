#include "http_message_p.h"

#include <fmt/format.h>

#include <cctype>

namespace skylarkhub {

std::string_view find_field(const http_fields& fields, std::string_view name)
{
    for (const auto& [key, value] : fields) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

std::string encode_url_part(std::string_view part)
{
    std::string out;
    for (const char c : part) {
        if (std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            out += c;
        }
        else {
            out += fmt::format("%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return out;
}

} // namespace skylarkhub
