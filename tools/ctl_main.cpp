// skylarkctl: the operators' tool. Exit codes: 0 done, 1 refused or conflict (nothing was done), 2 wrong usage, 3 no
// entry reached or outcome unknown.
#include <fmt/format.h>
#include <pwd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <set>

#include "ctl_p.h"

namespace skylarkhub::ctl {

namespace {

constexpr std::size_t author_length_most = 64;

struct command {
    const char* words; // as typed
    const char* arguments;
    std::set<std::string> flags; // beside those of every command
    const char* help;
    exit_code (*run)(context&);
};

const std::set<std::string> job_options{"file",    "cpu-millis",  "memory-mib",    "accelerators", "tasks",
                                        "urgency", "run-time-ms", "attempt-limit", "payload",      "payload-file",
                                        "kind",    "dry-run",     "slots",         "connections"};
const std::set<std::string> common_options{"entry",         "token-file", "json",    "author",
                                           "operation-key", "timeout-ms", "wait-ms", "help"};

std::set<std::string> job_options_and(std::set<std::string> more)
{
    more.insert(job_options.begin(), job_options.end());
    return more;
}

const std::vector<command>& commands()
{
    static const std::vector<command> table{
        {"submit", "", job_options_and({"team", "name"}), "hand in a job", &submit},
        {"jobs", "", {"team"}, "list jobs", &list_jobs},
        {"show", "JOB", {}, "show a job and its tasks", &show_job},
        {"cancel", "JOB", {"yes"}, "cancel a job", &cancel_job},
        {"resume", "JOB", {}, "take a job out of its park", &resume_job},
        {"service create", "TEAM NAME", job_options_and({}), "run a service", &create_service},
        {"service list", "", {"team"}, "list services", &list_services},
        {"service remove", "TEAM NAME", {"yes"}, "stop a service", &remove_service},
        {"standing create", "TEAM NAME", job_options_and({"period-ms", "first-due-ms", "catch-up"}),
         "hand in recurring work", &create_standing},
        {"standing list", "", {"team"}, "list recurring work", &list_standing},
        {"standing remove", "TEAM NAME", {"yes"}, "end recurring work", &remove_standing},
        {"check", "DIR", {"with"}, "check a settings directory, offline", &check_directory},
        {"diff", "DIR", {}, "compare a settings directory with the site", &diff_settings},
        {"apply", "DIR", {"dry-run", "yes", "onto-current"}, "put a settings directory in force", &apply_settings},
        {"show-settings",
         "PATH",
         {"effective", "data-centre"},
         "show a subtree, or what is in force and why",
         &show_settings},
        {"history", "PATH", {}, "show who changed a subtree, and when", &show_history},
        {"settings status", "", {}, "show what each entry has in force", &show_settings_status},
        {"evacuate", "DATA-CENTRE", {}, "start no more tasks in a data centre", &evacuate_data_centre},
        {"take-back", "DATA-CENTRE", {}, "end the evacuation of a data centre", &take_back_data_centre},
        {"evacuations", "", {}, "list evacuated data centres", &list_evacuations},
        {"entries", "", {}, "list entries", &list_entries},
        {"cells", "", {}, "list cells and their owners", &list_cells},
        {"explain",
         "JOB [LOG...]",
         {},
         "tell a job's story from entries' logs, offline; - or no file: standard input",
         &explain_job},
        {"report burn", "", {"html", "file"}, "report the burn of error budgets", &report_burn},
    };
    return table;
}

std::string default_author()
{
    const passwd* const user = getpwuid(getuid());
    return user == nullptr ? "unknown" : std::string(user->pw_name).substr(0, author_length_most);
}

cxxopts::Options make_options()
{
    cxxopts::Options options("skylarkctl", "");
    options.custom_help("COMMAND [OPTIONS]");
    options.positional_help("");
    const auto text = [] { return cxxopts::value<std::string>(); };
    const auto number = [] { return cxxopts::value<std::int64_t>(); };
    options.add_options()("entry", "entry to ask; several are tried in turn",
                          cxxopts::value<std::vector<std::string>>(), "IP:PORT")(
        "token-file", "file with the team's or the site's token", text(), "FILE")("json", "print answers as JSON")(
        "author", "kept in the history; your login name when absent",
        text()->default_value(default_author()))("operation-key", "of an earlier try whose outcome was unknown", text(),
                                                 "KEY")("timeout-ms", "for each try", number()->default_value("10000"))(
        "wait-ms", "go on asking entries that are not available or do not know",
        number()->default_value("10000"))("help", "print this");
    options.add_options("jobs")("team", "", text())("name", "", text())("kind", "kind of work in the settings", text())(
        "file", "JSON file with the job (or, for a report, an answer kept earlier); - for standard input", text())(
        "cpu-millis", "of each task, in thousandths of a processor", number())("memory-mib", "of each task", number())(
        "accelerators", "of each task", number())("tasks", "number of tasks", number())(
        "urgency", "patient, normal or urgent", text())("run-time-ms", "expected, of each task", number())(
        "attempt-limit", "failed attempts before a task is parked", number())("payload", "handed to the tasks", text())(
        "payload-file", "the same from a file", text())("slots", "of one runner of a service", number())(
        "connections", "of one runner of a service", number())("period-ms", "between due times", number())(
        "first-due-ms", "first due time, milliseconds since 1970; 0: now", number()->default_value("0"))(
        "catch-up", "missed due times that are still run after a gap", number()->default_value("1"));
    options.add_options("settings")("dry-run", "show what would be done, and do nothing")(
        "yes", "do not ask before something is destroyed")("onto-current", "overwrite what somebody else changed")(
        "with", "a directory whose documents are taken along for checks", text(),
        "DIR")("effective", "what is in force, with the origin of each value")("data-centre", "in which it is in force",
                                                                               text());
    options.add_options("report")("html", "write a page that needs no other file", text(), "FILE");
    options.add_options("words")("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

void print_help(const cxxopts::Options& options)
{
    std::cout << "skylarkctl COMMAND [OPTIONS]: operators' tool of skylarkhub.\n\nCommands:\n";
    for (const command& known : commands()) {
        std::cout << fmt::format("  {:<32} {}\n", fmt::format("{} {}", known.words, known.arguments), known.help);
    }
    std::cout << options.help({"", "jobs", "settings", "report"})
              << "\nExit codes: 0 done; 1 refused or conflict, nothing was done; 2 wrong usage;\n"
                 "3 no entry reached, or outcome unknown (repeat with --operation-key).\n";
}

// The longest command that the words begin with, and how many words it takes.
const command* find_command(const std::vector<std::string>& words, std::size_t& taken)
{
    for (const command& known : commands()) {
        const std::string name = known.words;
        if (!words.empty() && words[0] == name) {
            taken = 1;
            return &known;
        }
        if (words.size() > 1 && words[0] + " " + words[1] == name) {
            taken = 2;
            return &known;
        }
    }
    return nullptr;
}

std::size_t count_words(const std::string& text)
{
    return text.empty() ? 0 : static_cast<std::size_t>(std::count(text.begin(), text.end(), ' ')) + 1;
}

// A flag that a command does not know is a mistake and not to be passed over: it may be --dry-run.
void check_flags(const cxxopts::ParseResult& flags, const command& known)
{
    for (const cxxopts::KeyValue& given : flags.arguments()) {
        if (given.key() != "words" && !common_options.contains(given.key()) && !known.flags.contains(given.key())) {
            throw usage_error{fmt::format("{} takes no --{}", known.words, given.key())};
        }
    }
}

exit_code run_command(const cxxopts::Options& options, const cxxopts::ParseResult& flags)
{
    const auto words =
        flags.count("words") > 0 ? flags["words"].as<std::vector<std::string>>() : std::vector<std::string>();
    if (flags.count("help") > 0 || (words.size() == 1 && words[0] == "help")) {
        print_help(options);
        return exit_code::ok;
    }
    std::size_t taken = 0;
    const command* const known = find_command(words, taken);
    if (known == nullptr) {
        throw usage_error{words.empty() ? "a command is needed; see --help" : "no such command; see --help"};
    }
    check_flags(flags, *known);
    context c{flags, {words.begin() + static_cast<std::ptrdiff_t>(taken), words.end()}, flags.count("json") > 0};
    const bool any_number = std::string_view(known->arguments).find("...") != std::string_view::npos;
    if (!any_number && c.words.size() > count_words(known->arguments)) {
        throw usage_error{
            fmt::format("{} takes {}", known->words, *known->arguments == 0 ? "no more words" : known->arguments)};
    }
    return known->run(c);
}

} // namespace

exit_code run(int argc, const char* const* argv)
{
    cxxopts::Options options = make_options();
    try {
        return run_command(options, options.parse(argc, argv));
    }
    catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "skylarkctl: " << error.what() << '\n';
    }
    catch (const usage_error& error) {
        std::cerr << "skylarkctl: " << error.reason << '\n';
    }
    return exit_code::usage;
}

} // namespace skylarkhub::ctl

int main(int argc, char** argv)
{
    return static_cast<int>(skylarkhub::ctl::run(argc, argv));
}
