// skylarkctl explain: the story of one job from logs, offline.
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iostream>

#include "ctl_p.h"
#include "log_story_p.h"

namespace skylarkhub::ctl {

namespace {

void read_lines(std::istream& in, const std::string& name, std::vector<logged_line>& lines)
{
    std::string text;
    while (std::getline(in, text)) {
        if (auto line = parse_logged_line(text, name)) {
            lines.push_back(std::move(*line));
        }
    }
}

void read_log(const std::string& path, std::vector<logged_line>& lines)
{
    if (path == "-") {
        read_lines(std::cin, "-", lines);
        return;
    }
    std::ifstream file(path);
    if (!file) {
        throw usage_error{"cannot read " + path};
    }
    read_lines(file, path, lines);
}

// The longest time between two lines tells where the job waited.
void print_longest_gap(const job_story& story)
{
    std::size_t longest = 0;
    for (std::size_t i = 1; i < story.lines.size(); ++i) {
        const auto gap_before = [&](std::size_t at) { return story.lines[at].time - story.lines[at - 1].time; };
        longest = longest == 0 || gap_before(i) > gap_before(longest) ? i : longest;
    }
    if (longest != 0) {
        const absl::Duration gap = story.lines[longest].time - story.lines[longest - 1].time;
        std::cout << fmt::format("longest gap: {:.3f} s before line {}\n", absl::ToDoubleSeconds(gap), longest + 1);
    }
}

void print_story(const job_story& story)
{
    for (const auto& [source, ahead] : story.ahead) {
        std::cout << fmt::format("clock of {} put forward by {:.3f} s\n", source, absl::ToDoubleSeconds(ahead));
    }
    const absl::Time begun = story.lines.front().time;
    std::size_t number = 0;
    for (const story_line& told : story.lines) {
        std::cout << fmt::format("{:>4} {:>9.3f} s  {}  {}\n", ++number, absl::ToDoubleSeconds(told.time - begun),
                                 told.line.source, told.line.text);
    }
    print_longest_gap(story);
}

} // namespace

exit_code explain_job(context& c)
{
    const std::string job = take_word(c, 0, "a job's id");
    std::vector<logged_line> lines;
    if (c.words.size() == 1) {
        read_log("-", lines);
    }
    for (std::size_t i = 1; i < c.words.size(); ++i) {
        read_log(c.words[i], lines);
    }
    const job_story story = order_story(lines_of_job(lines, job));
    if (story.lines.empty()) {
        std::cerr << "skylarkctl: no line names " << job << '\n';
        return exit_code::refused;
    }
    print_story(story);
    return exit_code::ok;
}

} // namespace skylarkhub::ctl
