// Asks entries how many jobs wait and holds what they tell against what was accepted, on a site where nothing starts.
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
    static constexpr duration counted_after = std::chrono::seconds(5); // an accepted job is in every count from then on
    static constexpr duration answer_time_limit = std::chrono::seconds(3); // a caller waits no longer
    static constexpr double refused_most = 0.05;                           // of the questions

    explicit pending_count_checker(flow_simulation& world) : world_(world), begun_(world.now()) {}

    // A job that no worker has room for.
    void submit(int entry)
    {
        const std::string job = fmt::format("{:016x}", ++submitted_);
        world_.send_submit(entry, job, chain_spec(1, 1, 1'000'000));
        sent_.push_back(job);
    }

    // To be called often: a job counts as accepted from when this sees it.
    void record_accepted()
    {
        std::erase_if(sent_, [this](const std::string& job) {
            const auto at = world_.answers().find(job);
            const bool answered = at != world_.answers().end() && !at->second.empty();
            if (answered && at->second.front() == caller_result::accepted) {
                accepted_.push_back(world_.now());
            }
            return answered;
        });
    }

    void ask(int entry)
    {
        const auto due = std::count_if(accepted_.begin(), accepted_.end(),
                                       [this](instant at) { return world_.now() - at > counted_after; });
        ++asked_;
        ++open_[entry];
        world_.ask_pending(entry, [this, entry, due, asked = world_.now()](const caller_answer& answer) {
            note_told(entry, due, asked, answer);
        });
    }

    // Its open questions are not answered any more.
    void record_killed(int entry) { killed_ += std::exchange(open_[entry], 0); }

    void check(std::int64_t asked_least) const
    {
        BOOST_TEST_MESSAGE(fmt::format("asked {}, told {}, refused {}, short {} (first: {}), over {}", asked_, told_,
                                       refused_, short_, first_short_, most_over_));
        BOOST_TEST(asked_ > asked_least);
        BOOST_TEST(short_ == 0, short_ << " of " << asked_ << " answers short, first " << first_short_);
        BOOST_TEST(static_cast<double>(refused_) <= refused_most * static_cast<double>(asked_),
                   refused_ << " of " << asked_ << " refused");
        check_answered();
        BOOST_TEST(most_over_ <= 0);
    }

    void check_answered() const
    {
        BOOST_TEST(late_ == 0, late_ << " of " << asked_ << " answered late");
        BOOST_TEST(told_ + refused_ + killed_ == asked_,
                   asked_ - told_ - refused_ - killed_ << " of " << asked_ << " not answered");
    }

    std::int64_t accepted() const { return static_cast<std::int64_t>(accepted_.size()); }
    std::int64_t submitted() const { return submitted_; }

private:
    void note_told(int entry, std::int64_t due, instant asked, const caller_answer& answer)
    {
        --open_[entry];
        late_ += world_.now() - asked > answer_time_limit ? 1 : 0;
        if (answer.result == caller_result::retry_later) {
            ++refused_;
            BOOST_TEST(answer.retry_delay > duration(0));
            return;
        }
        BOOST_REQUIRE(answer.result == caller_result::pending);
        ++told_;
        most_over_ = std::max(most_over_, answer.pending - submitted_);
        if (2 * answer.pending < due) {
            ++short_;
            if (first_short_.empty()) {
                first_short_ = fmt::format("{} of {} at {} ms, entry {}", answer.pending, due,
                                           (asked - begun_) / std::chrono::milliseconds(1), entry);
            }
        }
    }

    flow_simulation& world_;
    instant begun_;
    std::int64_t submitted_ = 0;
    std::vector<std::string> sent_; // not answered yet
    std::vector<instant> accepted_;
    std::int64_t asked_ = 0;
    std::int64_t killed_ = 0;          // questions to entries that were killed before they answered
    std::map<int, std::int64_t> open_; // by entry
    std::int64_t told_ = 0;
    std::int64_t refused_ = 0;
    std::int64_t late_ = 0;      // told or refused after `answer_time_limit`
    std::int64_t short_ = 0;     // less than half of what is due
    std::int64_t most_over_ = 0; // more than was handed in
    std::string first_short_;
};

} // namespace skylarkhub::test
