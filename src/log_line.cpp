#include "log_line_p.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <climits>

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

std::string format_fields(std::string_view subject, std::string_view event, std::initializer_list<log_field> fields)
{
    std::string text = fmt::format("{} {}", subject, event);
    for (const log_field& field : fields) {
        text += ' ';
        text += field.key;
        text += '=';
        append_value(text, field.value);
    }
    return text;
}

std::string format_line(log_level level, const std::string& text)
{
    return fmt::format("{} {} {}\n", level_names.at(static_cast<std::size_t>(level)),
                       absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone()), text);
}

log_queue& standard_queue()
{
    static log_queue queue(STDOUT_FILENO);
    return queue;
}

} // namespace

log_queue::log_queue(int file) : file_(file) {}

log_queue::~log_queue()
{
    flush();
}

void log_queue::put(log_level level, const std::string& text)
{
    absl::MutexLock lock(&mutex_);
    if (text == last_text_ && level == last_level_) {
        ++repeats_;
        return;
    }
    tell_repeats();
    last_text_ = text;
    last_level_ = level;
    append(format_line(level, text));
    const absl::Time now = absl::Now();
    if (level >= log_level::warning || waiting_.size() >= flush_bytes || now - flushed_ >= flush_interval) {
        flushed_ = now;
        write_out();
    }
}

void log_queue::flush()
{
    absl::MutexLock lock(&mutex_);
    tell_repeats();
    flushed_ = absl::Now();
    write_out();
}

std::int64_t log_queue::dropped() const
{
    absl::MutexLock lock(&mutex_);
    return dropped_;
}

std::int64_t log_queue::bytes() const
{
    absl::MutexLock lock(&mutex_);
    return bytes_;
}

void log_queue::tell_repeats()
{
    if (repeats_ > 0) {
        const std::int64_t times = repeats_;
        repeats_ = 0;
        append(format_line(last_level_, fmt::format("log repeated times={}", times)));
    }
    last_text_.clear();
}

void log_queue::append(const std::string& line)
{
    if (waiting_.size() + line.size() > waiting_bytes_most) {
        ++dropped_;
        ++untold_drops_;
        return;
    }
    if (untold_drops_ > 0) {
        waiting_ += format_line(log_level::warning, fmt::format("log dropped lines={}", untold_drops_));
        untold_drops_ = 0;
    }
    waiting_ += line;
}

// A pipe that is ready takes PIPE_BUF bytes without waiting, so a reader that does not read never holds the caller up.
void log_queue::write_out()
{
    std::size_t written = 0;
    while (written < waiting_.size()) {
        pollfd ready{file_, POLLOUT, 0};
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        const std::size_t part = std::min<std::size_t>(waiting_.size() - written, PIPE_BUF);
        const ssize_t done = write(file_, waiting_.data() + written, part);
        if (done <= 0) {
            break;
        }
        written += static_cast<std::size_t>(done);
    }
    waiting_.erase(0, written);
    bytes_ += static_cast<std::int64_t>(written);
}

void write_log(log_level level, std::string_view subject, std::string_view event,
               std::initializer_list<log_field> fields)
{
    if (level < least_level.load(std::memory_order_relaxed)) {
        return;
    }
    standard_queue().put(level, format_fields(subject, event, fields));
}

void flush_log()
{
    standard_queue().flush();
}

std::int64_t log_lines_dropped()
{
    return standard_queue().dropped();
}

std::int64_t log_bytes_written()
{
    return standard_queue().bytes();
}

void set_log_level(log_level level)
{
    least_level.store(level, std::memory_order_relaxed);
}

} // namespace skylarkhub
