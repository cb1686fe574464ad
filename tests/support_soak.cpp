#include "support_soak.h"

#include <fmt/format.h>

#include <stdexcept>
#include <thread>

#include "support_soak_callers.h"
#include "support_soak_faults.h"

namespace skylarkhub::tests {

namespace {

using namespace std::chrono_literals;

constexpr int caller_count = 3;
constexpr duration look_interval = 10ms;
constexpr duration held_up_least = 400ms; // between two looks: the machine is too busy to hold promises with a time
constexpr duration settle_most = 60s;     // from the last fault until all that is owed is there
constexpr duration ask_interval = 200ms;

std::vector<net_address> callers_addresses(const soak_site& site)
{
    std::vector<net_address> addresses;
    addresses.reserve(static_cast<std::size_t>(site.entry_count()));
    for (int i = 0; i < site.entry_count(); ++i) {
        addresses.push_back(site.callers_address(i));
    }
    return addresses;
}

soak_size draw_size(random_source& random, const soak_options& options)
{
    const int drawn = absl::Uniform(absl::IntervalClosed, random, 1, 2);
    const int data_centres = options.evacuations ? 2 : drawn;
    const int entries = absl::Uniform(absl::IntervalClosed, random, 2, 4);
    const int workers = absl::Uniform(absl::IntervalClosed, random, 4, 8);
    return {options.entries > 0 ? options.entries : entries, options.workers > 0 ? options.workers : workers,
            data_centres};
}

class soak_run {
public:
    explicit soak_run(const soak_options& options)
        : options_(options),
          random_(make_random(options.seed)),
          begun_(read_clock()),
          checks_(begun_),
          site_(options.seed, draw_size(random_, options), checks_),
          plan_(plan_faults(random_, options.length, site_))
    {
        if (options.evacuations) {
            plan_evacuations(random_, options.length, site_, plan_);
        }
        for (int i = 0; i < caller_count; ++i) {
            callers_.push_back(
                std::make_unique<soak_caller>(options.seed * 1000 + i, callers_addresses(site_), checks_));
        }
    }

    soak_report play()
    {
        while (read_clock() < begun_ + options_.length || !plan_.empty()) {
            step();
        }
        for (const auto& caller : callers_) {
            caller->stop();
        }
        settle();
        soak_report report{checks_.broken(), checks_.counts(), site_.folder().string()};
        if (report.broken.empty()) {
            site_.remove_folder();
        }
        return report;
    }

private:
    void step()
    {
        if (options_.interrupted != nullptr && *options_.interrupted) {
            throw std::runtime_error("interrupted");
        }
        std::this_thread::sleep_for(look_interval);
        const instant now = read_clock();
        while (!plan_.empty() && plan_.begin()->first <= now - begun_) {
            const soak_action action = std::move(plan_.begin()->second);
            plan_.erase(plan_.begin());
            fmt::print("{:7.3f} s {}\n", std::chrono::duration<double>(now - begun_).count(), action.text);
            action.act();
            harmed_ += action.harms;
            checks_.note_impaired(now);
        }
        const bool held_up = now - looked_ > held_up_least;
        looked_ = now;
        if (site_.look(now) || harmed_ > 0 || held_up) {
            checks_.note_impaired(now);
        }
        checks_.look(now);
    }

    // Whatever was accepted comes to its end, and what lasts runs, once nothing is harmed any more.
    void settle()
    {
        const instant end = read_clock() + settle_most;
        instant ask_at{};
        std::vector<std::string> owed = checks_.owed();
        while (read_clock() < end && !(owed.empty() && checks_.unsettled().empty())) {
            step();
            if (read_clock() < ask_at) {
                continue;
            }
            for (const std::string& job : owed) {
                callers_.front()->ask_state(job);
                step();
            }
            ask_at = read_clock() + ask_interval;
            owed = checks_.owed();
        }
        for (const std::string& job : owed) {
            checks_.report(job + " was accepted and has not come to its end");
        }
        for (const std::string& task : checks_.unsettled()) {
            checks_.report(task + ", at the end");
        }
        if (checks_.counts().finished == 0) {
            checks_.report("no job at all has come to its end");
        }
    }

    soak_options options_;
    random_source random_;
    instant begun_;
    soak_checks checks_;
    soak_site site_;
    soak_plan plan_;
    std::vector<std::unique_ptr<soak_caller>> callers_;
    int harmed_ = 0;
    instant looked_ = begun_;
};

} // namespace

soak_report run_soak(const soak_options& options)
{
    return soak_run(options).play();
}

} // namespace skylarkhub::tests
