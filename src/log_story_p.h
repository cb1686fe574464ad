// The story of one job from the logs of several entries: which lines belong to it, and in which order they happened.
#pragma once

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhub {

// One line as log_line_p.h writes it. A collector may have put words before it, the last of them the entry's name.
struct logged_line {
    std::string source; // the entry, or the file that the line stands in
    absl::Time time;    // of that entry's clock
    std::string subject;
    std::string event;
    std::map<std::string, std::string> fields;
    std::string text; // from the level on, as it stands there
};

// Empty for a line of another form. `file` is the source of a line without a name before it.
std::optional<logged_line> parse_logged_line(std::string_view line, const std::string& file);

// Lines of a job: those that name it, and those that tell what became of the workers its tasks ran on and of the cells
// it was bound or given to, from its first line on. `lines`: each source's in the order in which it wrote them.
std::vector<logged_line> lines_of_job(const std::vector<logged_line>& lines, const std::string& job);

struct story_line {
    logged_line line;
    absl::Time time; // on a common clock, as far as it is known
};

struct job_story {
    std::vector<story_line> lines;
    std::map<std::string, absl::Duration> ahead; // by how much a source's clock was put forward; others: not at all
};

// Entries' clocks differ, and jump. A source's own lines stay in their order. Between sources a cause comes before what
// follows from it: a job is accepted before it is bound, a run is placed before it ends, a cell is taken by one owner
// before the one before it sees that, and by its owners in the order of epochs. A source whose lines would contradict
// that has its clock put forward by the least that mends it; where nothing contradicts, its time is believed.
job_story order_story(std::vector<logged_line> lines);

} // namespace skylarkhub
