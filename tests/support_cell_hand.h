// Drives one cell by hand in virtual time: each event is given, each action is looked at. No fake world behind it.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cell_p.h"
#include "row_codec_p.h"
#include "row_keys_p.h"

namespace skylarkhub::hand {

using namespace std::chrono_literals;

inline const cell_id the_cell("dc1.r1");
inline const incarnation_id self("e1@1");
inline const incarnation_id other("e2@1");

inline listed_worker list_worker(const std::string& name, resources capacity = {4000, 8000, 0})
{
    return {worker_id(name), data_centre_id("dc1"), rack_id("r1"), net_address("127.0.0.1:1"), capacity, false};
}

inline wire::job_row make_job(const std::string& id, std::int32_t tasks, std::int64_t cpu = 1000)
{
    wire::resources_row declared;
    declared.__set_cpu_millis(cpu);
    declared.__set_memory_mib(100);
    wire::job_spec_row spec;
    spec.__set_team("t");
    spec.__set_name(id);
    spec.__set_kind("crawl");
    spec.__set_declared(declared);
    spec.__set_task_count(tasks);
    wire::job_row row;
    row.__set_job(id);
    row.__set_spec(spec);
    row.__set_task_total(tasks);
    row.__set_accepted_ms(1);
    return row;
}

inline table_row inbox(const std::string& operation, const wire::inbox_row& row)
{
    return {inbox_key(the_cell, operation_id(operation)), encode_row(row), row_version(1), operation_id(operation)};
}

inline table_row submit(const wire::job_row& job)
{
    wire::inbox_row row;
    row.__set_operation("submit-" + job.job);
    row.__set_submit(job);
    return inbox("submit-" + job.job, row);
}

inline table_row cancel(const std::string& job)
{
    wire::inbox_row row;
    row.__set_operation("cancel-" + job);
    row.__set_cancel_job(job);
    return inbox("cancel-" + job, row);
}

inline table_row cell_row_of(const wire::cell_row& row, std::int64_t version, const std::string& operation = "x")
{
    return {cell_key(the_cell), encode_row(row), row_version(version), operation_id(operation)};
}

inline task_report report_task(const task_start& start, task_state state = task_state::running)
{
    task_report report;
    report.task = start.task;
    report.attempt = start.attempt;
    report.state = state;
    report.lease_until = start.lease_until;
    report.declared = start.spec.declared;
    return report;
}

struct driver {
    cell c{the_cell, self, cell_settings{}};
    instant now{};
    std::vector<cell_action> actions; // of the newest event
    std::int64_t version = 0;
    std::map<std::string, worker_request> sent; // the newest to each worker
    std::vector<table_transaction> commits;

    driver() : now(1000s) {}

    void give(const cell_event& event)
    {
        actions.clear();
        c.decide(now, event, actions);
        for (const send_worker& action : all<send_worker>()) {
            sent[action.request.worker.str()] = action.request;
        }
        for (const commit_cell& action : all<commit_cell>()) {
            commits.push_back(action.transaction);
        }
    }
    void tick(duration step = duration(0))
    {
        now += step;
        give(cell_tick{wall_time(now.time_since_epoch())});
    }
    template <class Action> std::vector<Action> all() const
    {
        std::vector<Action> found;
        for (const cell_action& action : actions) {
            if (const auto* const a = std::get_if<Action>(&action)) {
                found.push_back(*a);
            }
        }
        return found;
    }
    template <class Action> bool has() const { return !all<Action>().empty(); }

    void row_absent() { give(cell_row_seen{true, {cell_key(the_cell), std::nullopt, row_version(0), operation_id()}}); }

    // Answers the newest commit.
    void applied()
    {
        const table_transaction transaction = commits.back();
        ++version;
        table_result result{transaction.operation, table_outcome::applied, {}, ""};
        result.rows.push_back({cell_key(the_cell), std::nullopt, row_version(version), transaction.operation});
        give(cell_committed{std::move(result)});
    }
    // Answers the newest request to a worker.
    void answered(const std::string& worker, worker_report report)
    {
        const worker_request request = sent.at(worker);
        report.accepted = true;
        report.epoch = request.epoch;
        report.now = worker_time(now.time_since_epoch());
        report.capacity = {4000, 8000, 0};
        report.boot = "b";
        give(cell_worker_answered{request.worker, request.sequence, now, std::move(report)});
    }
    // Commands of one type in the newest request to a worker.
    template <class Command> std::vector<Command> told(const std::string& worker) const
    {
        std::vector<Command> found;
        for (const worker_command& command : sent.at(worker).commands) {
            if (const auto* const wanted = std::get_if<Command>(&command)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }

    // Owner of a new cell with the workers fenced and `inbox_rows` waiting; ends with the first exchange that follows.
    void own(const std::vector<std::string>& names, const std::vector<table_row>& inbox_rows = {})
    {
        give(cell_members_seen{{self}});
        std::vector<listed_worker> workers;
        workers.reserve(names.size());
        for (const std::string& name : names) {
            workers.push_back(list_worker(name));
        }
        give(cell_workers_listed{workers});
        tick();
        row_absent();
        take_over({}, inbox_rows);
    }
    // From a takeover commit among the newest actions to the placement of what is in the inbox.
    void take_over(const std::vector<table_row>& job_rows, const std::vector<table_row>& inbox_rows)
    {
        applied();
        const std::map<std::string, worker_request> fences = sent;
        give(cell_jobs_read{{job_prefix(the_cell), true, job_rows, ""}});
        for (const auto& [worker, request] : fences) {
            answered(worker, {});
            answered(worker, {});
        }
        give(cell_inbox_read{{inbox_prefix(the_cell), true, inbox_rows, ""}});
        tick(config::place_interval);
    }
};

} // namespace skylarkhub::hand
