#include "log_line_p.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <fmt/format.h>

#include <array>
#include <atomic>
#include <cstdio>

namespace skylarkhub {

namespace {

std::atomic<log_level> least_level{log_level::info};

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};

void append_value(std::string& line, std::string_view value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\t\\") == std::string_view::npos) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        line += (c == '\n' || c == '\r') ? ' ' : c;
    }
    line += '"';
}

} // namespace

void write_log(log_level level, std::string_view subject, std::string_view event,
               std::initializer_list<log_field> fields)
{
    if (level < least_level.load(std::memory_order_relaxed)) {
        return;
    }
    const std::string time = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
    std::string line =
        fmt::format("{} {} {} {}", level_names.at(static_cast<std::size_t>(level)), time, subject, event);
    for (const log_field& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        append_value(line, field.value);
    }
    line += '\n';
    fmt::print("{}", line);
    std::fflush(stdout);
}

void set_log_level(log_level level)
{
    least_level.store(level, std::memory_order_relaxed);
}

} // namespace skylarkhub
