#include "place_crash_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace skylarkhub {

namespace {

// A crash this soon after a start on a kept worker is no chance, whatever else crashes in the same moment.
constexpr duration at_start = std::chrono::seconds(1);
// Of a run alone on its worker, which is watched closely then: twice in a row this is no chance.
constexpr duration at_once = std::chrono::milliseconds(200);
// With one of the two unseen, which says little by itself, after so many crashes, all others of them at the start.
constexpr std::size_t crashes_with_unseen = 5;
constexpr duration alone_least = std::chrono::seconds(3);
constexpr duration alone_most = std::chrono::seconds(10); // a worker that takes no other starts is missed
constexpr duration age_least = std::chrono::milliseconds(1);
constexpr double crashes_unseen = 0.5; // added to those seen, which may be none
// A crash weighs the logarithm of how unlikely it is by chance, less this: by chance alone the logarithm is 1 on the
// average, so that any number of crashes of an innocent task adds up to nothing.
constexpr double weight_by_chance = 2.0;
// By the number of crashes, three first and so on: after few of them chance has to be ruled out the more clearly.
constexpr std::array weights_until_given_up{16.0, 14.0, 12.0};
constexpr double weight_of_last = 2.0; // the one alone on its worker

double weight_of(duration age, double rate)
{
    const double seconds = std::chrono::duration<double>(std::max(age, age_least)).count();
    const double chance = -std::expm1(-seconds * rate);
    return -std::log(chance) - weight_by_chance;
}

bool may_be_charged(const run_in_crash& run)
{
    if (!was_young(run)) {
        return false;
    }
    if (run.crashes < crashes_until_alone) {
        return !run.in_a_wave;
    }
    return run.alone && (!run.in_a_wave || *run.age <= at_start);
}

} // namespace

bool was_young(const run_in_crash& run)
{
    return run.age && *run.age >= duration(0) && *run.age <= crash_age_most;
}

std::vector<bool> charge_crash(const std::vector<run_in_crash>& runs)
{
    int most = 0;
    for (const run_in_crash& run : runs) {
        most = may_be_charged(run) ? std::max(most, run.crashes) : most;
    }
    std::vector<bool> charged;
    charged.reserve(runs.size());
    for (const run_in_crash& run : runs) {
        charged.push_back(may_be_charged(run) && run.crashes == most);
    }
    return charged;
}

std::vector<wire::crash_row> charged_rows(const std::vector<wire::crash_row>& rows)
{
    std::vector<wire::crash_row> charged;
    std::copy_if(rows.begin(), rows.end(), std::back_inserter(charged),
                 [](const wire::crash_row& row) { return !row.beside; });
    return charged;
}

std::vector<charged_crash> charged_of(const std::vector<wire::crash_row>& rows)
{
    std::vector<charged_crash> charged;
    for (const wire::crash_row& row : charged_rows(rows)) {
        charged.push_back({std::chrono::milliseconds(row.age_ms), row.rate});
    }
    return charged;
}

std::string describe_crashes(const std::vector<wire::crash_row>& rows)
{
    std::vector<std::string> each;
    each.reserve(rows.size());
    std::transform(rows.begin(), rows.end(), std::back_inserter(each), [](const wire::crash_row& row) {
        return fmt::format("{} at {} after {} ms", row.worker, row.at_ms, row.age_ms);
    });
    return fmt::format("{}", fmt::join(each, ", "));
}

double crash_rate(std::int64_t others, std::size_t workers, duration over)
{
    const double seconds =
        std::chrono::duration<double>(over).count() * static_cast<double>(std::max<std::size_t>(1, workers));
    return (static_cast<double>(others) + crashes_unseen) / seconds;
}

bool is_given_up(const std::vector<charged_crash>& crashes)
{
    if (crashes.size() < crashes_until_sure) {
        return false;
    }
    const double rate = crashes.back().rate; // seen over the time of all of them
    const double weight = std::accumulate(crashes.begin(), crashes.end(), 0.0, [rate](double sum, const auto& crash) {
        return sum + weight_of(crash.age, rate);
    });
    const std::size_t more = std::min(crashes.size() - crashes_until_sure, weights_until_given_up.size() - 1);
    return weight >= weights_until_given_up.at(more) && weight_of(crashes.back().age, rate) >= weight_of_last;
}

bool must_start_alone(const std::vector<wire::crash_row>& rows, std::size_t unheard)
{
    return rows.size() + unheard >= crashes_until_sure ||
           charged_rows(rows).size() >= static_cast<std::size_t>(crashes_until_alone);
}

bool crashes_its_workers(const std::vector<wire::crash_row>& rows)
{
    if (is_given_up(charged_of(rows))) {
        return true;
    }
    if (rows.size() < crashes_until_sure) {
        return false;
    }
    const auto alone_at_once = [](const wire::crash_row& row) {
        return row.alone && !row.unseen && std::chrono::milliseconds(row.age_ms) <= at_once;
    };
    const auto alone_unseen = [](const wire::crash_row& row) { return row.alone && row.unseen; };
    const wire::crash_row& last = rows.back();
    const wire::crash_row& before = *(rows.end() - 2);
    const bool one_unseen =
        (alone_at_once(last) && alone_unseen(before)) || (alone_unseen(last) && alone_at_once(before));
    const bool others_at_start = std::all_of(rows.begin(), rows.end(), [](const wire::crash_row& row) {
        return row.unseen || std::chrono::milliseconds(row.age_ms) <= at_start;
    });
    return (alone_at_once(last) && alone_at_once(before)) ||
           (one_unseen && others_at_start && rows.size() >= crashes_with_unseen);
}

duration longest_age(const std::vector<wire::crash_row>& rows)
{
    std::int64_t longest = 0;
    for (const wire::crash_row& row : rows) {
        longest = row.unseen ? longest : std::max(longest, row.age_ms);
    }
    return std::chrono::milliseconds(longest);
}

duration time_alone(duration age)
{
    return std::clamp(2 * age, alone_least, alone_most);
}

} // namespace skylarkhub
