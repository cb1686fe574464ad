// Keys of the table. A part that comes from a caller is escaped, so that no name can reach into another one's rows.
#pragma once

#include <string>
#include <string_view>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// Escapes '/' and '%' and everything outside printable ASCII as %XX.
std::string escape_key_part(std::string_view part);

std::string cell_key(const cell_id& cell);
std::string job_prefix(const cell_id& cell);
std::string job_key(const cell_id& cell, const job_id& job);
std::string inbox_prefix(const cell_id& cell);
std::string inbox_key(const cell_id& cell, const operation_id& operation);
std::string job_index_prefix(const team_id& team);
std::string job_index_key(const team_id& team, const operation_id& operation);
std::string standing_prefix();
std::string standing_key(const team_id& team, std::string_view name);
std::string settings_prefix();
std::string settings_key(std::string_view path);
std::string settings_versions_key();
// Of the row that replaced version `replaced` of a subtree.
std::string settings_history_prefix(std::string_view path);
std::string settings_history_key(std::string_view path, settings_version replaced);
std::string request_claim_key(const team_id& team, std::string_view caller_key);

// "JOB/INDEX" as workers see it, and back; empty when it is not of that form.
std::string format_task(const task_id& task);
std::optional<task_id> parse_task(std::string_view text);

} // namespace skylarkhub
