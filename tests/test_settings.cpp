#include <boost/test/unit_test.hpp>

#include <map>

#include "row_codec_p.h"
#include "settings_change_p.h"
#include "settings_file_p.h"
#include "settings_token_p.h"
#include "settings_tree_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

constexpr const char* defaults_document = R"({
    "kinds": {
        "bulletin": {"latency_critical": true, "exclusive": true, "latency_target_ms": 800, "deadline_ms": 3000},
        "digest": {"exclusive": true}},
    "requests": {"queue_length": 100}})";
constexpr const char* news_document = R"({
    "services": {"pages": {"kind": "bulletin", "slots": 4}},
    "kinds": {"bulletin": {"latency_target_ms": 500}}})";

wire::settings_row make_row(const std::string& path, std::int64_t version, const std::string& document)
{
    wire::settings_row row;
    row.__set_path(path);
    row.__set_version(version);
    row.__set_document(document);
    return row;
}

settings_tree make_tree()
{
    settings_tree tree;
    tree.apply(make_row("defaults", 1, defaults_document));
    tree.apply(make_row("data_centre/a", 2, R"({"requests": {"queue_length": 50}})"));
    tree.apply(make_row("team/news", 3, news_document));
    return tree;
}

bool has_problem(const std::vector<settings_problem>& problems, const std::string& path)
{
    return std::any_of(problems.begin(), problems.end(), [&](const settings_problem& p) { return p.path == path; });
}

// The platform's table as far as settings use it: versions, checks, and answers that may be lost.
struct fake_table {
    std::map<std::string, table_row> rows;

    table_row read(const std::string& key) const
    {
        const auto found = rows.find(key);
        return found == rows.end() ? table_row{key, {}, {}, {}} : found->second;
    }

    table_result commit(const table_transaction& t)
    {
        for (const table_check& check : t.checks) {
            if (read(check.key).version != check.version) {
                return {t.operation, table_outcome::conflict, {read(check.key)}, ""};
            }
        }
        for (const table_write& write : t.writes) {
            rows[write.key] = {write.key, write.value, read(write.key).version.next(), t.operation};
        }
        return {t.operation, table_outcome::applied, {}, ""};
    }
};

// One operator's entry: its own tree, the shared table.
struct entry_side {
    fake_table& table;
    settings_tree tree{};

    void poll()
    {
        const auto versions = read_versions_row(table.read(reads_of({}).versions));
        for (const std::string& path : tree.behind(*versions)) {
            settings_change named;
            named.path = path;
            tree.apply(*read_settings_row(table.read(reads_of(named).subtree)));
        }
        tree.reach(*versions);
    }

    change_step plan(const settings_change& change) const
    {
        const settings_reads reads = reads_of(change);
        return plan_change(tree, {table.read(reads.versions), table.read(reads.subtree), table.read(reads.history)},
                           change);
    }

    change_step run(const settings_change& change)
    {
        change_step step = change_again{};
        for (int i = 0; i < 10 && std::holds_alternative<change_again>(step); ++i) {
            poll();
            step = plan(change);
            if (const auto* commit = std::get_if<change_commit>(&step)) {
                step = conclude_change(*commit, table.commit(commit->transaction));
            }
        }
        return step;
    }
};

settings_change make_change(const std::string& operation, const std::string& path, std::int64_t expected,
                            const std::string& document)
{
    return {operation_id(operation), path, settings_version(expected), document, false, "ann", wall_time(1s)};
}

} // namespace

BOOST_AUTO_TEST_CASE(every_mistake_of_a_document_is_told_at_once)
{
    const auto problems = check_subtree("team/news", R"({
        "kinds": {"digest": {"idempotnt": true, "deadline_ms": -1}, "bad name": {}},
        "services": {"pages": {"kind": "bulletin", "slots": 1.5}},
        "quota": {"share": "much"}, "requests": null})");
    BOOST_TEST(problems.size() == 6U);
    for (const char* path : {"kinds.digest.idempotnt", "kinds.digest.deadline_ms", "kinds.bad name",
                             "services.pages.slots", "quota.share", "requests"}) {
        BOOST_TEST(has_problem(problems, path), path);
    }
}

BOOST_AUTO_TEST_CASE(a_name_that_stands_twice_is_refused)
{
    const auto problems = check_subtree("defaults", R"({"requests": {"queue_length": 1, "queue_length": 2}})");
    BOOST_REQUIRE(problems.size() == 1U);
    BOOST_TEST(problems[0].path == "requests.queue_length");
}

