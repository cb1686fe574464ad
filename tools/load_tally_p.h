// What a load run came to: each answer judged on its own, and latencies from the time a request was meant to leave.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "http_client_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::load {

enum class load_outcome : std::uint8_t { done, did_not_run, unknown };

// What is wrong with an answer that claims to be whole: it is another request's, a part of ours, or against the
// protocol.
enum class answer_fault : std::uint8_t { none, crossed, cut, malformed };

struct judged_answer {
    load_outcome outcome = load_outcome::unknown;
    answer_fault fault = answer_fault::none;
    std::string detail;  // of a fault
    std::string refusal; // why it did not run, as the answer names it
};

// `expected` is the whole body of a right answer. No whole answer: unknown, or did not run when no byte can have left.
judged_answer judge_answer(const http_result& result, const std::string& expected);

struct load_tally {
    std::int64_t sent = 0;
    std::int64_t done = 0;
    std::int64_t did_not_run = 0;
    std::int64_t unknown = 0;
    std::int64_t late = 0; // done, but after the deadline
    std::int64_t crossed = 0;
    std::int64_t cut = 0;
    std::int64_t malformed = 0;
    std::string first_fault;
    std::map<std::string, std::int64_t> refusals; // by reason, of those that did not run
    std::vector<std::int64_t> done_us;            // from the intended time to the whole answer
    std::vector<std::int64_t> all_us;             // of every outcome

    std::int64_t wrong() const { return crossed + cut + malformed; }
    void add(const judged_answer& answer, duration latency, duration deadline);
};

// The value that the share `quantile` of `values` does not exceed; 0 when there are none.
std::int64_t find_quantile(std::vector<std::int64_t> values, double quantile);

std::string format_text(const load_tally& tally);
std::string format_json(const load_tally& tally);

} // namespace skylarkhub::load
