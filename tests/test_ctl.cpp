#include <boost/test/unit_test.hpp>

#include <absl/synchronization/mutex.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "burn_p.h"
#include "burn_page_p.h"
#include "http_server_p.h"
#include "settings_plan_p.h"
#include "settings_tree_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;
namespace fs = std::filesystem;
using nlohmann::json;

namespace {

fs::path make_folder()
{
    std::string name = (fs::temp_directory_path() / "skylarkctl-XXXXXX").string();
    BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
    return name;
}

struct folder {
    fs::path path = make_folder();

    folder() = default;
    ~folder() { fs::remove_all(path); }
    folder(const folder&) = delete;
    folder& operator=(const folder&) = delete;

    void write(const std::string& name, const std::string& text) const
    {
        fs::create_directories((path / name).parent_path());
        std::ofstream(path / name) << text;
    }
};

std::string read_all(const fs::path& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

struct tool_result {
    int code = -1;
    std::string out;
    std::string err;
};

// Runs the tool as an operator would and waits for its end.
tool_result run_tool(const folder& scratch, std::vector<std::string> words)
{
    const std::string program = std::string(std::getenv("SKYLARKHUB_BIN")) + "/skylarkctl";
    const fs::path out = scratch.path / ".out";
    const fs::path err = scratch.path / ".err";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, out.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    posix_spawn_file_actions_addopen(&files, STDERR_FILENO, err.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    words.insert(words.begin(), program);
    words.insert(words.end(), {"--wait-ms", "0"});
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    pid_t child = 0;
    BOOST_REQUIRE(posix_spawn(&child, program.c_str(), &files, nullptr, arguments.data(), environ) == 0);
    posix_spawn_file_actions_destroy(&files);
    int status = 0;
    BOOST_REQUIRE(waitpid(child, &status, 0) == child);
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, read_all(out), read_all(err)};
}

// The site's settings and jobs as far as the tool sees them, shared by several fake entries.
struct fake_site {
    absl::Mutex mutex;
    std::int64_t version = 0;
    std::map<std::string, std::pair<std::int64_t, std::string>> subtrees; // version and document, empty when removed
    std::map<std::string, std::string> jobs;                              // by operation key
    std::vector<std::string> tokens;

    void put(const std::string& path, const std::string& document)
    {
        const absl::MutexLock lock(&mutex);
        subtrees[path] = {++version, document};
    }
};

json describe(const std::string& path, const std::pair<std::int64_t, std::string>& held)
{
    json body{{"path", path},
              {"version", held.first},
              {"removed", held.second.empty()},
              {"author", "bea"},
              {"changed_ms", 1}};
    if (!held.second.empty()) {
        body["document"] = json::parse(held.second);
    }
    return body;
}

http_response answer_settings(fake_site& site, const http_request& request, const std::string& path)
{
    const auto found = site.subtrees.find(path);
    const std::int64_t current = found == site.subtrees.end() ? 0 : found->second.first;
    if (request.method == "GET") {
        return {current == 0 ? 404 : 200, {}, current == 0 ? "" : describe(path, found->second).dump()};
    }
    if (std::stoll(std::string(find_field(request.query, "version"))) != current) {
        return {409, {}, json{{"error", "conflict"}, {"field", ""}, {"reason", "moved"}}.dump()};
    }
    site.subtrees[path] = {++site.version, request.method == "DELETE" ? "" : request.body};
    return {200, {}, json{{"path", path}, {"version", site.version}}.dump()};
}

http_response answer(fake_site& site, const http_request& request)
{
    const absl::MutexLock lock(&site.mutex);
    site.tokens.emplace_back(find_field(request.headers, "authorization"));
    const std::string settings_prefix = "/v1/settings/";
    if (request.path == "/v1/settings") {
        json list = json::array();
        for (const auto& [path, held] : site.subtrees) {
            list.push_back(describe(path, held));
        }
        return {200, {}, json{{"version", site.version}, {"subtrees", list}}.dump()};
    }
    if (request.path.starts_with(settings_prefix)) {
        return answer_settings(site, request, request.path.substr(settings_prefix.size()));
    }
    if (request.path == "/v1/jobs" && request.method == "POST") {
        const std::string key(find_field(request.headers, "operation-key"));
        const auto [job, fresh] = site.jobs.try_emplace(key, "job-" + std::to_string(site.jobs.size()));
        return {202, {}, json{{"job", job->second}}.dump()};
    }
    return {404, {}, json{{"error", "not_found"}, {"field", ""}, {"reason", "no such call"}}.dump()};
}

std::unique_ptr<http_server> serve(http_handler handler)
{
    std::string reason;
    auto server = http_server::start({net_address("127.0.0.1:0")}, std::move(handler), &reason);
    BOOST_REQUIRE_MESSAGE(server, reason);
    return server;
}

std::unique_ptr<http_server> serve_site(fake_site& site)
{
    return serve([&site](const http_request& request, const http_reply& reply) { reply(answer(site, request)); });
}

constexpr const char* defaults_document = R"({"kinds": {"digest": {"exclusive": true}}})";

} // namespace

// --- plan ---

BOOST_AUTO_TEST_CASE(a_plan_holds_only_what_changed_and_leaves_others_subtrees_alone)
{
    settings_directory directory;
    directory.documents = {{"defaults", "{}"}, {"team/a", R"({"quota": {"share": 2}})"}, {"team/new", "{}"}};
    directory.versions = {
        {"defaults", settings_version(1)}, {"team/a", settings_version(2)}, {"team/gone", settings_version(3)}};
    const std::map<std::string, site_subtree> site{
        {"defaults", {settings_version(1), false, "{ }", "", {}}},
        {"team/a", {settings_version(2), false, R"({"quota": {"share": 1}})", "", {}}},
        {"team/gone", {settings_version(3), false, "{}", "", {}}},
        {"team/other", {settings_version(4), false, "{}", "", {}}},
    };
    const auto steps = plan_apply(directory, site, false);
    BOOST_REQUIRE(steps.size() == 4U);
    BOOST_TEST((steps[0].kind == plan_kind::same));
    BOOST_TEST((steps[1].kind == plan_kind::change));
    BOOST_TEST(steps[1].changes[0].path == "quota.share");
    BOOST_TEST((steps[2].kind == plan_kind::create));
    BOOST_TEST((steps[3].kind == plan_kind::remove));
    BOOST_TEST(steps[3].destroys);
}

BOOST_AUTO_TEST_CASE(a_subtree_somebody_else_moved_is_a_conflict_unless_overwritten_knowingly)
{
    settings_directory directory;
    directory.documents = {{"team/a", R"({"quota": {"share": 2}})"}};
    directory.versions = {{"team/a", settings_version(2)}};
    const std::map<std::string, site_subtree> site{
        {"team/a", {settings_version(7), false, R"({"quota": {"share": 9}})", "bea", {}}}};
    BOOST_TEST((plan_apply(directory, site, false)[0].kind == plan_kind::conflict));
    const plan_step forced = plan_apply(directory, site, true)[0];
    BOOST_TEST((forced.kind == plan_kind::change));
    BOOST_TEST(forced.base.value() == 7);
    BOOST_TEST(forced.destroys);
}

// --- the tool ---

BOOST_AUTO_TEST_CASE(the_examples_are_right)
{
    const folder scratch;
    const fs::path examples = fs::path(std::getenv("SKYLARKHUB_SOURCE")) / "examples";
    for (const char* name : {"01-tausi-settings", "02-blue-mahoe-settings"}) {
        const tool_result result = run_tool(scratch, {"check", (examples / name).string()});
        BOOST_TEST(result.code == 0, name << ": " << result.err);
        BOOST_TEST(result.out.find("5 subtrees checked, 0 mistakes") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(check_tells_every_mistake_with_file_path_and_reason)
{
    const folder scratch;
    scratch.write("defaults.json", R"({"kinds": {"x": {"deadline_ms": -1, "idempotent": 1}}})");
    scratch.write("team/a.json", R"({"services": {"s": {"kind": "none"}}})");
    scratch.write("teams/b.json", "{}");
    const tool_result result = run_tool(scratch, {"check", scratch.path.string()});
    BOOST_TEST(result.code == 1);
    for (const char* line : {"defaults.json: kinds.x.deadline_ms: must be from", "defaults.json: kinds.x.idempotent:",
                             "team/a.json: services.s.kind: there is no kind", "teams/b.json: is no subtree"}) {
        BOOST_TEST(result.err.find(line) != std::string::npos, line << " in " << result.err);
    }
}

BOOST_AUTO_TEST_CASE(wrong_usage_is_told_apart)
{
    const folder scratch;
    BOOST_TEST(run_tool(scratch, {"no-such-command"}).code == 2);
    BOOST_TEST(run_tool(scratch, {"jobs"}).code == 2);
    BOOST_TEST(run_tool(scratch, {"entries", "--entry", "somewhere:1"}).code == 2);
    BOOST_TEST(run_tool(scratch, {"cancel", "j", "--entry", "127.0.0.1:1"}).code == 2); // nobody can be asked
    BOOST_TEST(run_tool(scratch, {"jobs", "--entry", "127.0.0.1:1", "--dry-run"}).code == 2);
}

BOOST_AUTO_TEST_CASE(apply_shows_its_plan_changes_only_what_differs_and_records_versions)
{
    const folder scratch;
    fake_site site;
    const auto server = serve_site(site);
    scratch.write("defaults.json", defaults_document);
    scratch.write("team/a.json", R"({"quota": {"share": 2}})");
    const std::string entry = server->address().str();
    const tool_result dry = run_tool(scratch, {"apply", scratch.path.string(), "--entry", entry, "--dry-run"});
    BOOST_TEST(dry.code == 0);
    BOOST_TEST(dry.out.find("+ quota.share: 2") != std::string::npos, dry.out);
    BOOST_TEST(site.version == 0);

    BOOST_TEST(run_tool(scratch, {"apply", scratch.path.string(), "--entry", entry}).code == 0);
    BOOST_TEST(site.version == 2);
    BOOST_TEST(json::parse(read_all(scratch.path / "versions.json")).at("team/a") == 2);

    scratch.write("team/a.json", R"({"quota": {"share": 3}})");
    BOOST_TEST(run_tool(scratch, {"apply", scratch.path.string(), "--entry", entry}).code == 0);
    BOOST_TEST(site.version == 3);
    BOOST_TEST(site.subtrees.at("defaults").first == 1);
}

// Between two applies of one directory somebody else changes the same subtree at the site. The second apply must not
// undo that change silently; its other subtrees go through all the same.
BOOST_AUTO_TEST_CASE(apply_meets_a_subtree_that_somebody_else_moved)
{
    const folder scratch;
    fake_site site;
    const auto server = serve_site(site);
    const std::vector<std::string> apply{"apply", scratch.path.string(), "--entry", server->address().str()};
    scratch.write("defaults.json", defaults_document);
    scratch.write("team/a.json", "{}");
    scratch.write("team/b.json", "{}");
    BOOST_TEST(run_tool(scratch, apply).code == 0);
    site.put("team/a", R"({"quota": {"share": 9}})");
    scratch.write("team/a.json", R"({"quota": {"share": 2}})");
    scratch.write("team/b.json", R"({"quota": {"share": 3}})");
    const tool_result met = run_tool(scratch, apply);
    BOOST_TEST(met.code == 1);
    BOOST_TEST(met.out.find("conflict team/a: bea changed it as version 4") != std::string::npos, met.out);
    BOOST_TEST(site.subtrees.at("team/a").first == 4);
    BOOST_TEST(site.subtrees.at("team/b").first == 5);

    std::vector<std::string> forced = apply;
    forced.emplace_back("--onto-current");
    BOOST_TEST(run_tool(scratch, forced).code == 2); // goes over another's change: nobody can be asked
    forced.emplace_back("--yes");
    BOOST_TEST(run_tool(scratch, forced).code == 0);
    BOOST_TEST(site.subtrees.at("team/a").first == 6);
}

// Guards against an evacuation that drops what else the data centre's settings hold, or changes what is done already.
BOOST_AUTO_TEST_CASE(a_data_centre_is_evacuated_shown_and_taken_back)
{
    const folder scratch;
    fake_site site;
    const auto server = serve_site(site);
    const std::string entry = server->address().str();
    site.put("data_centre/a", R"({"requests": {"queue_length": 50}})");
    const auto document = [&site](const char* path) { return json::parse(site.subtrees.at(path).second); };
    for (const char* const data_centre : {"a", "b"}) {
        BOOST_TEST(run_tool(scratch, {"evacuate", data_centre, "--entry", entry}).code == 0);
    }
    BOOST_TEST((document("data_centre/a") == json::parse(R"({"requests": {"queue_length": 50}, "evacuated": true})")));
    const tool_result shown = run_tool(scratch, {"evacuations", "--entry", entry, "--json"});
    BOOST_TEST(json::parse(shown.out).at("evacuations").size() == 2U);
    const std::int64_t version = site.version;
    BOOST_TEST(run_tool(scratch, {"evacuate", "a", "--entry", entry}).code == 0);
    BOOST_TEST(site.version == version);
    BOOST_TEST(run_tool(scratch, {"take-back", "a", "--entry", entry}).code == 0);
    BOOST_TEST((document("data_centre/a") == json::parse(R"({"requests": {"queue_length": 50}})")));
    const tool_result left = run_tool(scratch, {"evacuations", "--entry", entry, "--json"});
    BOOST_TEST(json::parse(left.out).at("evacuations").size() == 1U);
}

// The first entry hands the job in and dies before it answers. The tool asks the next entry with the same operation
// key, which knows the job already: one job, and the operator hears its name.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled_by_the_next_entry_with_the_same_key)
{
    const folder scratch;
    fake_site site;
    const auto lossy = serve([&site](const http_request& request, const http_reply& reply) {
        answer(site, request);
        reply({504, {}, json{{"error", "unknown"}, {"field", ""}, {"reason", "no answer"}}.dump()});
    });
    const auto good = serve_site(site);
    const std::vector<std::string> words{
        "submit", "--team", "a", "--name", "n", "--kind", "k", "--entry", lossy->address().str()};
    const tool_result alone = run_tool(scratch, words);
    BOOST_TEST(alone.code == 3);
    BOOST_TEST(alone.err.find("--operation-key") != std::string::npos);
    std::vector<std::string> both = words;
    both.insert(both.end(), {"--entry", good->address().str()});
    const tool_result settled = run_tool(scratch, both);
    BOOST_TEST(settled.code == 0);
    BOOST_TEST(settled.out == "job-1\n");
    BOOST_TEST(site.jobs.size() == 2U);
}

// The first entry's answer is lost, the second one is not available. "Not available" says nothing about the first try,
// which may have been carried out: the tool must not report that nothing was done.
BOOST_AUTO_TEST_CASE(an_unavailable_entry_does_not_settle_a_lost_answer)
{
    const folder scratch;
    const auto lossy = serve([](const http_request&, const http_reply& reply) { reply({504, {}, ""}); });
    const auto busy = serve([](const http_request&, const http_reply& reply) { reply({503, {}, ""}); });
    const std::vector<std::string> words{"resume", "j"};
    const auto with = [&](std::vector<std::string> entries) {
        for (std::string& entry : entries) {
            entry = "--entry=" + entry;
        }
        entries.insert(entries.begin(), words.begin(), words.end());
        return run_tool(scratch, entries).code;
    };
    BOOST_TEST(with({busy->address().str()}) == 1);
    BOOST_TEST(with({lossy->address().str(), busy->address().str()}) == 3);
    BOOST_TEST(with({busy->address().str(), lossy->address().str()}) == 3);
    BOOST_TEST(with({lossy->address().str(), "127.0.0.1:1"}) == 3);
    BOOST_TEST(with({"127.0.0.1:1"}) == 3);
}

BOOST_AUTO_TEST_CASE(the_token_goes_out_and_is_never_printed)
{
    const folder scratch;
    fake_site site;
    const auto server = serve_site(site);
    scratch.write("token", "hunter2hunter2\n");
    const tool_result result = run_tool(scratch, {"jobs", "--entry", server->address().str(), "--json", "--token-file",
                                                  (scratch.path / "token").string()});
    BOOST_TEST(result.code == 1);
    BOOST_TEST(site.tokens.at(0) == "Bearer hunter2hunter2");
    BOOST_TEST((result.out + result.err).find("hunter2") == std::string::npos);
}

// --- report ---

BOOST_AUTO_TEST_CASE(the_page_needs_nothing_else_and_shows_names_as_text)
{
    burn_recorder recorder;
    recorder.record(instant(1h), service_id("a/<script>"), team_id("a"), service_outcome::unknown, 1s, 100ms);
    recorder.add_batch(team_id("a"), {1, 1, 0, 0, 0, 0});
    burn_report report = recorder.report(instant(1h), [](const service_id&) { return 0.99; });
    report.sources.push_back({"e9", "north", {}, {}, true, "no answer"});
    std::string reason;
    const auto page = format_burn_page(format_report(report), &reason);
    BOOST_REQUIRE_MESSAGE(page.has_value(), reason);
    BOOST_TEST(page->find("<script") == std::string::npos);
    BOOST_TEST(page->find("a/&lt;script&gt;") != std::string::npos);
    BOOST_TEST(page->find("http") == std::string::npos);
    BOOST_TEST(page->find("e9 in north: no answer") != std::string::npos);
    BOOST_TEST(page->find("fast_burn") != std::string::npos);
    BOOST_TEST(!format_burn_page(json::object(), &reason).has_value());
}
