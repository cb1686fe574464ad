#include "flow_row_pack_p.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "flow_row_join_p.h"
#include "flow_row_p.h"
#include "row_codec_p.h"

namespace skylarkhub {

namespace {

constexpr std::size_t bits_per_byte = 8;

// --- bits ---

void set_bit(std::string& bits, std::size_t at)
{
    if (bits.size() <= at / bits_per_byte) {
        bits.resize(at / bits_per_byte + 1, '\0');
    }
    char& byte = bits[at / bits_per_byte];
    byte = static_cast<char>(static_cast<unsigned char>(byte) | (1U << at % bits_per_byte));
}

bool bit_at(const std::string& bits, std::size_t at)
{
    return (static_cast<unsigned char>(bits[at / bits_per_byte]) >> at % bits_per_byte & 1U) != 0;
}

// How many bits the places of `values` values take.
std::size_t place_width(std::size_t values)
{
    std::size_t width = 0;
    while (width < 63 && (std::size_t{1} << width) < values) {
        ++width;
    }
    return width;
}

// --- columns and sets of tasks ---

wire::flow_packed_column pack_column(const std::vector<std::int64_t>& numbers)
{
    wire::flow_packed_column column;
    column.values = numbers;
    std::sort(column.values.begin(), column.values.end());
    column.values.erase(std::unique(column.values.begin(), column.values.end()), column.values.end());
    const std::size_t width = place_width(column.values.size());
    column.places.resize((numbers.size() * width + bits_per_byte - 1) / bits_per_byte, '\0');
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        const auto found = std::lower_bound(column.values.begin(), column.values.end(), numbers[i]);
        const auto place = static_cast<std::size_t>(found - column.values.begin());
        for (std::size_t bit = 0; bit < width; ++bit) {
            if ((place >> bit & 1U) != 0) {
                set_bit(column.places, i * width + bit);
            }
        }
    }
    return column;
}

// Reads `size` numbers; empty if the column has not exactly so many.
std::optional<std::vector<std::int64_t>> unpack_column(const wire::flow_packed_column& column, std::size_t size)
{
    const std::size_t width = place_width(column.values.size());
    if (column.places.size() != (size * width + bits_per_byte - 1) / bits_per_byte ||
        column.values.empty() != (size == 0)) {
        return std::nullopt;
    }
    std::vector<std::int64_t> numbers;
    numbers.reserve(size);
    for (std::size_t i = 0; i < size; ++i) {
        std::size_t place = 0;
        for (std::size_t bit = 0; bit < width; ++bit) {
            place |= bit_at(column.places, i * width + bit) ? std::size_t{1} << bit : 0;
        }
        if (place >= column.values.size()) {
            return std::nullopt;
        }
        numbers.push_back(column.values[place]);
    }
    return numbers;
}

template <class Value> std::string pack_tasks(const std::map<std::int32_t, Value>& by_task)
{
    std::string tasks;
    for (const auto& [task, value] : by_task) {
        set_bit(tasks, static_cast<std::size_t>(task));
    }
    return tasks;
}

std::vector<std::int32_t> unpack_tasks(const std::string& tasks)
{
    std::vector<std::int32_t> out;
    for (std::size_t i = 0; i < tasks.size() * bits_per_byte; ++i) {
        if (bit_at(tasks, i)) {
            out.push_back(static_cast<std::int32_t>(i));
        }
    }
    return out;
}

// --- tables of what several tasks have in common ---

auto parts_of(const wire::flow_worker_life& life)
{
    return std::tie(life.worker, life.born);
}

auto parts_of(const wire::flow_home_row& home)
{
    return std::tie(home.cell, home.epoch, home.run_floor, home.moves);
}

// Adds values to a list of the row, each once.
template <class Value> class value_table {
public:
    explicit value_table(std::vector<Value>& values) : values_(values) {}

    std::int64_t place_of(const Value& value)
    {
        const auto [at, added] = places_.try_emplace(value, static_cast<std::int64_t>(values_.size()));
        if (added) {
            values_.push_back(value);
        }
        return at->second;
    }

private:
    struct less {
        bool operator()(const Value& a, const Value& b) const { return parts_of(a) < parts_of(b); }
    };
    std::vector<Value>& values_;
    std::map<Value, std::int64_t, less> places_;
};

template <class Value> const Value* value_at(const std::vector<Value>& values, std::int64_t place)
{
    const bool exists = place >= 0 && place < static_cast<std::int64_t>(values.size());
    return exists ? &values[static_cast<std::size_t>(place)] : nullptr;
}

// --- starts ---

void pack_starts(wire::flow_job_row& row)
{
    value_table<wire::flow_worker_life> lives(row.lives);
    for (wire::flow_stage_row& stage : told_stages(row)) {
        if (stage.starts.empty()) {
            continue;
        }
        std::vector<std::int64_t> life_places;
        std::vector<std::int64_t> runs;
        for (const auto& [task, start] : stage.starts) {
            wire::flow_worker_life life;
            life.worker = start.worker;
            life.born = start.born;
            life_places.push_back(lives.place_of(life));
            runs.push_back(start.run);
        }
        wire::flow_packed_starts packed;
        packed.tasks = pack_tasks(stage.starts);
        packed.lives = pack_column(life_places);
        packed.runs = pack_column(runs);
        stage.__set_packed_starts(packed);
        stage.starts.clear();
    }
    row.packed_starts_noted = row.starts_noted;
    row.starts_noted = false;
}

bool unpack_starts(const wire::flow_job_row& row, wire::flow_stage_row& stage)
{
    if (!stage.__isset.packed_starts) {
        return true;
    }
    const std::vector<std::int32_t> tasks = unpack_tasks(stage.packed_starts.tasks);
    const auto lives = unpack_column(stage.packed_starts.lives, tasks.size());
    const auto runs = unpack_column(stage.packed_starts.runs, tasks.size());
    if (!lives || !runs) {
        return false;
    }
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const wire::flow_worker_life* const life = value_at(row.lives, (*lives)[i]);
        if (life == nullptr) {
            return false;
        }
        wire::flow_start_row& start = stage.starts[tasks[i]];
        start.worker = life->worker;
        start.born = life->born;
        start.run = (*runs)[i];
    }
    stage.packed_starts = {};
    stage.__isset.packed_starts = false;
    return true;
}

