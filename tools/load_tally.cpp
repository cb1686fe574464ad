#include "load_tally_p.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace skylarkhub::load {

namespace {

constexpr int status_ok = 200;
constexpr std::size_t detail_bytes_most = 200;

judged_answer malformed(const http_result& result, const std::string& what)
{
    return {load_outcome::unknown, answer_fault::malformed, fmt::format("{}, status {}", what, result.status)};
}

judged_answer judge_done(const http_result& result, const std::string& expected)
{
    if (result.status != status_ok) {
        return malformed(result, "done without status 200");
    }
    if (result.body == expected) {
        return {load_outcome::done, answer_fault::none, {}};
    }
    const bool cut = result.body.size() < expected.size() && expected.compare(0, result.body.size(), result.body) == 0;
    const std::string detail =
        fmt::format("expected \"{}\", got \"{}\"", expected, result.body.substr(0, detail_bytes_most));
    return {load_outcome::done, cut ? answer_fault::cut : answer_fault::crossed, detail};
}

struct latency_line {
    const char* name;
    double quantile;
};
constexpr std::array<latency_line, 3> latency_lines{{{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}}};

std::string format_latencies(const char* title, const std::vector<std::int64_t>& values)
{
    std::string line = fmt::format("{:<12}", title);
    for (const latency_line& l : latency_lines) {
        line += fmt::format(" {} {:.2f}", l.name, static_cast<double>(find_quantile(values, l.quantile)) / 1000);
    }
    return line + " ms\n";
}

nlohmann::json latencies_json(const std::vector<std::int64_t>& values)
{
    nlohmann::json out;
    for (const latency_line& l : latency_lines) {
        out[l.name] = find_quantile(values, l.quantile);
    }
    return out;
}

} // namespace

judged_answer judge_answer(const http_result& result, const std::string& expected)
{
    if (!result.answered) {
        return {result.may_have_arrived ? load_outcome::unknown : load_outcome::did_not_run,
                answer_fault::none,
                {},
                "no_connection"};
    }
    const auto outcome = find_field(result.headers, "outcome");
    if (outcome == "done") {
        return judge_done(result, expected);
    }
    if (outcome != "did-not-run" && outcome != "unknown") {
        return malformed(result, "no known outcome");
    }
    if (result.status == status_ok) {
        return malformed(result, "status 200 without being done");
    }
    const auto body = nlohmann::json::parse(result.body, nullptr, false);
    const std::string refusal = body.is_object() ? body.value("error", "unnamed") : "unnamed";
    return {outcome == "unknown" ? load_outcome::unknown : load_outcome::did_not_run, answer_fault::none, {}, refusal};
}

void load_tally::add(const judged_answer& answer, duration latency, duration deadline)
{
    all_us.push_back(latency.count());
    crossed += answer.fault == answer_fault::crossed ? 1 : 0;
    cut += answer.fault == answer_fault::cut ? 1 : 0;
    malformed += answer.fault == answer_fault::malformed ? 1 : 0;
    if (answer.fault != answer_fault::none && first_fault.empty()) {
        first_fault = answer.detail;
    }
    switch (answer.outcome) {
    case load_outcome::done:
        ++done;
        late += latency > deadline ? 1 : 0;
        done_us.push_back(latency.count());
        break;
    case load_outcome::did_not_run:
        ++refusals[answer.refusal];
        ++did_not_run;
        break;
    case load_outcome::unknown:
        ++unknown;
        break;
    }
}

std::int64_t find_quantile(std::vector<std::int64_t> values, double quantile)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::ptrdiff_t>(std::ceil(quantile * static_cast<double>(values.size()))) - 1;
    const auto at = values.begin() + std::clamp<std::ptrdiff_t>(rank, 0, std::ssize(values) - 1);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

std::string format_text(const load_tally& tally)
{
    std::string text = fmt::format("sent {}\ndone {} (late {})\ndid-not-run {}\nunknown {}\n", tally.sent, tally.done,
                                   tally.late, tally.did_not_run, tally.unknown);
    text += fmt::format("wrong answers {} (crossed {}, cut {}, malformed {})\n", tally.wrong(), tally.crossed,
                        tally.cut, tally.malformed);
    if (!tally.first_fault.empty()) {
        text += "first wrong answer: " + tally.first_fault + "\n";
    }
    text += format_latencies("done", tally.done_us);
    text += format_latencies("every answer", tally.all_us);
    return text;
}

std::string format_json(const load_tally& tally)
{
    const nlohmann::json out{{"sent", tally.sent},
                             {"done", tally.done},
                             {"late", tally.late},
                             {"did_not_run", tally.did_not_run},
                             {"refusals", tally.refusals},
                             {"unknown", tally.unknown},
                             {"crossed", tally.crossed},
                             {"cut", tally.cut},
                             {"malformed", tally.malformed},
                             {"first_fault", tally.first_fault},
                             {"done_us", latencies_json(tally.done_us)},
                             {"all_us", latencies_json(tally.all_us)}};
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace skylarkhub::load
