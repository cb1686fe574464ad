#include "target_client_p.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace skylarkhub {

namespace {

constexpr int status_ok = 200;
constexpr int status_refused = 503;

bool is_header_value(const std::string& text)
{
    return std::none_of(text.begin(), text.end(), [](unsigned char c) { return c < ' ' || c == 0x7f; });
}

// The one value under `name`; empty when there is none or when several disagree.
std::optional<std::string> find_only(const http_fields& fields, std::string_view name)
{
    std::optional<std::string> value;
    for (const auto& [key, text] : fields) {
        if (key != name) {
            continue;
        }
        if (value && *value != text) {
            return std::nullopt;
        }
        value = text;
    }
    return value;
}

std::optional<std::int64_t> read_count(const std::optional<std::string>& text)
{
    std::int64_t count = 0;
    if (!text) {
        return std::nullopt;
    }
    const char* const end = text->data() + text->size();
    const auto [stop, error] = std::from_chars(text->data(), end, count);
    if (error != std::errc() || stop != end || count < 0) {
        return std::nullopt;
    }
    return count;
}

// A body without its length ends where the connection does, so that a short one would look whole.
bool has_whole_body(const http_result& result)
{
    const auto length = read_count(find_only(result.headers, "content-length"));
    const bool framed_otherwise = !find_field(result.headers, "transfer-encoding").empty();
    return length && *length == static_cast<std::int64_t>(result.body.size()) && !framed_otherwise;
}

// Several ids that disagree name no request, and must not pass for an answer that names none.
std::string read_request_id(const http_result& result)
{
    const bool named = std::any_of(result.headers.begin(), result.headers.end(),
                                   [](const auto& field) { return field.first == "request-id"; });
    return named ? find_only(result.headers, "request-id").value_or("several") : "";
}

target_reply read_reply(const http_result& result)
{
    target_reply reply;
    reply.answered = result.answered && (result.status != status_ok || has_whole_body(result));
    reply.may_have_arrived = result.may_have_arrived;
    reply.status = result.status;
    reply.request_id = read_request_id(result);
    reply.did_not_run = find_only(result.headers, "did-not-run") == "true";
    // On a kept connection, a refusal that names nobody may be the second answer to the call before.
    if (result.kept_connection && reply.request_id.empty()) {
        reply.did_not_run = false;
    }
    return reply;
}

std::string explain(const http_result& result, const target_reply& reply, const std::string& request_id)
{
    if (!result.answered) {
        return result.reason;
    }
    if (reply.did_not_run && reply.status == status_refused) {
        return "target refused";
    }
    if (result.status != status_ok) {
        return "target answered status " + std::to_string(result.status);
    }
    return reply.request_id != request_id ? "answer is for another request" : "answer is not whole";
}

target_answer read_answer(http_result result, const std::string& request_id)
{
    const target_reply reply = read_reply(result);
    target_answer answer;
    answer.outcome = judge_reply(reply, request_id);
    if (answer.outcome == send_outcome::done) {
        answer.body = std::move(result.body);
        return answer;
    }
    answer.reason = explain(result, reply, request_id);
    constexpr std::int64_t retry_after_ms_most = 3600 * 1000;
    const std::int64_t retry_ms = read_count(find_only(result.headers, "retry-after-ms")).value_or(0);
    answer.retry_after = std::chrono::milliseconds(std::min(retry_ms, retry_after_ms_most));
    return answer;
}

http_call make_call(target_request& request)
{
    const auto left_ms = std::chrono::duration_cast<std::chrono::milliseconds>(request.time_left).count();
    http_call call{.method = "POST", .address = request.address, .target = "/run"};
    call.headers = {{"Request-Id", request.request_id}, {"Deadline-Ms", std::to_string(left_ms)}};
    if (!request.idempotency_key.empty()) {
        call.headers.emplace_back("Idempotency-Key", request.idempotency_key);
    }
    call.headers.emplace_back("Content-Type", "application/octet-stream");
    call.body = std::move(request.body);
    call.timeout = request.time_left;
    call.answer_bytes_most = request.answer_bytes_most;
    call.send_once = request.send_once;
    return call;
}

} // namespace

void send_to_target(http_client& http, target_request request, std::function<void(target_answer)> done)
{
    // A line break in a caller's key would smuggle headers of its own into the request.
    if (!is_header_value(request.request_id) || !is_header_value(request.idempotency_key)) {
        done({.outcome = send_outcome::not_sent, .reason = "key is no header value"});
        return;
    }
    http.send(make_call(request), [id = request.request_id, done = std::move(done)](http_result result) {
        done(read_answer(std::move(result), id));
    });
}

void check_target(http_client& http, const net_address& address, duration timeout,
                  std::function<void(probe_outcome)> done)
{
    http_call call{.address = address, .target = "/healthz"};
    call.timeout = timeout;
    http.send(std::move(call), [done = std::move(done)](const http_result& result) {
        const bool healthy = result.answered && result.status == status_ok;
        const bool leaving = result.answered && result.status == status_refused;
        done(healthy ? probe_outcome::healthy : leaving ? probe_outcome::leaving : probe_outcome::unreachable);
    });
}

} // namespace skylarkhub
