#include "job_accept_p.h"

#define XXH_INLINE_ALL
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <map>

#include "row_codec_p.h"
#include "row_keys_p.h"

namespace skylarkhub {

namespace {

constexpr std::int32_t task_count_most = 100'000;
constexpr std::int32_t attempt_limit_most = 1000;
constexpr std::size_t name_bytes_most = 200;
constexpr std::size_t payload_bytes_most = 64 * 1024;
constexpr std::int32_t tasks_per_part = 4; // batch jobs up to this size stay in one cell

std::int64_t to_ms(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

std::uint64_t hash_text(const std::string& text)
{
    return XXH3_64bits(text.data(), text.size());
}

void check_range(std::vector<field_error>& errors, const char* field, std::int64_t value, std::int64_t least,
                 std::int64_t most)
{
    if (value < least || value > most) {
        errors.push_back({field, fmt::format("must be between {} and {}, is {}", least, most, value)});
    }
}

// Why no worker of these cells can hold one task.
field_error name_shortage(const job_spec& spec, const std::vector<cell_room>& rooms)
{
    resources largest;
    for (const cell_room& room : rooms) {
        largest.cpu_millis = std::max(largest.cpu_millis, room.largest_worker.cpu_millis);
        largest.memory_mib = std::max(largest.memory_mib, room.largest_worker.memory_mib);
        largest.accelerators = std::max(largest.accelerators, room.largest_worker.accelerators);
    }
    const std::string form = "no worker is large enough: asks for {}, the largest has {}";
    if (spec.declared.cpu_millis > largest.cpu_millis) {
        return {"declared.cpu_millis", fmt::format(fmt::runtime(form), spec.declared.cpu_millis, largest.cpu_millis)};
    }
    if (spec.declared.memory_mib > largest.memory_mib) {
        return {"declared.memory_mib", fmt::format(fmt::runtime(form), spec.declared.memory_mib, largest.memory_mib)};
    }
    if (spec.declared.accelerators > largest.accelerators) {
        return {"declared.accelerators",
                fmt::format(fmt::runtime(form), spec.declared.accelerators, largest.accelerators)};
    }
    return {"declared", "no single worker is large enough in all dimensions together"};
}

// Share of the room that is free after what waits already; more is better.
double score_room(const cell_room& room)
{
    const double total = static_cast<double>(std::max<std::int64_t>(1, room.total.cpu_millis));
    const double free = static_cast<double>(room.free.cpu_millis);
    constexpr double queued_cost = 1000.0; // a waiting task counts as one processor
    return (free - queued_cost * static_cast<double>(room.queued)) / total;
}

void sort_by_room(std::vector<cell_room>& rooms, std::uint64_t pick)
{
    std::sort(rooms.begin(), rooms.end(), [pick](const cell_room& a, const cell_room& b) {
        const double left = score_room(a);
        const double right = score_room(b);
        if (left != right) {
            return left > right;
        }
        return XXH3_64bits_withSeed(a.cell.str().data(), a.cell.str().size(), pick) <
               XXH3_64bits_withSeed(b.cell.str().data(), b.cell.str().size(), pick);
    });
}

// Data centres take turns, each with its roomiest cell first.
std::vector<cell_room> alternate_data_centres(const std::vector<cell_room>& rooms)
{
    std::map<data_centre_id, std::vector<cell_room>> by_centre;
    std::vector<data_centre_id> order;
    for (const cell_room& room : rooms) {
        auto& list = by_centre[room.data_centre];
        if (list.empty()) {
            order.push_back(room.data_centre);
        }
        list.push_back(room);
    }
    std::vector<cell_room> out;
    for (std::size_t turn = 0; out.size() < rooms.size(); ++turn) {
        for (const data_centre_id& centre : order) {
            if (turn < by_centre[centre].size()) {
                out.push_back(by_centre[centre][turn]);
            }
        }
    }
    return out;
}

std::vector<cell_part> deal_tasks(const std::vector<cell_room>& rooms, std::int32_t tasks, std::size_t parts)
{
    std::vector<cell_part> out;
    std::int32_t first = 0;
    for (std::size_t i = 0; i < parts; ++i) {
        const auto left_parts = static_cast<std::int32_t>(parts - i);
        const std::int32_t share = (tasks - first + left_parts - 1) / left_parts;
        out.push_back({rooms[i].cell, first, share});
        first += share;
    }
    return out;
}

} // namespace

std::vector<field_error> check_job_spec(const job_spec& spec)
{
    std::vector<field_error> errors;
    if (!spec.team.valid()) {
        errors.push_back({"team", "is missing"});
    }
    if (!spec.kind.valid()) {
        errors.push_back({"kind", "is missing"});
    }
    if (spec.name.empty() || spec.name.size() > name_bytes_most) {
        errors.push_back({"name", fmt::format("must have 1 to {} bytes", name_bytes_most)});
    }
    if (spec.payload.size() > payload_bytes_most) {
        errors.push_back({"payload", fmt::format("is larger than {} bytes", payload_bytes_most)});
    }
    constexpr std::int64_t size_most = 1'000'000'000;
    check_range(errors, "declared.cpu_millis", spec.declared.cpu_millis, 0, size_most);
    check_range(errors, "declared.memory_mib", spec.declared.memory_mib, 0, size_most);
    check_range(errors, "declared.accelerators", spec.declared.accelerators, 0, 1024);
    check_range(errors, "task_count", spec.task_count, 1, task_count_most);
    check_range(errors, "attempt_limit", spec.attempt_limit, 1, attempt_limit_most);
    check_range(errors, "run_time_ms", to_ms(spec.run_time), 0, size_most);
    if (spec.is_service) {
        check_range(errors, "slots", spec.slots, 1, 10'000);
        check_range(errors, "connections", spec.connections, 1, 100'000);
    }
    return errors;
}

job_id derive_job_id(const team_id& team, const operation_id& key)
{
    return job_id(fmt::format("{}.{:016x}", team.str(), hash_text(team.str() + '\0' + key.str())));
}

team_id team_of_job(const job_id& job)
{
    const auto dot = job.str().rfind('.');
    if (dot == std::string::npos) {
        return {};
    }
    return team_id(job.str().substr(0, dot));
}

std::string fingerprint_spec(const wire::job_spec_row& spec)
{
    return fmt::format("{:016x}", hash_text(encode_row(spec)));
}

std::vector<cell_part> split_job(const job_spec& spec, std::vector<cell_room> rooms, std::uint64_t pick,
                                 std::vector<field_error>* errors)
{
    std::erase_if(rooms, [](const cell_room& room) { return room.evacuated; });
    if (rooms.empty()) {
        return {};
    }
    const std::vector<cell_room> all = rooms;
    std::erase_if(rooms, [&](const cell_room& room) { return !fits(spec.declared, room.largest_worker); });
    if (rooms.empty()) {
        errors->push_back(name_shortage(spec, all));
        return {};
    }
    sort_by_room(rooms, pick);
    if (spec.is_service) {
        rooms = alternate_data_centres(rooms);
        return deal_tasks(rooms, spec.task_count, std::min(rooms.size(), static_cast<std::size_t>(spec.task_count)));
    }
    const auto wanted = static_cast<std::size_t>((spec.task_count + tasks_per_part - 1) / tasks_per_part);
    return deal_tasks(rooms, spec.task_count, std::clamp<std::size_t>(wanted, 1, rooms.size()));
}

table_transaction accept_job(const job_id& job, const job_spec& spec, const std::vector<cell_part>& parts,
                             wall_time now)
{
    const std::int64_t now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    const wire::job_spec_row spec_row = to_row(spec);
    // The fingerprint keeps two different bodies under one key apart when a lost answer is read back.
    const operation_id operation("accept/" + job.str() + "/" + fingerprint_spec(spec_row));

    wire::job_index_row index;
    index.__set_job(job.str());
    index.__set_team(spec.team.str());
    index.__set_fingerprint(fingerprint_spec(spec_row));
    index.__set_accepted_ms(now_ms);

    table_transaction transaction;
    transaction.operation = operation;
    for (const cell_part& part : parts) {
        index.cells.push_back(part.cell.str());
        wire::job_row row;
        row.__set_job(job.str());
        row.__set_spec(spec_row);
        row.__set_first_task(part.first_task);
        row.__set_task_total(part.task_total);
        row.__set_accepted_ms(now_ms);
        wire::inbox_row inbox;
        inbox.__set_operation(operation.str());
        inbox.__set_submit(row);
        transaction.writes.push_back({inbox_key(part.cell, operation), encode_row(inbox)});
    }
    const std::string index_key = job_index_key(spec.team, operation_id(job.str()));
    transaction.checks.push_back({index_key, row_version()});
    transaction.writes.insert(transaction.writes.begin(), {index_key, encode_row(index)});
    return transaction;
}

table_transaction instruct_cells(const wire::job_index_row& index, row_version version, const operation_id& key,
                                 bool cancel)
{
    const operation_id operation((cancel ? "cancel/" : "resume/") + index.job + "/" + key.str());
    const std::string index_key = job_index_key(team_id(index.team), operation_id(index.job));
    table_transaction transaction;
    transaction.operation = operation;
    // Owners remove inbox rows once they are carried out; the index row stays and tells later whose write took effect.
    transaction.checks.push_back({index_key, version});
    transaction.writes.push_back({index_key, encode_row(index)});
    for (const std::string& cell : index.cells) {
        wire::inbox_row inbox;
        inbox.__set_operation(operation.str());
        if (cancel) {
            inbox.__set_cancel_job(index.job);
        }
        else {
            inbox.__set_resume_job(index.job);
        }
        transaction.writes.push_back({inbox_key(cell_id(cell), operation), encode_row(inbox)});
    }
    return transaction;
}

} // namespace skylarkhub
