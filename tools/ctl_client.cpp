#include <absl/random/random.h>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <thread>

#include "ctl_p.h"
#include "settings_parse_p.h"

namespace skylarkhub::ctl {

namespace {

constexpr int status_unknown = 504;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_over_limit = 429;

constexpr duration least_pause = std::chrono::milliseconds(200);
constexpr duration most_pause = std::chrono::seconds(5);

std::string make_operation_key()
{
    absl::BitGen random;
    return fmt::format("{:016x}{:016x}", absl::Uniform<std::uint64_t>(random), absl::Uniform<std::uint64_t>(random));
}

std::string reason_of(const http_result& result, const nlohmann::json& body)
{
    if (!result.answered) {
        return result.reason;
    }
    if (body.is_object() && body.contains("reason")) {
        const std::string field = text_of(body, "field");
        return field.empty() ? text_of(body, "reason") : field + ": " + text_of(body, "reason");
    }
    return fmt::format("status {}", result.status);
}

call_outcome judge(const http_result& result)
{
    if (!result.answered) {
        return result.may_have_arrived ? call_outcome::unknown : call_outcome::unreachable;
    }
    if (result.status == status_unknown || result.status == status_bad_gateway) {
        return call_outcome::unknown;
    }
    return result.status >= 200 && result.status < 300 ? call_outcome::ok : call_outcome::refused;
}

std::vector<net_address> parse_entries(const cxxopts::ParseResult& flags)
{
    std::vector<net_address> entries;
    if (flags.count("entry") > 0) {
        for (const std::string& text : flags["entry"].as<std::vector<std::string>>()) {
            if (!is_net_address(text)) {
                throw usage_error{fmt::format("--entry {}: must be IP:port", text)};
            }
            entries.emplace_back(text);
        }
    }
    if (entries.empty()) {
        throw usage_error{"--entry IP:port is needed, one or more"};
    }
    return entries;
}

std::string read_token(const cxxopts::ParseResult& flags)
{
    if (flags.count("token-file") == 0) {
        return "";
    }
    std::string token = read_file(flags["token-file"].as<std::string>());
    while (!token.empty() && std::isspace(static_cast<unsigned char>(token.back())) != 0) {
        token.pop_back();
    }
    return token;
}

call_answer read_answer(const http_result& result, const net_address& entry)
{
    call_answer answer;
    answer.outcome = judge(result);
    answer.status = result.status;
    answer.body = nlohmann::json::parse(result.body, nullptr, false);
    if (answer.body.is_discarded()) {
        answer.body = nullptr;
    }
    answer.reason = fmt::format("{}: {}", entry.str(), reason_of(result, answer.body));
    int retry_after_ms = 0;
    const std::string_view asked = find_field(result.headers, "retry-after-ms");
    std::from_chars(asked.data(), asked.data() + asked.size(), retry_after_ms);
    answer.retry_after = std::chrono::milliseconds(retry_after_ms);
    return answer;
}

bool is_settled(const call_answer& answer)
{
    const bool later = answer.status == status_unavailable || answer.status == status_over_limit;
    return answer.outcome == call_outcome::ok || (answer.outcome == call_outcome::refused && !later);
}

// An answer that leaves open what was done tells more than a refusal, and that more than silence.
int rank_of(const call_answer& answer)
{
    switch (answer.outcome) {
    case call_outcome::unreachable:
        return 0;
    case call_outcome::refused:
    case call_outcome::ok:
        return 1;
    case call_outcome::unknown:
        break;
    }
    return 2;
}

} // namespace

entry_caller::entry_caller(options o) : options_(std::move(o))
{
    if (options_.operation_key.empty()) {
        options_.operation_key = make_operation_key();
    }
}

call_answer entry_caller::get(const std::string& target)
{
    http_call request;
    request.target = target;
    return call(request);
}

call_answer entry_caller::change(const std::string& method, const std::string& target, const std::string& body,
                                 const std::string& part)
{
    http_call request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.headers = {{"Operation-Key", options_.operation_key + (part.empty() ? "" : "/" + part)},
                       {"Author", options_.author},
                       {"Content-Type", "application/json"}};
    return call(request);
}

// Goes round the entries again while they say "later" or do not know, until `wait` is over. A try whose answer was lost
// may have been done, or may be yet: after one, only a later definite answer to the same key can say otherwise, and
// "not available" is none.
call_answer entry_caller::call(const http_call& request)
{
    http_call tried = request;
    if (!options_.token.empty()) {
        tried.headers.emplace_back("Authorization", "Bearer " + options_.token);
    }
    tried.timeout = options_.timeout;
    const auto give_up = std::chrono::steady_clock::now() + options_.wait;
    bool lost = false;
    while (true) {
        call_answer answer = ask_all(tried);
        if (is_settled(answer)) {
            return answer;
        }
        lost = lost || answer.outcome == call_outcome::unknown;
        const duration pause = std::clamp(answer.retry_after, least_pause, most_pause);
        if (answer.outcome == call_outcome::unreachable || std::chrono::steady_clock::now() + pause > give_up) {
            answer.outcome = lost && request.method != "GET" ? call_outcome::unknown : answer.outcome;
            return answer;
        }
        std::this_thread::sleep_for(pause);
    }
}

// Asks one entry after the other until one settles the matter; else the most telling answer.
call_answer entry_caller::ask_all(http_call& request)
{
    call_answer kept;
    for (const net_address& entry : options_.entries) {
        request.address = entry;
        call_answer answer = read_answer(http_.call(request), entry);
        if (is_settled(answer)) {
            return answer;
        }
        if (rank_of(answer) >= rank_of(kept)) {
            kept = std::move(answer);
        }
    }
    return kept;
}

entry_caller& context::entries()
{
    if (!caller) {
        entry_caller::options o;
        o.entries = parse_entries(flags);
        o.token = read_token(flags);
        o.author = flags["author"].as<std::string>();
        o.timeout = std::chrono::milliseconds(flags["timeout-ms"].as<std::int64_t>());
        o.wait = std::chrono::milliseconds(flags["wait-ms"].as<std::int64_t>());
        if (flags.count("operation-key") > 0) {
            o.operation_key = flags["operation-key"].as<std::string>();
        }
        caller.emplace(std::move(o));
    }
    return *caller;
}

} // namespace skylarkhub::ctl
