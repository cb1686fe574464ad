// HTTP calls of callers and operators: routes as a table, answers as JSON, errors that name field and reason.
#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "http_message_p.h"
#include "http_server_p.h"

namespace skylarkhub {

http_response make_json(int status, const nlohmann::json& body);
http_response make_error(int status, const std::string& error, const std::string& field, const std::string& reason);

// The parts of a path that matched the `*` of a route, decoded.
using path_parts = std::vector<std::string>;
using route_handler = std::function<void(const path_parts&, http_request, http_reply)>;

struct api_route {
    std::string method;
    std::string pattern; // "/v1/jobs/*": each `*` takes one part; a last `**` takes the rest, slashes included
    route_handler handler;
};

class api_router {
public:
    explicit api_router(std::vector<api_route> routes) : routes_(std::move(routes)) {}

    // Answers 404 for an unknown path and 405 for a known one with another method.
    void serve(http_request request, http_reply reply) const;

private:
    std::vector<api_route> routes_;
};

} // namespace skylarkhub
