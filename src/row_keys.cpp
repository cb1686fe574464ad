#include "row_keys_p.h"

#include <fmt/format.h>

#include <charconv>

namespace skylarkhub {

std::string escape_key_part(std::string_view part)
{
    std::string out;
    for (const char c : part) {
        const bool plain = c > ' ' && c <= '~' && c != '/' && c != '%';
        if (plain) {
            out.push_back(c);
        }
        else {
            out += fmt::format("%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return out;
}

std::string cell_key(const cell_id& cell)
{
    return "cell/" + escape_key_part(cell.str());
}

std::string job_prefix(const cell_id& cell)
{
    return "job/" + escape_key_part(cell.str()) + "/";
}

std::string job_key(const cell_id& cell, const job_id& job)
{
    return job_prefix(cell) + escape_key_part(job.str());
}

std::string inbox_prefix(const cell_id& cell)
{
    return "inbox/" + escape_key_part(cell.str()) + "/";
}

std::string inbox_key(const cell_id& cell, const operation_id& operation)
{
    return inbox_prefix(cell) + escape_key_part(operation.str());
}

std::string job_index_prefix(const team_id& team)
{
    return "job_index/" + escape_key_part(team.str()) + "/";
}

std::string job_index_key(const team_id& team, const operation_id& operation)
{
    return job_index_prefix(team) + escape_key_part(operation.str());
}

std::string standing_prefix()
{
    return "standing/";
}

std::string standing_key(const team_id& team, std::string_view name)
{
    return standing_prefix() + escape_key_part(team.str()) + "/" + escape_key_part(name);
}

std::string settings_prefix()
{
    return "settings/";
}

std::string settings_key(std::string_view path)
{
    return settings_prefix() + escape_key_part(path);
}

std::string settings_versions_key()
{
    return "settings_versions";
}

std::string settings_history_prefix(std::string_view path)
{
    return "settings_history/" + escape_key_part(path) + "/";
}

// Digits are padded so that the table lists history in its order.
std::string settings_history_key(std::string_view path, settings_version replaced)
{
    return fmt::format("{}{:012}", settings_history_prefix(path), replaced.value());
}

std::string request_claim_key(const team_id& team, std::string_view caller_key)
{
    return "request/" + escape_key_part(team.str()) + "/" + escape_key_part(caller_key);
}

std::string format_task(const task_id& task)
{
    return fmt::format("{}/{}", task.job.str(), task.index);
}

std::optional<task_id> parse_task(std::string_view text)
{
    const auto slash = text.rfind('/');
    if (slash == std::string_view::npos || slash == 0) {
        return std::nullopt;
    }
    task_id task{job_id(text.substr(0, slash)), 0};
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + slash + 1, end, task.index);
    if (error != std::errc() || stop != end || task.index < 0) {
        return std::nullopt;
    }
    return task;
}

} // namespace skylarkhub
