// Plain HTTP messages, shared by the client and the server. Header names are in lower case.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkhub {

using http_fields = std::vector<std::pair<std::string, std::string>>;

// The first value under `name`, empty when there is none.
std::string_view find_field(const http_fields& fields, std::string_view name);

// Percent-encodes a part of a path or a query.
std::string encode_url_part(std::string_view part);

struct http_request {
    std::string method;
    std::string path; // decoded, without the query
    http_fields query;
    http_fields headers;
    std::string body;
};

// The status of a response that closes the connection unanswered; the stand-ins' way to lose an answer.
inline constexpr int http_status_close = 0;

struct http_response {
    int status = 200;
    http_fields headers;
    std::string body;
};

} // namespace skylarkhub
