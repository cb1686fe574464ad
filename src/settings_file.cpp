#include "settings_file_p.h"

#include <fmt/format.h>

#include "config.h"

namespace skylarkhub {

std::optional<entry_settings> parse_entry_settings(std::string_view json, std::vector<settings_problem>& problems)
{
    settings::entry file;
    const std::size_t before = problems.size();
    parse_settings(json, std::nullopt, file, problems);
    if (problems.size() > before) {
        return std::nullopt;
    }
    entry_settings result;
    result.name = entry_id(file.name());
    result.data_centre = data_centre_id(file.data_centre());
    result.http_address = net_address(file.http_address());
    result.peer_address = net_address(file.peer_address());
    result.platform_address = net_address(file.platform_address());
    result.http_threads = file.http_threads() > 0 ? file.http_threads() : config::http_threads_default;
    result.machine.memory_bytes = std::int64_t{file.memory_mib() > 0 ? file.memory_mib() : config::memory_mib_default}
                                  << 20;
    if (file.descriptors() > 0) {
        result.machine.descriptors = file.descriptors();
    }
    for (const std::string& peer : file.peers()) {
        result.peers.emplace_back(peer);
    }
    result.table_writes_per_second =
        file.table_writes_per_second() > 0 ? file.table_writes_per_second() : config::table_writes_per_second;
    result.table_reads_per_second =
        file.table_reads_per_second() > 0 ? file.table_reads_per_second() : config::table_reads_per_second;
    result.log_level = file.log_level().empty() ? "info" : file.log_level();
    return result;
}

std::string format_problems(const std::vector<settings_problem>& problems)
{
    std::string text;
    for (const settings_problem& problem : problems) {
        text += fmt::format("{}{}{}{}: {}", text.empty() ? "" : "; ", problem.document,
                            problem.document.empty() || problem.path.empty() ? "" : " ", problem.path, problem.reason);
    }
    return text;
}

} // namespace skylarkhub
