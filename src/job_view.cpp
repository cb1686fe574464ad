#include "job_view_p.h"

#include <algorithm>
#include <array>

#include "job_accept_p.h"
#include "job_json_p.h"
#include "job_row_p.h"
#include "row_codec_p.h"

namespace skylarkhub {

namespace {

using json = nlohmann::json;

constexpr std::array<std::string_view, 4> phase_names{"queued", "finished", "parked", "cancelled"};

struct task_counts {
    std::array<std::int32_t, phase_names.size()> by_phase{};
    std::int32_t running = 0;
    std::string last_reason;
};

std::size_t index_of(wire::task_phase_row::type phase)
{
    return std::min(static_cast<std::size_t>(phase), phase_names.size() - 1);
}

task_counts count_tasks(const std::vector<job_part>& parts)
{
    task_counts counts;
    for (const job_part& part : parts) {
        std::int32_t ended = 0;
        for (const wire::task_row& task : expand_tasks(part.row)) {
            const std::size_t phase = index_of(task.phase);
            ended += phase > 0 ? 1 : 0;
            counts.by_phase.at(phase) += phase > 0 ? 1 : 0;
            counts.last_reason = task.last_reason.empty() ? counts.last_reason : task.last_reason;
        }
        const std::int32_t open = part.row.task_total - ended;
        const std::int32_t running = std::min(open, part.running);
        counts.running += running;
        counts.by_phase[0] += open - running;
    }
    return counts;
}

json list_tasks(const std::vector<job_part>& parts)
{
    json list = json::array();
    for (const job_part& part : parts) {
        for (const wire::task_row& task : expand_tasks(part.row)) {
            list.push_back({{"index", task.index},
                            {"phase", phase_names.at(index_of(task.phase))},
                            {"attempt", task.attempt},
                            {"attempts_failed", task.attempts_failed},
                            {"last_reason", task.last_reason}});
        }
    }
    return list;
}

} // namespace

std::string format_parts(const std::vector<job_part>& parts)
{
    json list = json::array();
    for (const job_part& part : parts) {
        list.push_back({{"cell", part.cell}, {"row", encode_row(part.row)}, {"running", part.running}});
    }
    return list.dump();
}

std::vector<job_part> parse_parts(const std::string& text)
{
    std::vector<job_part> parts;
    const json list = json::parse(text, nullptr, false);
    if (!list.is_array()) {
        return parts;
    }
    for (const json& item : list) {
        const bool whole = item.is_object() && item.contains("row") && item["row"].is_string() &&
                           item.contains("cell") && item["cell"].is_string() && item.contains("running") &&
                           item["running"].is_number_integer();
        const auto row = whole ? decode_row<wire::job_row>(item["row"].get<std::string>()) : std::nullopt;
        if (row) {
            parts.push_back({item["cell"].get<std::string>(), *row, item["running"].get<std::int32_t>()});
        }
    }
    return parts;
}

json format_job(const std::vector<job_part>& parts, bool whole)
{
    const wire::job_row& first = parts.front().row;
    const job_spec spec = from_row(first.spec);
    const task_counts counts = count_tasks(parts);
    json cells = json::array();
    std::int64_t ended_ms = 0;
    bool open = false;
    bool cancelling = false;
    for (const job_part& part : parts) {
        cells.push_back(part.cell);
        ended_ms = std::max(ended_ms, part.row.ended_ms);
        open = open || part.row.ended_ms == 0;
        cancelling = cancelling || part.row.cancelling;
    }
    json out = format_job_spec(spec);
    out["job"] = first.job;
    out["standing"] = spec.standing;
    out["accepted_ms"] = first.accepted_ms;
    out["ended_ms"] = open ? 0 : ended_ms;
    out["cancelling"] = cancelling;
    for (std::size_t i = 0; i < phase_names.size(); ++i) {
        out[std::string(phase_names.at(i))] = counts.by_phase.at(i);
    }
    out["running"] = counts.running;
    out["last_reason"] = counts.last_reason;
    out["cells"] = cells;
    out["payload_bytes"] = spec.payload.size();
    out.erase("payload");
    if (whole) {
        out["tasks"] = list_tasks(parts);
    }
    else {
        for (const char* detail :
             {"declared", "run_time_ms", "attempt_limit", "payload_bytes", "slots", "connections"}) {
            out.erase(detail);
        }
    }
    return out;
}

} // namespace skylarkhub
