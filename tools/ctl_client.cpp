#include <absl/random/random.h>
#include <fmt/format.h>

#include "ctl_p.h"
#include "settings_parse_p.h"

namespace skylarkhub::ctl {

namespace {

constexpr int status_unknown = 504;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;

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
    return call(std::move(request));
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
    return call(std::move(request));
}

// Tries one entry after the other until one gives an answer that settles the matter. A try whose answer was lost may
// have been done, or may be yet: after one, only a later definite answer to the same key can say otherwise, and "not
// available" is none.
call_answer entry_caller::call(http_call request)
{
    if (!options_.token.empty()) {
        request.headers.emplace_back("Authorization", "Bearer " + options_.token);
    }
    request.timeout = options_.timeout;
    bool lost = false;
    call_answer last;
    for (const net_address& entry : options_.entries) {
        request.address = entry;
        const http_result result = http_.call(request);
        call_answer answer;
        answer.outcome = judge(result);
        answer.status = result.status;
        answer.body = nlohmann::json::parse(result.body, nullptr, false);
        if (answer.body.is_discarded()) {
            answer.body = nullptr;
        }
        answer.reason = fmt::format("{}: {}", entry.str(), reason_of(result, answer.body));
        if (answer.outcome == call_outcome::ok ||
            (answer.outcome == call_outcome::refused && answer.status != status_unavailable)) {
            return answer;
        }
        lost = lost || answer.outcome == call_outcome::unknown;
        if (last.outcome == call_outcome::unreachable || answer.outcome != call_outcome::unreachable) {
            last = answer;
        }
    }
    if (lost && request.method != "GET") {
        last.outcome = call_outcome::unknown;
    }
    return last;
}

entry_caller& context::entries()
{
    if (!caller) {
        entry_caller::options o;
        o.entries = parse_entries(flags);
        o.token = read_token(flags);
        o.author = flags["author"].as<std::string>();
        o.timeout = std::chrono::milliseconds(flags["timeout-ms"].as<std::int64_t>());
        if (flags.count("operation-key") > 0) {
            o.operation_key = flags["operation-key"].as<std::string>();
        }
        caller.emplace(std::move(o));
    }
    return *caller;
}

} // namespace skylarkhub::ctl
