// Checks the entries' counts of waiting jobs against the jobs that were accepted, on a site where no task starts.
#pragma once

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "support_flow_simulation.h"

namespace skylarkhub::test {

class pending_count_checker {
public:
    static constexpr duration counted_after = std::chrono::seconds(5);     // for an accepted job to be in every count
    static constexpr duration answer_time_limit = std::chrono::seconds(3); // the time-out of callers
    static constexpr double max_refused_share = 0.05;                      // share of all requests

    explicit pending_count_checker(flow_simulation& simulation) : simulation_(simulation), begun_(simulation.now()) {}

    // Submits a job that no worker has room for.
    void submit(int entry)
    {
        const std::string job = fmt::format("{:016x}", ++submitted_);
        simulation_.send_submit(entry, job, chain_spec(1, 1, 1'000'000));
        sent_.push_back(job);
    }

    // Records new answers to submissions. Called often, since a job's time of acceptance is the time of this call.
    void record_accepted()
    {
        std::erase_if(sent_, [this](const std::string& job) {
            const auto at = simulation_.answers().find(job);
            const bool answered = at != simulation_.answers().end() && !at->second.empty();
            if (answered && at->second.front() == caller_result::accepted) {
                accepted_.push_back(simulation_.now());
            }
            return answered;
        });
    }

    // Requests the entry's count of waiting jobs, and checks the answer when it comes.
    void ask(int entry)
    {
        const auto expected = std::count_if(accepted_.begin(), accepted_.end(),
                                            [this](instant at) { return simulation_.now() - at > counted_after; });
        ++asked_;
        ++open_[entry];
        simulation_.ask_pending(entry, [this, entry, expected, asked = simulation_.now()](const caller_answer& answer) {
            record_answer(entry, expected, asked, answer);
        });
    }

    // Records that the entry was killed: its open requests get no answer.
    void record_killed(int entry) { killed_ += std::exchange(open_[entry], 0); }

    // Checks all answers, and that more than `min_asked` requests were sent.
    void check(std::int64_t min_asked) const
    {
        BOOST_TEST_MESSAGE(fmt::format("requests {}, counts {}, refused {}, too low {} (first: {}), largest excess {}",
                                       asked_, counted_, refused_, too_low_, first_too_low_, max_excess_));
        BOOST_TEST(asked_ > min_asked);
        BOOST_TEST(too_low_ == 0, too_low_ << " of " << asked_ << " counts too low, first " << first_too_low_);
        BOOST_TEST(static_cast<double>(refused_) <= max_refused_share * static_cast<double>(asked_),
                   refused_ << " of " << asked_ << " refused");
        check_answered();
        BOOST_TEST(max_excess_ <= 0);
    }

    // Checks that every request was answered in time, except by killed entries.
    void check_answered() const
    {
        BOOST_TEST(late_ == 0, late_ << " of " << asked_ << " answered late");
        BOOST_TEST(counted_ + refused_ + killed_ == asked_,
                   asked_ - counted_ - refused_ - killed_ << " of " << asked_ << " not answered");
    }

    std::int64_t accepted() const { return static_cast<std::int64_t>(accepted_.size()); }
    std::int64_t submitted() const { return submitted_; }

private:
    void record_answer(int entry, std::int64_t expected, instant asked, const caller_answer& answer)
    {
        --open_[entry];
        late_ += simulation_.now() - asked > answer_time_limit ? 1 : 0;
        if (answer.result == caller_result::retry_later) {
            ++refused_;
            BOOST_TEST(answer.retry_delay > duration(0));
            return;
        }
        BOOST_REQUIRE(answer.result == caller_result::pending);
        ++counted_;
        max_excess_ = std::max(max_excess_, answer.pending - submitted_);
        if (2 * answer.pending < expected) {
            ++too_low_;
            if (first_too_low_.empty()) {
                first_too_low_ = fmt::format("{} of {} at {} ms, entry {}", answer.pending, expected,
                                             (asked - begun_) / std::chrono::milliseconds(1), entry);
            }
        }
    }

    flow_simulation& simulation_;
    instant begun_;
    std::int64_t submitted_ = 0;
    std::vector<std::string> sent_; // submitted jobs without an answer
    std::vector<instant> accepted_;
    std::int64_t asked_ = 0;
    std::int64_t killed_ = 0;          // requests to entries that were killed before they answered
    std::map<int, std::int64_t> open_; // requests without an answer, by entry
    std::int64_t counted_ = 0;
    std::int64_t refused_ = 0;
    std::int64_t late_ = 0;       // answered after `answer_time_limit`
    std::int64_t too_low_ = 0;    // counts below half of the jobs that must be included
    std::int64_t max_excess_ = 0; // largest difference of a count to the jobs submitted
    std::string first_too_low_;
};

} // namespace skylarkhub::test
