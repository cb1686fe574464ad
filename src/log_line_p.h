// Structured logs: one line on standard output for each event, `LEVEL TIME SUBJECT EVENT key=value ...`.
#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace skylarkhub {

enum class log_level { debug, info, warning, error };

// One key=value field; values with spaces or quotes are quoted.
struct log_field {
    std::string_view key;
    std::string value;
};

// Lines on their way to a file, most often a pipe. Never waits for the reader: what the file does not take is kept up
// to waiting_bytes_most; lines beyond that are dropped and counted, and the count is told by a line of its own once
// there is room again. A line that repeats the one before is counted instead of written.
class log_queue {
public:
    static constexpr std::size_t waiting_bytes_most =
        256 << 10; // some seconds of the heaviest day, 1% of an entry's memory

    explicit log_queue(int file);
    ~log_queue();
    log_queue(const log_queue&) = delete;
    log_queue& operator=(const log_queue&) = delete;

    void put(log_level level, const std::string& text);
    void flush();
    std::int64_t dropped() const;
    std::int64_t bytes() const; // written so far

private:
    static constexpr std::size_t flush_bytes =
        2048; // written at once: a system call each line costs more than the line
    static constexpr absl::Duration flush_interval = absl::Milliseconds(50);

    void tell_repeats() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void append(const std::string& line) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void write_out() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    int file_;
    mutable absl::Mutex mutex_;
    std::string waiting_ ABSL_GUARDED_BY(mutex_);
    std::string last_text_ ABSL_GUARDED_BY(mutex_);
    log_level last_level_ ABSL_GUARDED_BY(mutex_) = log_level::debug;
    std::int64_t repeats_ ABSL_GUARDED_BY(mutex_) = 0;
    std::int64_t dropped_ ABSL_GUARDED_BY(mutex_) = 0;
    std::int64_t untold_drops_ ABSL_GUARDED_BY(mutex_) = 0;
    std::int64_t bytes_ ABSL_GUARDED_BY(mutex_) = 0;
    absl::Time flushed_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
};

// Writes one line, whole, from any thread, soon: at the latest at the next flush_log(). Secrets and request bodies are
// never passed here.
void write_log(log_level level, std::string_view subject, std::string_view event,
               std::initializer_list<log_field> fields = {});

// Hands over what waits. Called a few times a second, and before a process ends.
void flush_log();
std::int64_t log_lines_dropped();
std::int64_t log_bytes_written();

// Lines below this level are dropped; info at start.
void set_log_level(log_level level);

} // namespace skylarkhub
