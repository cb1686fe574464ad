#include "flow_row_join_p.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "flow_row_p.h"

namespace skylarkhub {

namespace {

constexpr std::int32_t bits_per_byte = 8;

// More joined occurrences, or tasks of them, can only be the sign of a damaged row.
constexpr std::int64_t joined_most = 100'000'000;
constexpr std::int64_t occurrences_most = 1'000'000;

bool bit_at(const std::string& bits, std::int32_t at)
{
    const auto byte = static_cast<std::size_t>(at / bits_per_byte);
    return byte < bits.size() && (static_cast<unsigned char>(bits[byte]) >> at % bits_per_byte & 1U) != 0;
}

void set_bit(std::string& bits, std::int32_t at)
{
    const auto byte = static_cast<std::size_t>(at / bits_per_byte);
    if (bits.size() <= byte) {
        bits.resize(byte + 1, '\0');
    }
    bits[byte] = static_cast<char>(static_cast<unsigned char>(bits[byte]) | (1U << at % bits_per_byte));
}

std::int32_t end_of(const std::string& bits)
{
    auto end = static_cast<std::int32_t>(bits.size()) * bits_per_byte;
    while (end > 0 && !bit_at(bits, end - 1)) {
        --end;
    }
    return end;
}

template <class Value> std::int32_t end_of(const std::map<std::int32_t, Value>& tasks)
{
    return tasks.empty() ? 0 : tasks.rbegin()->first + 1;
}

// Calls `use` with each field of the stage that tells of tasks by their number, as a pointer to the member.
template <class Use> void for_each_field(Use&& use)
{
    using stage_row = wire::flow_stage_row;
    use(&stage_row::done);
    use(&stage_row::checkpoints);
    use(&stage_row::homes);
    use(&stage_row::failed_runs);
    use(&stage_row::starts);
    use(&stage_row::crashes);
    use(&stage_row::outlived);
}

// The number of the stage's tasks, as far as it tells of them.
std::int32_t count_told_tasks(const wire::flow_stage_row& stage)
{
    std::int32_t end = 0;
    for_each_field([&](auto field) { end = std::max(end, end_of(stage.*field)); });
    return end;
}

void add_tasks(std::string& to, const std::string& bits, std::int32_t first)
{
    for (std::int32_t i = 0; i < end_of(bits); ++i) {
        if (bit_at(bits, i)) {
            set_bit(to, first + i);
        }
    }
}

template <class Value>
void add_tasks(std::map<std::int32_t, Value>& to, const std::map<std::int32_t, Value>& tasks, std::int32_t first)
{
    for (const auto& [task, value] : tasks) {
        to.emplace_hint(to.end(), first + task, value);
    }
}

// Copies the tasks from `first` up to `end`, numbered from 0. Returns whether there were any.
bool copy_tasks(std::string& to, const std::string& bits, std::int32_t first, std::int32_t end)
{
    bool any = false;
    for (std::int32_t i = first; i < end; ++i) {
        if (bit_at(bits, i)) {
            set_bit(to, i - first);
            any = true;
        }
    }
    return any;
}

template <class Value>
bool copy_tasks(std::map<std::int32_t, Value>& to, const std::map<std::int32_t, Value>& tasks, std::int32_t first,
                std::int32_t end)
{
    for (auto at = tasks.lower_bound(first); at != tasks.end() && at->first < end; ++at) {
        to.emplace_hint(to.end(), at->first - first, at->second);
    }
    return !to.empty();
}

// What the joined stage tells of the occurrence with this number among the joined ones. Returns whether it tells
// anything.
bool copy_occurrence(wire::flow_stage_row& to, const wire::flow_stage_row& joined, std::int32_t number)
{
    const std::int32_t first = number * joined.joined_tasks;
    bool any = false;
    for_each_field(
        [&](auto field) { any = copy_tasks(to.*field, joined.*field, first, first + joined.joined_tasks) || any; });
    return any;
}

// Packed homes of one task without any home.
wire::flow_stage_row unreadable_stage()
{
    wire::flow_packed_homes homes;
    set_bit(homes.tasks, 0);
    wire::flow_stage_row stage;
    stage.__set_packed_homes(homes);
    return stage;
}

// The number of joined occurrences; negative if the spans contradict each other.
std::int64_t count_joined(const wire::flow_job_row& row)
{
    std::int64_t count = 0;
    std::int32_t end = 0;
    for (const wire::flow_occurrence_span& span : row.joined) {
        if (span.first < end || span.past_last <= span.first) {
            return -1;
        }
        end = span.past_last;
        count += span.past_last - span.first;
    }
    return count;
}

} // namespace

stage_joiner::stage_joiner(const std::vector<std::int32_t>& tasks_of_steps) : stages_(tasks_of_steps.size())
{
    for (std::size_t step = 0; step < stages_.size(); ++step) {
        stages_[step].step = static_cast<std::int32_t>(step);
        stages_[step].joined_tasks = std::max(1, tasks_of_steps[step]);
    }
}

void stage_joiner::add(const wire::flow_stage_row& stage)
{
    if (stage.occurrence != last_) {
        occurrences_.add(stage.occurrence, stage.occurrence + 1);
        last_ = stage.occurrence;
    }
    wire::flow_stage_row& joined = stages_.at(static_cast<std::size_t>(stage.step));
    const auto number = static_cast<std::int32_t>(occurrences_.size() - 1);
    for_each_field([&](auto field) { add_tasks(joined.*field, stage.*field, number * joined.joined_tasks); });
}

void stage_joiner::move_into(wire::flow_job_row& row)
{
    row.stages.assign(1, unreadable_stage());
    row.joined_stages = std::move(stages_);
    row.joined = to_rows(occurrences_);
}

void join_occurrences(wire::flow_job_row& row)
{
    const auto by_occurrence = [](const wire::flow_stage_row& a, const wire::flow_stage_row& b) {
        return a.occurrence < b.occurrence;
    };
    std::stable_sort(row.stages.begin(), row.stages.end(), by_occurrence);
    if (is_joined(row) || row.stages.empty() || row.stages.front().occurrence == row.stages.back().occurrence) {
        return;
    }
    std::vector<std::int32_t> tasks_of_steps;
    for (const wire::flow_stage_row& stage : row.stages) {
        const auto step = static_cast<std::size_t>(stage.step);
        tasks_of_steps.resize(std::max(tasks_of_steps.size(), step + 1));
        tasks_of_steps[step] = std::max(tasks_of_steps[step], count_told_tasks(stage));
    }
    stage_joiner joiner(tasks_of_steps);
    for (const wire::flow_stage_row& stage : row.stages) {
        joiner.add(stage);
    }
    joiner.move_into(row);
}

bool is_joined_well(const wire::flow_job_row& row)
{
    const std::int64_t occurrences = count_joined(row);
    return occurrences >= 0 && occurrences <= occurrences_most &&
           std::all_of(row.joined_stages.begin(), row.joined_stages.end(), [&](const wire::flow_stage_row& joined) {
               const std::int64_t tasks = occurrences * joined.joined_tasks;
               return joined.joined_tasks > 0 && tasks <= joined_most && count_told_tasks(joined) <= tasks;
           });
}

void for_each_stage(const wire::flow_job_row& row, const std::function<void(const wire::flow_stage_row&)>& use)
{
    if (!is_joined(row)) {
        std::for_each(row.stages.begin(), row.stages.end(), use);
        return;
    }
    std::int32_t number = 0;
    for (const wire::flow_occurrence_span& span : row.joined) {
        for (std::int32_t occurrence = span.first; occurrence < span.past_last; ++occurrence, ++number) {
            for (const wire::flow_stage_row& joined : row.joined_stages) {
                wire::flow_stage_row stage;
                stage.occurrence = occurrence;
                stage.step = joined.step;
                if (copy_occurrence(stage, joined, number)) {
                    use(stage);
                }
            }
        }
    }
}

} // namespace skylarkhub
