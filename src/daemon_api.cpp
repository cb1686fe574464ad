#include "daemon_api_p.h"

#include <optional>

namespace skylarkhub {

namespace {

std::vector<std::string_view> split_path(std::string_view path)
{
    std::vector<std::string_view> parts;
    std::size_t from = 1;
    while (from <= path.size()) {
        const std::size_t slash = path.find('/', from);
        const std::size_t end = slash == std::string_view::npos ? path.size() : slash;
        parts.push_back(path.substr(from, end - from));
        from = end + 1;
    }
    return parts;
}

std::optional<path_parts> match_path(std::string_view pattern, std::string_view path)
{
    const auto wanted = split_path(pattern);
    const auto given = split_path(path);
    path_parts out;
    for (std::size_t i = 0; i < wanted.size(); ++i) {
        if (i >= given.size()) {
            return std::nullopt;
        }
        if (wanted[i] == "**") {
            const auto offset = static_cast<std::size_t>(given[i].data() - path.data());
            out.emplace_back(path.substr(offset));
            return out;
        }
        if (wanted[i] == "*" && !given[i].empty()) {
            out.emplace_back(given[i]);
        }
        else if (wanted[i] != given[i]) {
            return std::nullopt;
        }
    }
    if (wanted.size() != given.size()) {
        return std::nullopt;
    }
    return out;
}

} // namespace

http_response make_json(int status, const nlohmann::json& body)
{
    http_response response;
    response.status = status;
    response.headers = {{"Content-Type", "application/json"}};
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

http_response make_error(int status, const std::string& error, const std::string& field, const std::string& reason)
{
    return make_json(status, {{"error", error}, {"field", field}, {"reason", reason}});
}

void api_router::serve(http_request request, http_reply reply) const
{
    bool path_known = false;
    for (const api_route& route : routes_) {
        const auto parts = match_path(route.pattern, request.path);
        if (!parts) {
            continue;
        }
        path_known = true;
        if (route.method == request.method) {
            route.handler(*parts, std::move(request), std::move(reply));
            return;
        }
    }
    if (path_known) {
        reply(make_error(405, "method_not_allowed", "method", request.method + " is not served at " + request.path));
        return;
    }
    reply(make_error(404, "unknown_path", "path", "nothing is served at " + request.path));
}

} // namespace skylarkhub
