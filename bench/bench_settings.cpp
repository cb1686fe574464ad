// Cost of the settings tree at the size to design for: 11 data centres and 120 teams.
#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

#include "row_codec_p.h"
#include "settings_change_p.h"

using namespace skylarkhub;

namespace {

constexpr int data_centres = 11;
constexpr int kinds_of_site = 6;
constexpr int services_of_team = 10;

std::string make_defaults()
{
    nlohmann::json document;
    for (int i = 0; i < kinds_of_site; ++i) {
        document["kinds"][fmt::format("kind_{}", i)] = {
            {"latency_critical", true}, {"exclusive", true}, {"latency_target_ms", 500}, {"deadline_ms", 3000}};
    }
    return document.dump(2);
}

std::string make_team(int number)
{
    nlohmann::json document;
    for (int i = 0; i < services_of_team; ++i) {
        document["services"][fmt::format("service_{}", i)] = {{"kind", fmt::format("kind_{}", i % kinds_of_site)},
                                                              {"availability_objective", 0.999},
                                                              {"slots", 8},
                                                              {"connections", 60}};
    }
    document["kinds"]["kind_0"]["latency_target_ms"] = 400;
    document["quota"]["cpu_millis"] = 100000 + number;
    return document.dump(2);
}

wire::settings_row make_row(const std::string& path, std::int64_t version, const std::string& document)
{
    wire::settings_row row;
    row.__set_path(path);
    row.__set_version(version);
    row.__set_document(document);
    return row;
}

std::vector<wire::settings_row> make_rows(int teams)
{
    std::vector<wire::settings_row> rows{make_row("defaults", 1, make_defaults())};
    for (int i = 0; i < data_centres; ++i) {
        rows.push_back(make_row(fmt::format("data_centre/dc{}", i), static_cast<std::int64_t>(rows.size()) + 1,
                                R"({"kinds": {"kind_1": {"latency_target_ms": 700}}})"));
    }
    for (int i = 0; i < teams; ++i) {
        rows.push_back(make_row(fmt::format("team/t{}", i), static_cast<std::int64_t>(rows.size()) + 1, make_team(i)));
    }
    return rows;
}

wire::settings_versions_row make_versions(const std::vector<wire::settings_row>& rows)
{
    wire::settings_versions_row versions;
    for (const wire::settings_row& row : rows) {
        versions.subtrees[row.path] = row.version;
    }
    versions.__set_version(static_cast<std::int64_t>(rows.size()));
    return versions;
}

settings_tree make_tree(const std::vector<wire::settings_row>& rows)
{
    settings_tree tree;
    for (const wire::settings_row& row : rows) {
        tree.apply(row);
    }
    tree.reach(make_versions(rows));
    return tree;
}

// Taking the whole tree, as an entry does at its start; with its memory and the bytes of a whole push.
void take_tree(benchmark::State& state)
{
    const auto rows = make_rows(static_cast<int>(state.range(0)));
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::size_t before = mallinfo2().uordblks;
        const settings_tree tree = make_tree(rows);
        bytes = mallinfo2().uordblks - before;
    }
    state.counters["memory_bytes"] = static_cast<double>(bytes);
    state.counters["push_bytes"] = static_cast<double>(encode_row(make_tree(rows).newer_than({})).size());
    state.counters["versions_row_bytes"] = static_cast<double>(encode_row(make_versions(rows)).size());
}
BENCHMARK(take_tree)->Arg(30)->Arg(60)->Arg(120)->Unit(benchmark::kMicrosecond);

// What an entry spends on one change made elsewhere: the row, and the tree copied for its readers.
void take_change(benchmark::State& state)
{
    const auto rows = make_rows(static_cast<int>(state.range(0)));
    settings_tree tree = make_tree(rows);
    wire::settings_row row = rows.back();
    for (auto _ : state) {
        row.version += 1;
        tree.apply(row);
        benchmark::DoNotOptimize(settings_tree(tree));
    }
    state.counters["row_bytes"] = static_cast<double>(encode_row(row).size());
}
BENCHMARK(take_change)->Arg(30)->Arg(60)->Arg(120)->Unit(benchmark::kMicrosecond);

// What the entry that is asked spends on a change of a team, all checks included.
void plan_team_change(benchmark::State& state)
{
    const auto rows = make_rows(static_cast<int>(state.range(0)));
    const settings_tree tree = make_tree(rows);
    settings_change change;
    change.operation = operation_id("op");
    change.path = rows.back().path;
    change.expected = settings_version(rows.back().version);
    change.document = make_team(7777);
    const settings_reads reads = reads_of(change);
    const settings_rows seen{
        {reads.versions, encode_row(make_versions(rows)), row_version(1), {}},
        {reads.subtree, encode_row(rows.back()), row_version(1), {}},
        {reads.history, {}, {}, {}},
    };
    for (auto _ : state) {
        const change_step step = plan_change(tree, seen, change);
        if (!std::holds_alternative<change_commit>(step)) {
            state.SkipWithError("the change was not planned");
            break;
        }
    }
}
BENCHMARK(plan_team_change)->Arg(30)->Arg(60)->Arg(120)->Unit(benchmark::kMicrosecond);

void look_up_service(benchmark::State& state)
{
    const settings_tree tree = make_tree(make_rows(120));
    for (auto _ : state) {
        benchmark::DoNotOptimize(tree.find_service(team_id("t77"), data_centre_id("dc3"), "service_4"));
    }
}
BENCHMARK(look_up_service)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
