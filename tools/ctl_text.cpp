#include <absl/time/time.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

#include "ctl_p.h"

namespace skylarkhub::ctl {

namespace {

bool is_number(const std::string& text)
{
    return text.find_first_not_of("0123456789.,-%") == std::string::npos;
}

// Numbers go to the right, with their heading; a column of nothing but "-" and empty cells counts as numbers.
std::vector<bool> find_number_columns(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<bool> columns(rows.front().size(), rows.size() > 1);
    for (std::size_t row = 1; row < rows.size(); ++row) {
        for (std::size_t i = 0; i < columns.size() && i < rows[row].size(); ++i) {
            columns[i] = columns[i] && is_number(rows[row][i]);
        }
    }
    return columns;
}

} // namespace

std::string take_word(const context& c, std::size_t index, const char* what)
{
    if (index >= c.words.size()) {
        throw usage_error{fmt::format("{} is missing", what)};
    }
    return c.words[index];
}

exit_code fail(const context& c, const call_answer& answer)
{
    if (c.json && !answer.body.is_null()) {
        std::cout << answer.body.dump(2) << '\n';
    }
    switch (answer.outcome) {
    case call_outcome::ok:
        return exit_code::ok;
    case call_outcome::refused:
        std::cerr << "refused, nothing was done: " << answer.reason << '\n';
        if (answer.body.is_object() && answer.body.contains("problems")) {
            for (const nlohmann::json& problem : answer.body["problems"]) {
                std::cerr << fmt::format("  {} {}: {}\n", text_of(problem, "document"), text_of(problem, "path"),
                                         text_of(problem, "reason"));
            }
        }
        return exit_code::refused;
    case call_outcome::unreachable:
        std::cerr << "no entry was reached, nothing was done: " << answer.reason << '\n';
        return exit_code::unsure;
    case call_outcome::unknown:
        break;
    }
    std::cerr << "it may have been done or not: " << answer.reason << '\n';
    if (c.caller) {
        std::cerr << "to ask again safely, repeat the command with --operation-key " << c.caller->operation_key()
                  << '\n';
    }
    return exit_code::unsure;
}

bool confirm(const context& c, const std::string& question)
{
    if (c.flags.count("yes") > 0) {
        return true;
    }
    if (isatty(STDIN_FILENO) == 0) {
        throw usage_error{question + " Needs --yes when nobody can be asked."};
    }
    std::cerr << question << " Type yes to go on: ";
    std::string line;
    std::getline(std::cin, line);
    return line == "yes";
}

std::string read_file(const std::string& path)
{
    if (path == "-") {
        return {std::istreambuf_iterator<char>(std::cin), {}};
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw usage_error{path + ": cannot be read"};
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string format_time_ms(std::int64_t ms)
{
    return ms == 0 ? "" : absl::FormatTime("%Y-%m-%d %H:%M:%S", absl::FromUnixMillis(ms), absl::UTCTimeZone());
}

text_table::text_table(std::vector<std::string> headings)
{
    rows_.push_back(std::move(headings));
}

void text_table::add(std::vector<std::string> cells)
{
    rows_.push_back(std::move(cells));
}

void text_table::print() const
{
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_) {
        for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    const std::vector<bool> numbers = find_number_columns(rows_);
    for (const auto& row : rows_) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line +=
                numbers.at(i) ? fmt::format("{:>{}}  ", row[i], widths[i]) : fmt::format("{:<{}}  ", row[i], widths[i]);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        std::cout << line << '\n';
    }
}

std::string text_of(const nlohmann::json& value, const char* name)
{
    if (!value.is_object() || !value.contains(name) || value[name].is_null()) {
        return "";
    }
    const nlohmann::json& member = value[name];
    return member.is_string() ? member.get<std::string>() : member.dump();
}

} // namespace skylarkhub::ctl
