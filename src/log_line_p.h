// Structured logs: one line on standard error for each event, `LEVEL TIME SUBJECT EVENT key=value ...`.
#pragma once

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

// Writes one line, whole, from any thread. Secrets and request bodies are never passed here.
void write_log(log_level level, std::string_view subject, std::string_view event,
               std::initializer_list<log_field> fields = {});

// Lines below this level are dropped; info at start.
void set_log_level(log_level level);

} // namespace skylarkhub
