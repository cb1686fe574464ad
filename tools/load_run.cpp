#include "load_run_p.h"

#include <absl/random/distributions.h>
#include <absl/synchronization/mutex.h>
#include <fmt/format.h>

#include <chrono>
#include <random>
#include <thread>
#include <utility>

namespace skylarkhub::load {

namespace {

using clock = std::chrono::steady_clock;

constexpr duration answer_margin = std::chrono::seconds(1); // for the entry's own answer after the deadline

// The tally while answers come in on the client's thread.
class shared_tally {
public:
    void sent()
    {
        absl::MutexLock lock(&mutex_);
        ++tally_.sent;
    }
    void add(const judged_answer& answer, duration latency, duration deadline)
    {
        absl::MutexLock lock(&mutex_);
        tally_.add(answer, latency, deadline);
    }
    load_tally wait_for_all()
    {
        const auto complete = [this] { return std::ssize(tally_.all_us) == tally_.sent; };
        absl::MutexLock lock(&mutex_, absl::Condition(&complete));
        return std::move(tally_);
    }

private:
    absl::Mutex mutex_;
    load_tally tally_ ABSL_GUARDED_BY(mutex_);
};

// Names its request, so that no two answers are alike; padded to the size wanted.
std::string make_body(const load_options& o, std::int64_t number)
{
    std::string body = fmt::format("load-{}-{} ", o.seed, number);
    body.resize(std::max(body.size(), o.body_bytes), '.');
    return body;
}

http_call make_call(const load_options& o, std::int64_t number)
{
    http_call call{.method = "POST"};
    call.target = "/v1/request/" + encode_url_part(o.team.str()) + "/" + encode_url_part(o.service);
    const auto deadline_ms = std::chrono::duration_cast<std::chrono::milliseconds>(o.deadline).count();
    call.headers = {{"Deadline-Ms", std::to_string(deadline_ms)}, {"Content-Type", "application/octet-stream"}};
    if (o.keys) {
        call.headers.emplace_back("Idempotency-Key", fmt::format("load-{}-{}", o.seed, number));
    }
    call.body = make_body(o, number);
    call.timeout = o.deadline + answer_margin;
    return call;
}

// One request and the entries that it is still to be tried at.
struct load_request {
    http_call call;
    std::size_t entry = 0;
    std::size_t tries_left = 0;
    std::size_t step = 1; // from an entry that refused it to the next one
    clock::time_point intended;
};

// An entry that is gone refuses the connection: the request has certainly not arrived there, and goes to another one,
// as a balancer would send it. Which one differs from request to request: one neighbour would get twice its share.
void send_one(const load_options& o, http_client& http, shared_tally& tally, load_request request)
{
    --request.tries_left;
    request.call.address = o.entries[request.entry % o.entries.size()];
    http_call call = request.call;
    http.send(std::move(call), [&o, &http, &tally, request = std::move(request)](const http_result& result) {
        if (!result.answered && !result.may_have_arrived && request.tries_left > 0) {
            load_request next = request;
            next.entry += next.step;
            next.step = 1;
            send_one(o, http, tally, std::move(next));
            return;
        }
        const std::string expected = fmt::format("ok {}/{} {}", o.team.str(), o.service, request.call.body);
        const auto latency = std::chrono::duration_cast<duration>(clock::now() - request.intended);
        tally.add(judge_answer(result, expected), latency, o.deadline);
    });
}

} // namespace

load_tally run_load(const load_options& options)
{
    shared_tally tally;
    http_client http({.connections_per_host = options.connections,
                      .connections_kept = options.connections * std::ssize(options.entries)});
    std::mt19937_64 random(options.seed);
    const clock::time_point start = clock::now();
    double at = 0; // seconds from the start
    for (std::int64_t number = 1;; ++number) {
        at += absl::Exponential<double>(random, options.rate);
        if (at >= options.seconds) {
            break;
        }
        const auto entry = absl::Uniform<std::size_t>(random, 0, options.entries.size());
        const auto intended = start + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(at));
        std::this_thread::sleep_until(intended);
        tally.sent();
        const std::size_t others = std::max<std::size_t>(1, options.entries.size() - 1);
        const std::size_t step = 1 + static_cast<std::size_t>(number) % others;
        send_one(options, http, tally, {make_call(options, number), entry, options.entries.size(), step, intended});
    }
    return tally.wait_for_all();
}

} // namespace skylarkhub::load