// --- runs that failed or were outlived ---

wire::flow_packed_runs pack_runs(const std::map<std::int32_t, std::vector<std::int64_t>>& by_task)
{
    std::vector<std::int64_t> counts;
    std::vector<std::int64_t> all;
    for (const auto& [task, runs] : by_task) {
        counts.push_back(static_cast<std::int64_t>(runs.size()));
        all.insert(all.end(), runs.begin(), runs.end());
    }
    wire::flow_packed_runs packed;
    packed.tasks = pack_tasks(by_task);
    packed.counts = pack_column(counts);
    packed.runs = pack_column(all);
    return packed;
}

std::optional<std::map<std::int32_t, std::vector<std::int64_t>>> unpack_runs(const wire::flow_packed_runs& packed)
{
    // A row has a few runs of each task at most, so that many more of them can only be the sign of a damaged one.
    constexpr std::int64_t runs_per_task_most = 1'000;
    const std::vector<std::int32_t> tasks = unpack_tasks(packed.tasks);
    const auto counts = unpack_column(packed.counts, tasks.size());
    if (!counts) {
        return std::nullopt;
    }
    std::size_t total = 0;
    for (const std::int64_t count : *counts) {
        if (count < 0 || count > runs_per_task_most) {
            return std::nullopt;
        }
        total += static_cast<std::size_t>(count);
    }
    const auto all = unpack_column(packed.runs, total);
    if (!all) {
        return std::nullopt;
    }
    std::map<std::int32_t, std::vector<std::int64_t>> by_task;
    auto next = all->begin();
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const auto end = next + static_cast<std::ptrdiff_t>((*counts)[i]);
        by_task[tasks[i]].assign(next, end);
        next = end;
    }
    return by_task;
}

void pack_ended_runs(wire::flow_job_row& row)
{
    for (wire::flow_stage_row& stage : told_stages(row)) {
        if (!stage.failed_runs.empty()) {
            stage.__set_packed_failed_runs(pack_runs(stage.failed_runs));
            stage.failed_runs.clear();
        }
        if (!stage.outlived.empty()) {
            std::map<std::int32_t, std::vector<std::int64_t>> outlived;
            for (const auto& [task, run] : stage.outlived) {
                outlived[task] = {run};
            }
            stage.__set_packed_outlived(pack_runs(outlived));
            stage.outlived.clear();
        }
    }
}

bool unpack_failed_runs(wire::flow_stage_row& stage)
{
    if (!stage.__isset.packed_failed_runs) {
        return true;
    }
    auto runs = unpack_runs(stage.packed_failed_runs);
    if (!runs) {
        return false;
    }
    stage.failed_runs = std::move(*runs);
    stage.packed_failed_runs = {};
    stage.__isset.packed_failed_runs = false;
    return true;
}