BOOST_AUTO_TEST_CASE(values_stay_at_their_level)
{
    BOOST_TEST(has_problem(check_subtree("defaults", R"({"services": {}})"), "services"));
    BOOST_TEST(has_problem(check_subtree("data_centre/a", R"({"token_sha256": ""})"), "token_sha256"));
    BOOST_TEST(has_problem(check_subtree("team/a", R"({"evacuated": true})"), "evacuated"));
    BOOST_TEST(check_subtree("team/../x", "{}").size() == 1U);
}

BOOST_AUTO_TEST_CASE(mistakes_between_documents_are_found)
{
    const auto problems =
        check_settings({{"defaults", R"({"kinds": {"crawl": {"billed": true, "idempotent": true, "exclusive": false},
                                    "page": {"latency_critical": true}}})"},
                        {"data_centre/a", R"({"kinds": {"other": {}}})"},
                        {"team/shops", R"({"services": {"checks": {"kind": "check"}, "audits": {}}})"}});
    for (const char* path : {"kinds.crawl.idempotent", "kinds.crawl.exclusive", "kinds.page.latency_target_ms",
                             "kinds.other", "services.checks.kind", "services.audits.kind"}) {
        BOOST_TEST(has_problem(problems, path), path);
    }
}

BOOST_AUTO_TEST_CASE(the_nearest_level_wins_and_is_named_as_the_origin)
{
    settings_tree tree = make_tree();
    const team_id team("news");
    const auto kind = tree.find_kind(team, data_centre_id("a"), kind_id("bulletin"));
    BOOST_REQUIRE(kind.has_value());
    BOOST_TEST(kind->latency_target.count() == 500'000);
    BOOST_TEST(kind->exclusive);
    BOOST_TEST(!kind->idempotent); // nobody said so
    BOOST_TEST(tree.limits(team, data_centre_id("a")).queue_length == 50);
    BOOST_TEST(tree.limits(team, data_centre_id("b")).queue_length == 100);
    BOOST_TEST(tree.evacuated_data_centres().empty());
    tree.apply(make_row("data_centre/b", 900, R"({"evacuated": true})"));
    BOOST_TEST(tree.is_evacuated(data_centre_id("b")));
    BOOST_TEST(!tree.is_evacuated(data_centre_id("a")));
    BOOST_TEST(tree.find_service(team, data_centre_id("a"), "pages")->slots == 4);
    BOOST_TEST(!tree.find_service(team, data_centre_id("a"), "none").has_value());

    std::map<std::string, std::string> origins;
    for (const effective_value& value : tree.effective(team, data_centre_id("a"))) {
        origins[value.path] = value.origin;
    }
    BOOST_TEST(origins["kinds.bulletin.latency_target_ms"] == "team/news");
    BOOST_TEST(origins["kinds.bulletin.deadline_ms"] == "defaults");
    BOOST_TEST(origins["requests.queue_length"] == "data_centre/a");
    BOOST_TEST(origins["services.pages.connections"] == "built_in");
}

BOOST_AUTO_TEST_CASE(a_team_meets_its_own_kind_and_others_the_common_one)
{
    const auto kinds = make_tree().kinds(data_centre_id("a"));
    BOOST_TEST(find_kind(kinds, team_id("news"), kind_id("bulletin"))->latency_target.count() == 500'000);
    BOOST_TEST(find_kind(kinds, team_id("shops"), kind_id("bulletin"))->latency_target.count() == 800'000);
    BOOST_TEST(find_kind(kinds, team_id("shops"), kind_id("crawl")) == nullptr);
}

// An entry that was paused wakes up and pushes the tree of an hour ago. Its rows arrive after the new ones. They are
// passed over row by row, since each carries the version at which it was accepted.
BOOST_AUTO_TEST_CASE(an_old_push_reverts_nothing)
{
    settings_tree tree = make_tree();
    const wire::settings_push old = tree.newer_than({});
    tree.apply(make_row("team/news", 9, R"({"services": {}})"));
    BOOST_TEST(!tree.apply(old));
    BOOST_TEST(tree.version_of("team/news").value() == 9);
}

// A push of only the newest change reaches an entry that missed the one before it. The entry must take the change, and
// must not claim the version, or nobody would ever send it what it missed.
BOOST_AUTO_TEST_CASE(a_push_with_a_gap_does_not_raise_the_version)
{
    settings_tree tree;
    wire::settings_push push;
    push.__set_newer_than(4);
    push.__set_version(5);
    push.__set_subtrees({make_row("team/news", 5, news_document)});
    BOOST_TEST(tree.apply(push));
    BOOST_TEST(tree.version_of("team/news").value() == 5);
    BOOST_TEST(tree.version().value() == 0);
}

BOOST_AUTO_TEST_CASE(an_entry_born_in_an_outage_takes_all_from_a_peer)
{
    fake_table table;
    entry_side old{table};
    old.run(make_change("1", "defaults", 0, defaults_document));
    old.run(make_change("2", "team/news", 0, news_document));
    settings_change removal = make_change("3", "team/news", 2, "");
    removal.removed = true;
    old.run(removal);
    old.poll();
    settings_tree fresh;
    BOOST_TEST(fresh.apply(old.tree.newer_than(fresh.version())));
    BOOST_TEST(fresh.version().value() == 3);
    BOOST_TEST(fresh.documents().size() == 1U); // the removed subtree came as a tombstone
    BOOST_TEST(fresh.version_of("team/news").value() == 3);
}

// A newer entry accepted a name that this one does not know. Refusing the row would leave the old value in force here.
BOOST_AUTO_TEST_CASE(a_row_with_unknown_names_is_taken)
{
    settings_tree tree = make_tree();
    BOOST_TEST(tree.apply(make_row("defaults", 8, R"({"new_thing": 1, "requests": {"queue_length": 7}})")));
    BOOST_TEST(tree.limits(team_id("x"), data_centre_id("b")).queue_length == 7);
}

// Two operators change two subtrees at the same time and meet at the version row. The loser's own subtree did not move,
// so it reads again and succeeds without being told.
BOOST_AUTO_TEST_CASE(two_operators_on_two_subtrees_both_succeed)
{
    fake_table table;
    entry_side one{table};
    entry_side two{table};
    one.run(make_change("0", "defaults", 0, defaults_document));
    one.poll();
    two.poll();
    const settings_change a = make_change("a", "team/news", 0, news_document);
    const settings_change b = make_change("b", "team/shops", 0, "{}");
    const auto step_a = std::get<change_commit>(one.plan(a));
    const auto step_b = std::get<change_commit>(two.plan(b));
    BOOST_TEST(std::holds_alternative<change_done>(conclude_change(step_a, table.commit(step_a.transaction))));
    BOOST_TEST(std::holds_alternative<change_again>(conclude_change(step_b, table.commit(step_b.transaction))));
    BOOST_TEST(std::get<change_done>(two.run(b)).version.value() == 3);
    one.poll();
    BOOST_TEST(one.tree.versions().size() == 3U);
}

// Every entry of a site makes a change of its own subtree at the same moment, all based on the same version row. Each
// round one of them wins; the others must go on by themselves, and all must be in force in the end.
BOOST_AUTO_TEST_CASE(many_operators_on_many_subtrees_all_succeed)
{
    constexpr int operators = 9;
    fake_table table;
    std::vector<entry_side> entries(operators, entry_side{table});
    int done = 0;
    for (int round = 0; round < operators; ++round) {
        std::vector<std::pair<settings_change, change_step>> planned;
        for (int i = 0; i < operators; ++i) {
            entries[i].poll();
            const settings_change change =
                make_change("op" + std::to_string(i), "team/t" + std::to_string(i), 0, R"({"quota": {"share": 2}})");
            planned.emplace_back(change, entries[i].plan(change));
        }
        done = 0;
        for (const auto& [change, step] : planned) {
            if (const auto* commit = std::get_if<change_commit>(&step)) {
                table.commit(commit->transaction);
            }
            done += std::holds_alternative<change_done>(step) ? 1 : 0;
        }
        BOOST_TEST(done == round); // of earlier rounds, each settled by its own rows
    }
    entries[0].poll();
    BOOST_TEST(entries[0].tree.versions().size() == static_cast<std::size_t>(operators));
}

// Two operators change one subtree from the same version. One wins; the other is told the version and whose it is.
BOOST_AUTO_TEST_CASE(two_operators_on_one_subtree_get_one_winner)
{
    fake_table table;
    entry_side one{table};
    entry_side two{table};
    BOOST_TEST(std::holds_alternative<change_done>(one.run(make_change("a", "team/news", 0, "{}"))));
    const change_step lost = two.run(make_change("b", "team/news", 0, R"({"quota": {"share": 2}})"));
    BOOST_REQUIRE(std::holds_alternative<change_conflict>(lost));
    BOOST_TEST(std::get<change_conflict>(lost).current.value() == 1);
    BOOST_TEST(std::get<change_conflict>(lost).author == "ann");
}

// The change takes effect but its answer is lost, and another operator replaces it before the first one tries again.
// The second try must hear "done": a conflict would make the operator apply it once more, over the other's change.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled_even_after_others_moved_on)
{
    fake_table table;
    entry_side one{table};
    entry_side two{table};
    const settings_change lost = make_change("a", "team/news", 0, R"({"quota": {"share": 2}})");
    one.poll();
    const auto commit = std::get<change_commit>(one.plan(lost));
    table.commit(commit.transaction);
    const change_step unknown = conclude_change(commit, {lost.operation, table_outcome::unknown, {}, ""});
    BOOST_TEST(std::get<change_again>(unknown).unknown);
    BOOST_TEST(std::get<change_done>(two.run(make_change("b", "team/news", 1, "{}"))).version.value() == 2);
    BOOST_TEST(std::get<change_done>(one.run(lost)).version.value() == 1);
    one.poll();
    BOOST_TEST(one.tree.row("team/news")->document == "{}");
}

// One operator removes a kind while another one, through an entry that has not seen this yet, begins to use it. Both
// are right against what they see; were both accepted, a service would have no kind.
BOOST_AUTO_TEST_CASE(a_kind_is_not_removed_under_a_new_user)
{
    fake_table table;
    entry_side one{table};
    entry_side two{table};
    one.run(make_change("0", "defaults", 0, defaults_document));
    one.poll();
    two.poll();
    const auto removal = std::get<change_commit>(one.plan(make_change("a", "defaults", 1, "{}")));
    BOOST_TEST(std::holds_alternative<change_done>(
        two.run(make_change("b", "team/news", 0, R"({"services": {"pages": {"kind": "bulletin"}}})"))));
    BOOST_TEST(std::holds_alternative<change_again>(conclude_change(removal, table.commit(removal.transaction))));
    const change_step refused = one.run(make_change("a", "defaults", 1, "{}"));
    BOOST_REQUIRE(std::holds_alternative<change_refused>(refused));
    BOOST_TEST(std::get<change_refused>(refused).problems[0].document == "team/news");
}

BOOST_AUTO_TEST_CASE(history_keeps_a_bounded_number_of_changes)
{
    fake_table table;
    entry_side one{table};
    for (std::int64_t i = 0; i < 60; ++i) {
        const std::string document = R"({"quota": {"queued_jobs": )" + std::to_string(i) + "}}";
        BOOST_REQUIRE(std::holds_alternative<change_done>(
            one.run(make_change("op" + std::to_string(i), "team/news", i, document))));
    }
    const auto kept = std::count_if(table.rows.begin(), table.rows.end(), [](const auto& row) {
        return row.first.starts_with("settings_history/") && row.second.value;
    });
    BOOST_TEST(kept == static_cast<std::ptrdiff_t>(settings_history_kept));
}

BOOST_AUTO_TEST_CASE(a_team_changes_its_own_subtree_only)
{
    settings_tree tree;
    const settings_path news{settings::team, "news"};
    BOOST_TEST(tree.may_change(news, ""));
    tree.apply(make_row("defaults", 1, R"({"token_sha256": ")" + hash_token("site") + "\"}"));
    tree.apply(make_row("team/news", 2, R"({"token_sha256": ")" + hash_token("press") + "\"}"));
    BOOST_TEST(tree.may_change(news, "press"));
    BOOST_TEST(tree.may_change(news, "site"));
    BOOST_TEST(!tree.may_change(news, ""));
    BOOST_TEST(!tree.may_change({settings::team, "shops"}, "press"));
    BOOST_TEST(!tree.may_change({settings::defaults, ""}, "press"));
    for (const effective_value& value : tree.effective(team_id("news"), {})) {
        BOOST_TEST((value.path != "token_sha256" || value.value == "set"));
    }
}

BOOST_AUTO_TEST_CASE(the_file_of_an_entry_is_checked)
{
    std::vector<settings_problem> problems;
    const auto good = parse_entry_settings(R"({"name": "e1", "data_centre": "a", "http_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0", "platform_address": "127.0.0.1:7000"})",
                                           problems);
    BOOST_REQUIRE_MESSAGE(good.has_value(), format_problems(problems));
    BOOST_TEST(good->http_threads > 0);

    BOOST_TEST(!parse_entry_settings(R"({"name": "e1", "http_address": "localhost:1", "peer_address": "127.0.0.1:99999",
        "platform_address": "127.0.0.1:1", "colour": 1, "peers": ["x"]})",
                                     problems)
                    .has_value());
    for (const char* path : {"data_centre", "http_address", "peer_address", "colour", "peers[0]"}) {
        BOOST_TEST(has_problem(problems, path), path);
    }
    BOOST_TEST(problems.size() == 5U);
}
