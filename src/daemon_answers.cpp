#include "daemon_answers_p.h"

namespace skylarkhub {

namespace {

constexpr std::string_view bearer = "Bearer ";
constexpr const char* retry_after_ms = "1000";
constexpr std::size_t key_bytes_most = 128;

} // namespace

http_response answer_not_done(int status, const std::string& error, const std::string& field, const std::string& reason)
{
    http_response response = make_error(status, error, field, reason);
    response.headers.emplace_back("Outcome", "did-not-run");
    if (status == 503 || status == 429) {
        response.headers.emplace_back("Retry-After-Ms", retry_after_ms);
    }
    return response;
}

http_response answer_without_settings()
{
    return answer_not_done(503, "unavailable", "", "this entry has not read the settings yet");
}

http_response answer_problems(int status, const std::vector<field_error>& errors)
{
    nlohmann::json list = nlohmann::json::array();
    for (const field_error& e : errors) {
        list.push_back({{"document", ""}, {"path", e.field}, {"reason", e.reason}});
    }
    nlohmann::json body{{"error", "bad_request"}, {"field", errors.front().field}, {"reason", errors.front().reason}};
    body["problems"] = list;
    http_response response = make_json(status, body);
    response.headers.emplace_back("Outcome", "did-not-run");
    return response;
}

http_response answer_table_failure(const table_result& result)
{
    if (result.outcome == table_outcome::unknown) {
        http_response response =
            make_error(504, "unknown", "", "the table did not answer; ask again with the same key");
        response.headers.emplace_back("Outcome", "unknown");
        return response;
    }
    return answer_not_done(503, "unavailable", "", "the table refused: " + result.reason);
}

std::string read_token(const http_request& request)
{
    const std::string_view header = find_field(request.headers, "authorization");
    return std::string(header.starts_with(bearer) ? header.substr(bearer.size()) : std::string_view());
}

std::string read_operation_key(const http_request& request)
{
    const std::string_view key = find_field(request.headers, "operation-key");
    return key.size() > key_bytes_most ? std::string() : std::string(key);
}

} // namespace skylarkhub