bool unpack_outlived(wire::flow_stage_row& stage)
{
    if (!stage.__isset.packed_outlived) {
        return true;
    }
    const auto by_task = unpack_runs(stage.packed_outlived);
    if (!by_task) {
        return false;
    }
    for (const auto& [task, runs] : *by_task) {
        if (runs.size() != 1) {
            return false;
        }
        stage.outlived[task] = runs.front();
    }
    stage.packed_outlived = {};
    stage.__isset.packed_outlived = false;
    return true;
}

// --- homes ---

void pack_homes(wire::flow_job_row& row)
{
    value_table<wire::flow_home_row> homes(row.homes);
    for (wire::flow_stage_row& stage : told_stages(row)) {
        if (stage.homes.empty()) {
            continue;
        }
        std::vector<std::int64_t> places;
        places.reserve(stage.homes.size());
        for (const auto& [task, home] : stage.homes) {
            places.push_back(homes.place_of(home));
        }
        wire::flow_packed_homes packed;
        packed.tasks = pack_tasks(stage.homes);
        packed.homes = pack_column(places);
        stage.__set_packed_homes(packed);
        stage.homes.clear();
    }
}

bool unpack_homes(const wire::flow_job_row& row, wire::flow_stage_row& stage)
{
    if (!stage.__isset.packed_homes) {
        return true;
    }
    const std::vector<std::int32_t> tasks = unpack_tasks(stage.packed_homes.tasks);
    const auto places = unpack_column(stage.packed_homes.homes, tasks.size());
    if (!places) {
        return false;
    }
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const wire::flow_home_row* const home = value_at(row.homes, (*places)[i]);
        if (home == nullptr) {
            return false;
        }
        stage.homes[tasks[i]] = *home;
    }
    stage.packed_homes = {};
    stage.__isset.packed_homes = false;
    return true;
}

// --- checkpoints ---

// The members of a gang resume from one checkpoint, so either all of them have it or none.
bool has_whole_checkpoints(const wire::flow_job_row& row, const wire::flow_stage_row& stage)
{
    const bool known = stage.step >= 0 && static_cast<std::size_t>(stage.step) < row.steps.size();
    return !known || from_row(row.steps[static_cast<std::size_t>(stage.step)]).gang;
}

// The bytes of an unsigned number in the row's encoding.
std::size_t number_bytes(std::size_t number)
{
    constexpr std::size_t bits_per_number_byte = 7;
    std::size_t bytes = 1;
    for (; number >> bits_per_number_byte != 0; number >>= bits_per_number_byte) {
        ++bytes;
    }
    return bytes;
}

std::size_t checkpoint_bytes(std::int32_t task, const std::string& checkpoint)
{
    return number_bytes(2 * static_cast<std::size_t>(task)) + number_bytes(checkpoint.size()) + checkpoint.size();
}

// Leaves out checkpoints of at least `excess` bytes, if there are so many.
void leave_out_checkpoints(wire::flow_job_row& row, std::size_t excess)
{
    std::size_t freed = 0;
    auto& stages = told_stages(row);
    for (auto stage = stages.rbegin(); stage != stages.rend() && freed < excess; ++stage) {
        const bool whole = has_whole_checkpoints(row, *stage);
        auto& checkpoints = stage->checkpoints;
        while (!checkpoints.empty() && (whole || freed < excess)) {
            const auto last = std::prev(checkpoints.end());
            freed += checkpoint_bytes(last->first, last->second);
            checkpoints.erase(last);
        }
    }
}

} // namespace

std::string encode_job_row(const wire::flow_job_row& row, std::size_t bytes_most)
{
    std::string bytes;
    if (!is_joined(row)) {
        bytes = encode_compact(row);
        if (bytes.size() <= bytes_most / 2) {
            return bytes;
        }
    }
    wire::flow_job_row packed = row;
    join_occurrences(packed);
    for (const auto& pack : std::array{pack_starts, pack_ended_runs, pack_homes}) {
        pack(packed);
        bytes = encode_compact(packed);
        if (bytes.size() <= bytes_most / 2) {
            return bytes;
        }
    }
    if (bytes.size() > bytes_most) {
        leave_out_checkpoints(packed, bytes.size() - bytes_most);
        bytes = encode_compact(packed);
    }
    return bytes;
}

bool unpack_job_row(wire::flow_job_row& row)
{
    for (wire::flow_stage_row& stage : told_stages(row)) {
        if (!unpack_starts(row, stage) || !unpack_homes(row, stage) || !unpack_failed_runs(stage) ||
            !unpack_outlived(stage)) {
            return false;
        }
    }
    row.lives.clear();
    row.homes.clear();
    row.starts_noted = row.starts_noted || row.packed_starts_noted;
    row.packed_starts_noted = false;
    return is_joined_well(row);
}

} // namespace skylarkhub
