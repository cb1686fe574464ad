#include "worker_client_p.h"

#include <utility>

namespace skylarkhub {

namespace {

constexpr std::int64_t report_bytes_most = 4 << 20;

worker_answer read_answer(const http_result& result)
{
    worker_answer answer;
    answer.may_have_arrived = result.may_have_arrived;
    if (!result.answered) {
        answer.reason = result.reason;
        return answer;
    }
    if (result.status != 200) {
        answer.reason = "worker answered status " + std::to_string(result.status);
        return answer;
    }
    auto report = parse_worker_report(result.body, &answer.reason);
    if (report) {
        answer.answered = true;
        answer.report = std::move(*report);
    }
    return answer;
}

} // namespace

void send_to_worker(http_client& http, const net_address& address, const worker_request& request, duration timeout,
                    std::function<void(worker_answer)> done)
{
    http_call call{.method = "POST", .address = address, .target = "/v1/control"};
    call.headers = {{"Content-Type", "application/json"}};
    call.body = format_worker_request(request);
    call.timeout = timeout;
    call.answer_bytes_most = report_bytes_most;
    http.send(std::move(call), [done = std::move(done)](const http_result& result) { done(read_answer(result)); });
}

} // namespace skylarkhub
