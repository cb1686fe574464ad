#include "log_story_p.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <set>

namespace skylarkhub {

namespace {

constexpr std::array<std::string_view, 4> levels{"debug", "info", "warning", "error"};
constexpr std::size_t words_before_most = 4; // that a collector puts before a line
constexpr absl::Duration least_step = absl::Milliseconds(1);

// Takes the next word, or the next key="value with spaces", off the front.
std::string take_token(std::string_view& rest)
{
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    std::string token;
    bool quoted = false;
    std::size_t i = 0;
    for (; i < rest.size() && (quoted || rest[i] != ' '); ++i) {
        if (rest[i] == '\\' && quoted && i + 1 < rest.size()) {
            token += rest[++i];
        }
        else if (rest[i] == '"') {
            quoted = !quoted;
        }
        else {
            token += rest[i];
        }
    }
    rest.remove_prefix(i);
    return token;
}

std::string field_of(const logged_line& line, const char* name)
{
    const auto at = line.fields.find(name);
    return at == line.fields.end() ? "" : at->second;
}

bool names_job(const logged_line& line, const std::string& job)
{
    const std::string task = field_of(line, "task");
    return field_of(line, "job") == job || task == job || task.rfind(job + ".", 0) == 0;
}

// "JOB/STEP/INDEX/RUN/WORKER" of a line about a run.
std::string run_key(const logged_line& line)
{
    std::string task = field_of(line, "job") + '/' + field_of(line, "step") + '/' + field_of(line, "index");
    const std::vector<std::string> parts = absl::StrSplit(field_of(line, "task"), '.');
    if (parts.size() == 4) {
        task = parts[0] + '/' + parts[2] + '/' + parts[3];
    }
    return task + '/' + field_of(line, "run") + '/' + field_of(line, "worker");
}

std::string next_epoch(const std::string& epoch)
{
    std::int64_t number = 0;
    return absl::SimpleAtoi(epoch, &number) ? std::to_string(number + 1) : "";
}

// What a line is a cause of, and what it follows from; empty: nothing that is known.
std::string cause_key(const logged_line& line)
{
    if (line.subject == "job" && line.event == "accepted") {
        return "accepted " + field_of(line, "job");
    }
    if (line.subject == "run" && line.event == "placed") {
        return "run " + run_key(line);
    }
    if (line.subject == "cell" && line.event == "taken") {
        return "taken " + field_of(line, "cell") + ' ' + field_of(line, "epoch");
    }
    return "";
}

std::vector<std::string> effect_keys(const logged_line& line)
{
    const std::string cell = field_of(line, "cell");
    std::int64_t epoch = 0;
    const bool numbered = absl::SimpleAtoi(field_of(line, "epoch"), &epoch);
    if (line.subject == "job" && line.event == "bound") {
        return {"accepted " + field_of(line, "job")};
    }
    if (line.subject == "run" && line.event == "ended") {
        return {"run " + run_key(line)};
    }
    if (line.subject == "cell" && line.event == "lost") {
        return {"taken " + cell + ' ' + next_epoch(field_of(line, "epoch"))};
    }
    if (line.subject == "cell" && line.event == "taken" && numbered) {
        return {"taken " + cell + ' ' + std::to_string(epoch - 1)};
    }
    return {};
}

// Puts clocks forward until no effect comes before its cause, each source's in as many rounds as there are sources: a
// clock that jumped may contradict itself for ever.
std::map<std::string, absl::Duration> align_clocks(const std::vector<logged_line>& lines)
{
    std::map<std::string, const logged_line*> causes;
    std::set<std::string> sources;
    for (const logged_line& line : lines) {
        causes.emplace(cause_key(line), &line);
        sources.insert(line.source);
    }
    std::map<std::string, absl::Duration> ahead;
    bool moved = true;
    for (std::size_t round = 0; moved && round <= sources.size(); ++round) {
        moved = false;
        for (const logged_line& line : lines) {
            for (const std::string& key : effect_keys(line)) {
                const auto cause = causes.find(key);
                if (cause == causes.end() || cause->second->source == line.source) {
                    continue;
                }
                const absl::Time before = cause->second->time + ahead[cause->second->source];
                if (line.time + ahead[line.source] <= before) {
                    ahead[line.source] = before + least_step - line.time;
                    moved = true;
                }
            }
        }
    }
    std::erase_if(ahead, [](const auto& source) { return source.second == absl::ZeroDuration(); });
    return ahead;
}

} // namespace

std::optional<logged_line> parse_logged_line(std::string_view line, const std::string& file)
{
    logged_line out;
    out.source = file;
    std::string_view rest = line;
    for (std::size_t i = 0; i <= words_before_most; ++i) {
        rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
        out.text = std::string(rest);
        const std::string word = take_token(rest);
        if (std::find(levels.begin(), levels.end(), word) == levels.end()) {
            out.source = word;
            continue;
        }
        std::string reason;
        if (!absl::ParseTime(absl::RFC3339_full, take_token(rest), &out.time, &reason)) {
            return std::nullopt;
        }
        out.subject = take_token(rest);
        out.event = take_token(rest);
        while (rest.find_first_not_of(' ') != std::string_view::npos) {
            const std::string token = take_token(rest);
            const std::size_t equals = token.find('=');
            if (equals != std::string::npos) {
                out.fields[token.substr(0, equals)] = token.substr(equals + 1);
            }
        }
        return out;
    }
    return std::nullopt;
}

std::vector<logged_line> lines_of_job(const std::vector<logged_line>& lines, const std::string& job)
{
    std::set<std::string> workers;
    std::set<std::string> cells;
    for (const logged_line& line : lines) {
        if (names_job(line, job)) {
            workers.insert(field_of(line, "worker"));
            cells.insert({field_of(line, "cell"), field_of(line, "to"), field_of(line, "from")});
        }
    }
    workers.erase("");
    cells.erase("");
    std::vector<logged_line> out;
    std::set<std::string> begun; // sources that have told of the job
    for (const logged_line& line : lines) {
        const bool own = names_job(line, job);
        const bool of_worker =
            (line.subject == "worker" || line.subject == "pace") && workers.count(field_of(line, "worker")) != 0;
        const bool of_cell = line.subject == "cell" && line.event != "load" && cells.count(field_of(line, "cell")) != 0;
        if (own) {
            begun.insert(line.source);
        }
        if (own || (of_cell && !begun.empty()) || (of_worker && begun.count(line.source) != 0)) {
            out.push_back(line);
        }
    }
    return out;
}

job_story order_story(std::vector<logged_line> lines)
{
    job_story story;
    story.ahead = align_clocks(lines);
    std::map<std::string, absl::Time> reached; // by each source: a clock set back does not turn its lines round
    for (logged_line& line : lines) {
        const auto ahead = story.ahead.find(line.source);
        const absl::Time told = line.time + (ahead == story.ahead.end() ? absl::ZeroDuration() : ahead->second);
        const auto [at, first] = reached.emplace(line.source, told);
        at->second = std::max(at->second, told);
        story.lines.push_back({std::move(line), at->second});
    }
    std::stable_sort(story.lines.begin(), story.lines.end(),
                     [](const story_line& a, const story_line& b) { return a.time < b.time; });
    return story;
}

} // namespace skylarkhub
