// Drives one cell by hand in virtual time: each event is given, each action is looked at. No fake world behind it.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
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

inline table_row resume(const std::string& job)
{
    wire::inbox_row row;
    row.__set_operation("resume-" + job);
    row.__set_resume_job(job);
    return inbox("resume-" + job, row);
}

inline wire::cell_row make_row(std::int64_t epoch, const incarnation_id& owner,
                               const std::vector<std::string>& deputies, const std::vector<std::string>& workers = {})
{
    wire::cell_row row;
    row.__set_cell(the_cell.str());
    row.__set_epoch(epoch);
    row.__set_owner(owner.str());
    row.__set_deputies(deputies);
    row.__set_workers(workers);
    return row;
}

inline task_report report_task(const task_start& start, task_state state = task_state::running)
{
    task_report report;
    report.task = start.task;
    report.attempt = start.attempt;
    report.state = state;
    report.lease_until = start.lease_until;
    report.committed = start.committed;
    return report;
}

// A worker that does as it is told: what it is started runs until a test says otherwise.
struct worker_hand {
    std::vector<task_report> tasks;
    bool silent = false;     // requests do not reach it
    bool deaf_owner = false; // requests reach it, its answers are lost
    bool slow = false;       // requests and answers are still on their way
    bool leaving = false;
    std::string boot = "b";
    duration clock_offset{0}; // of this life
    skylarkhub::epoch fence;
    sequence_number newest; // of the requests under this fence
    resources capacity{4000, 8000, 0};
    std::vector<worker_request> requests; // that reached it
    int starts_refused = 0;               // for want of room by its own account

    resources committed() const
    {
        resources sum;
        for (const task_report& task : tasks) {
            sum = sum + (task.state == task_state::running ? task.committed : resources{});
        }
        return sum;
    }

    task_report* find(const task_id& task)
    {
        const auto found =
            std::find_if(tasks.begin(), tasks.end(), [&](const task_report& report) { return report.task == task; });
        return found == tasks.end() ? nullptr : &*found;
    }
    void obey(const worker_command& command)
    {
        if (const auto* const start = std::get_if<task_start>(&command)) {
            const bool fits_in = fits(committed() + start->committed, capacity);
            starts_refused += fits_in ? 0 : 1;
            if (fits_in && find(start->task) == nullptr) {
                tasks.push_back(report_task(*start));
            }
        }
        if (const auto* const renew = std::get_if<task_renew>(&command)) {
            task_report* const task = find(renew->task);
            if (task != nullptr && renew->committed != resources{}) {
                task->committed = renew->committed;
            }
        }
        if (const auto* const stop = std::get_if<task_stop>(&command)) {
            task_report* const task = find(stop->task);
            if (task != nullptr && task->state == task_state::running) {
                task->state = task_state::stopped;
            }
        }
        if (const auto* const forget = std::get_if<task_forget>(&command)) {
            std::erase_if(tasks, [&](const task_report& task) { return task.task == forget->task; });
        }
    }
    // Another life under its id: it knows nothing of before, and its clock is another one.
    void restart(const std::string& another_boot)
    {
        tasks.clear();
        leaving = false;
        boot = another_boot;
        clock_offset += 300s;
        fence = {};
        newest = {};
    }
    // As worker_state does; false when it refuses.
    bool take(const worker_request& request)
    {
        const bool other_life = !request.boot.empty() && request.boot != boot;
        const bool stale = request.epoch == fence && request.sequence <= newest;
        if (other_life || stale || request.epoch < fence) {
            return false;
        }
        fence = request.epoch;
        newest = request.sequence;
        requests.push_back(request);
        for (const worker_command& command : request.commands) {
            obey(command);
        }
        return true;
    }
    // Commands of one type among all that reached it.
    template <class Command> std::vector<Command> told() const
    {
        std::vector<Command> found;
        for (const worker_request& request : requests) {
            for (const worker_command& command : request.commands) {
                if (const auto* const wanted = std::get_if<Command>(&command)) {
                    found.push_back(*wanted);
                }
            }
        }
        return found;
    }
};

enum class table_mood : std::uint8_t { up, down, applies_unanswered, loses, silent };

struct driver {
    cell c{the_cell, self, cell_settings{}};
    instant now{1000s};
    std::vector<cell_action> pending;
    std::vector<cell_action> log; // every action since the test last cleared it
    table_mood mood = table_mood::up;
    bool jobs_unreadable = false;
    std::optional<table_row> row; // the cell's row
    std::vector<table_row> job_rows;
    std::vector<table_row> inbox_rows;
    std::map<std::string, worker_hand> workers;

    void give(const cell_event& event)
    {
        std::vector<cell_action> actions;
        c.decide(now, event, actions);
        log.insert(log.end(), actions.begin(), actions.end());
        pending.insert(pending.end(), actions.begin(), actions.end());
    }
    template <class Action> std::vector<Action> all() const
    {
        std::vector<Action> found;
        for (const cell_action& action : log) {
            if (const auto* const a = std::get_if<Action>(&action)) {
                found.push_back(*a);
            }
        }
        return found;
    }
    bool noticed(const std::string& event) const
    {
        const auto notices = all<cell_notice>();
        return std::any_of(notices.begin(), notices.end(), [&](const cell_notice& n) { return n.event == event; });
    }

