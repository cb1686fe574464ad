// skylarkctl: what its commands share.
#pragma once

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "http_client_p.h"

namespace skylarkhub::ctl {

// Exit codes, for scripts. `unsure`: no entry was reached, or what was asked may have been done or not.
enum class exit_code : int { ok = 0, refused = 1, usage = 2, unsure = 3 };

// A mistake in how the tool was called; ends the command with exit_code::usage.
struct usage_error {
    std::string reason;
};

// The answer of the entries, all tries taken together.
enum class call_outcome { ok, refused, unreachable, unknown };
struct call_answer {
    call_outcome outcome = call_outcome::unreachable;
    int status = 0;
    nlohmann::json body; // the JSON of the answer; null when there is none
    std::string reason;
    duration retry_after{0}; // as the entry asked
};

// Where the tool's commands go. Every try of one command carries the same operation key, so that trying the next entry
// after a lost answer is safe: an entry that finds the key done answers as the first one did.
class entry_caller {
public:
    struct options {
        std::vector<net_address> entries;
        std::string token;
        std::string author;
        std::string operation_key;
        duration timeout{std::chrono::seconds(10)}; // of one try
        duration wait{std::chrono::seconds(10)};    // for entries that say "come back later" or do not know
    };

    explicit entry_caller(options o);

    call_answer get(const std::string& target);

    // `part` tells the changes of one command apart; empty for a command that makes only one.
    call_answer change(const std::string& method, const std::string& target, const std::string& body,
                       const std::string& part = "");

    const std::string& operation_key() const { return options_.operation_key; }

private:
    call_answer call(const http_call& request);
    call_answer ask_all(http_call& request);

    options options_;
    http_client http_;
};

// Everything a command works with.
struct context {
    const cxxopts::ParseResult& flags;
    std::vector<std::string> words; // what follows the command's own words
    bool json = false;              // print answers as they came

    // Made at first use, because offline commands need no entry.
    entry_caller& entries();

    std::optional<entry_caller> caller{};
};

// The only word, or a usage error that names what is missing.
std::string take_word(const context& c, std::size_t index, const char* what);

// Prints an answer that is not ok and says how to go on.
exit_code fail(const context& c, const call_answer& answer);

// Asks before something is destroyed. False when the answer is no; a usage error when nobody can be asked.
bool confirm(const context& c, const std::string& question);

// Whole content of a file, "-" for standard input; a usage error when it cannot be read.
std::string read_file(const std::string& path);

// "2024-05-01 06:00:00", UTC; empty for 0.
std::string format_time_ms(std::int64_t ms);

// A table for people: columns as wide as needed, numbers to the right.
class text_table {
public:
    explicit text_table(std::vector<std::string> headings);
    void add(std::vector<std::string> cells);
    void print() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

// The call for a subtree; a usage error when the path names none.
std::string settings_target(const std::string& path);

// JSON, or nothing.
std::string format_value(const std::optional<nlohmann::json>& value);

// A member of an answer as text; empty when it is absent, so that an older entry's answer can still be shown.
std::string text_of(const nlohmann::json& value, const char* name);

// --- commands ---

exit_code submit(context& c);
exit_code list_jobs(context& c);
exit_code show_job(context& c);
exit_code cancel_job(context& c);
exit_code resume_job(context& c);
exit_code create_service(context& c);
exit_code remove_service(context& c);
exit_code list_services(context& c);
exit_code create_standing(context& c);
exit_code list_standing(context& c);
exit_code remove_standing(context& c);
exit_code apply_settings(context& c);
exit_code diff_settings(context& c);
exit_code check_directory(context& c);
exit_code show_settings(context& c);
exit_code show_history(context& c);
exit_code show_settings_status(context& c);
exit_code evacuate_data_centre(context& c);
exit_code take_back_data_centre(context& c);
exit_code list_evacuations(context& c);
exit_code list_entries(context& c);
exit_code list_cells(context& c);
exit_code report_burn(context& c);
exit_code explain_job(context& c);

} // namespace skylarkhub::ctl