    void tick(duration step = duration(0))
    {
        now += step;
        give(cell_tick{wall_time(now.time_since_epoch())});
        answer_pending();
    }
    void run(duration length, duration step = 50ms)
    {
        for (const instant end = now + length; now < end;) {
            tick(step);
        }
    }
    void answer_pending()
    {
        while (!pending.empty()) {
            const std::vector<cell_action> actions = std::exchange(pending, {});
            for (const cell_action& action : actions) {
                std::visit(detail::overloaded{[&](const commit_cell& a) { commit(a.transaction); },
                                              [&](const send_worker& a) { exchange(a.request); },
                                              [&](const read_cell_row&) {
                                                  give(cell_row_seen{mood == table_mood::up, read()});
                                              },
                                              [&](const read_cell_jobs&) { give(cell_jobs_read{scan_jobs()}); },
                                              [&](const read_cell_inbox&) { give(cell_inbox_read{scan(inbox_rows)}); },
                                              [](const auto&) {}},
                           action);
            }
        }
    }

    table_row read() const { return row.value_or(table_row{cell_key(the_cell), std::nullopt, row_version(), {}}); }
    table_scan_result scan(const std::vector<table_row>& rows) const { return {"", mood == table_mood::up, rows, ""}; }
    table_scan_result scan_jobs() const
    {
        return jobs_unreadable ? table_scan_result{"", false, {}, ""} : scan(job_rows);
    }
    wire::cell_row row_now() const { return *decode_row<wire::cell_row>(*row->value); }
    void write_row(const wire::cell_row& r, const std::string& operation)
    {
        row = cell_row_of(r, row ? row->version.value() + 1 : 1, operation);
    }
    bool apply(const table_transaction& transaction)
    {
        if (read().version != transaction.checks.at(0).version) {
            return false;
        }
        for (const table_write& write : transaction.writes) {
            if (write.key == cell_key(the_cell)) {
                row = table_row{write.key, write.value, read().version.next(), transaction.operation};
                continue;
            }
            store(write, transaction.operation);
        }
        return true;
    }
    void store(const table_write& write, const operation_id& operation)
    {
        std::vector<table_row>& rows = write.key.starts_with("job/") ? job_rows : inbox_rows;
        std::erase_if(rows, [&](const table_row& r) { return r.key == write.key; });
        if (write.value) {
            rows.push_back({write.key, write.value, row_version(1), operation});
        }
    }
    void commit(const table_transaction& transaction)
    {
        if (mood == table_mood::silent) {
            return;
        }
        table_result result{transaction.operation, table_outcome::unknown, {}, ""};
        if (mood == table_mood::down) {
            result.outcome = table_outcome::refused;
        }
        else if (mood != table_mood::loses) {
            const bool done = apply(transaction);
            result.rows = {read()};
            result.outcome = done ? table_outcome::applied : table_outcome::conflict;
        }
        if (mood == table_mood::applies_unanswered) {
            result.outcome = table_outcome::unknown;
        }
        give(cell_committed{std::move(result)});
    }
    void exchange(const worker_request& request)
    {
        worker_hand& worker = workers[request.worker.str()];
        if (worker.slow) {
            return;
        }
        const bool accepted = !worker.silent && worker.take(request);
        if (worker.silent || worker.deaf_owner) {
            give(cell_worker_failed{request.worker, request.sequence, true, "lost"});
            return;
        }
        worker_report report = report_of(worker, request);
        report.accepted = accepted;
        report.epoch = worker.fence;
        give(cell_worker_answered{request.worker, request.sequence, now, std::move(report)});
    }
    worker_report report_of(const worker_hand& worker, const worker_request& request) const
    {
        worker_report report;
        report.accepted = true;
        report.epoch = request.epoch;
        report.boot = worker.boot;
        report.now = worker_time(now.time_since_epoch() + worker.clock_offset);
        report.capacity = worker.capacity;
        report.leaving = worker.leaving;
        report.usage_taken = report.now;
        report.tasks = worker.tasks;
        return report;
    }

    void list(const std::vector<std::string>& names)
    {
        std::vector<listed_worker> listed;
        listed.reserve(names.size());
        for (const std::string& name : names) {
            listed.push_back(list_worker(name));
        }
        give(cell_workers_listed{std::move(listed)});
    }
    // Owner of a new cell with these workers, and what is in the inbox started.
    void own(const std::vector<std::string>& names, std::vector<table_row> rows = {})
    {
        inbox_rows = std::move(rows);
        give(cell_members_seen{{self}});
        list(names);
        run(1s);
        log.clear();
    }
    // Submits to an owner and lets it act.
    void hand_in(const std::vector<table_row>& rows)
    {
        inbox_rows.insert(inbox_rows.end(), rows.begin(), rows.end());
        give(cell_inbox_hinted{});
        run(2 * config::place_interval);
    }
    wire::job_row job_written(const std::string& job) const
    {
        const std::string key = job_key(the_cell, job_id(job));
        const auto found =
            std::find_if(job_rows.begin(), job_rows.end(), [&](const table_row& r) { return r.key == key; });
        return found == job_rows.end() ? wire::job_row() : *decode_row<wire::job_row>(*found->value);
    }
};

} // namespace skylarkhub::hand
