// What an owned cell costs: processor time per event, memory per job and task, rows written and read. Workers and table
// answer at once in virtual time; only the time within cell::decide is counted. Arguments: workers, seconds of load.
#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "cell_ledger_p.h"
#include "job_record_p.h"
#include "support_cell_hand.h"

using namespace skylarkhub;
using namespace skylarkhub::hand;

namespace {

constexpr std::int64_t tasks_per_worker = 28; // 111,000 running on 4,000 workers
constexpr duration run_time = 41s;            // 111,000 running and 2,700 starts a second
constexpr std::int64_t tasks_per_job = 500;

struct event_cost {
    std::int64_t times = 0;
    double micros = 0;
};

std::int64_t heap_bytes()
{
    return static_cast<std::int64_t>(mallinfo2().uordblks);
}

// Run times lie between half and one and a half of the mean, so that tasks do not end in one wave.
double spread(const task_id& task)
{
    return 0.5 + static_cast<double>(task.index * 7919 % 1000) / 1000;
}

class bench {
public:
    explicit bench(std::int64_t workers) : workers_(workers)
    {
        cell_settings settings;
        settings.writes_per_second = 20;
        c_ = cell(the_cell, self, settings);
    }

    void own()
    {
        give("members", cell_members_seen{{self}});
        std::vector<listed_worker> listed;
        for (std::int64_t i = 0; i < workers_; ++i) {
            listed.push_back(list_worker(fmt::format("worker-{:03}", i), capacity()));
        }
        give("listed", cell_workers_listed{listed});
        run(2s);
    }
    void submit_jobs(std::int64_t count)
    {
        for (std::int64_t i = 0; i < count; ++i) {
            inbox_.push_back(submit(make_job(fmt::format("job-{:06}", ++jobs_), tasks_per_job, 1000)));
        }
        give("hinted", cell_inbox_hinted{});
    }
    void run(duration length)
    {
        for (const instant end = now_ + length; now_ < end;) {
            now_ += 50ms;
            give("tick", cell_tick{wall_time(now_.time_since_epoch())});
        }
    }
    // With always something queued.
    void turn_over(duration length)
    {
        for (const instant end = now_ + length; now_ < end;) {
            if (c_.summary().queued < std::max(tasks_per_job, workers_ * tasks_per_worker / 4)) {
                submit_jobs(1);
            }
            run(200ms);
        }
    }
    const cell_stats& stats() const { return c_.stats(); }
    void clear_costs()
    {
        costs_.clear();
        rows_written_ = 0;
        reads_ = 0;
    }
    void print(const std::string& phase, duration length, const cell_stats& before) const
    {
        double micros = 0;
        for (const auto& [name, cost] : costs_) {
            micros += cost.micros;
        }
        const double seconds = std::chrono::duration<double>(length).count();
        const auto starts = stats().starts - before.starts;
        const auto finishes = stats().finishes - before.finishes;
        fmt::print("{:4} workers, {}: {:.3f} % of a core, {:.2f} rows written/s, {:.2f} reads/s, {:.1f} starts/s, "
                   "{:.1f} finishes/s, {:.2f} commits/s\n",
                   workers_, phase, micros / seconds / 1e4, static_cast<double>(rows_written_) / seconds,
                   static_cast<double>(reads_) / seconds, static_cast<double>(starts) / seconds,
                   static_cast<double>(finishes) / seconds,
                   static_cast<double>(stats().commits - before.commits) / seconds);
        for (const auto& [name, cost] : costs_) {
            fmt::print("       {:10} {:9} times, {:9.2f} us each\n", name, cost.times,
                       cost.micros / static_cast<double>(cost.times));
        }
    }
    bool finishing = false;

private:
    resources capacity() const { return {tasks_per_worker * 1000, tasks_per_worker * 100, 0}; }

    void give(const std::string& name, const cell_event& event)
    {
        std::vector<cell_action> actions;
        const auto begin = std::chrono::steady_clock::now();
        c_.decide(now_, event, actions);
        const auto taken = std::chrono::steady_clock::now() - begin;
        event_cost& cost = costs_[name];
        ++cost.times;
        cost.micros += std::chrono::duration<double, std::micro>(taken).count();
        for (const cell_action& action : actions) {
            answer(action);
        }
    }
    void answer(const cell_action& action)
    {
        std::visit(detail::overloaded{[&](const commit_cell& a) { commit(a.transaction); },
                                      [&](const send_worker& a) { exchange(a.request); },
                                      [&](const read_cell_row&) { read_row(); },
                                      [&](const read_cell_jobs&) {
                                          give("jobs", cell_jobs_read{{"", true, {}, ""}});
                                      },
                                      [&](const read_cell_inbox&) { read_inbox(); }, [](const auto&) {}},
                   action);
    }
    void read_row()
    {
        ++reads_;
        give("row", cell_row_seen{true, {cell_key(the_cell), std::nullopt, row_version(0), operation_id()}});
    }
    void read_inbox()
    {
        ++reads_;
        give("inbox", cell_inbox_read{{"", true, inbox_, ""}});
    }
    void commit(const table_transaction& transaction)
    {
        rows_written_ += std::ssize(transaction.writes);
        for (const table_write& write : transaction.writes) {
            std::erase_if(inbox_, [&](const table_row& row) { return row.key == write.key; });
        }
        table_result result{transaction.operation, table_outcome::applied, {}, ""};
        result.rows.push_back({cell_key(the_cell), std::nullopt, row_version(++version_), transaction.operation});
        give("committed", cell_committed{std::move(result)});
    }
    void exchange(const worker_request& request)
    {
        worker_hand& worker = hands_[request.worker.str()];
        for (const worker_command& command : request.commands) {
            worker.obey(command);
        }
        const worker_time clock(now_.time_since_epoch());
        for (task_report& task : worker.tasks) {
            if (task.started == worker_time{}) {
                task.started = clock;
                task.used = {900, 90, 0};
                task.checkpoint = "checkpoint/" + format_task(task.task) + "/" + std::to_string(task.attempt.value());
            }
            const double ran = static_cast<double>((clock - task.started).count());
            task.progress = ran / (static_cast<double>(run_time.count()) * spread(task.task));
            task.checkpoint_progress = task.progress;
            if (finishing && task.progress >= 1) {
                task.state = task_state::finished;
            }
        }
        worker_report report;
        report.accepted = true;
        report.epoch = request.epoch;
        report.boot = "b";
        report.now = clock;
        report.usage_taken = clock;
        report.capacity = capacity();
        report.tasks = worker.tasks;
        give("answered", cell_worker_answered{request.worker, request.sequence, now_, std::move(report)});
    }

    std::int64_t workers_;
    cell c_{the_cell, self, {}};
    instant now_{1000s};
    std::map<std::string, worker_hand> hands_;
    std::vector<table_row> inbox_;
    std::int64_t version_ = 0;
    std::int64_t jobs_ = 0;
    std::int64_t rows_written_ = 0;
    std::int64_t reads_ = 0;
    std::map<std::string, event_cost> costs_;
};

void measure_rates(std::int64_t workers, duration load)
{
    bench b(workers);
    b.own();
    b.clear_costs();
    cell_stats before = b.stats();
    b.run(20s);
    b.print("idle", 20s, before);

    const std::int64_t running = workers * tasks_per_worker;
    b.submit_jobs(running / tasks_per_job + 1);
    b.run(20s);
    b.clear_costs();
    before = b.stats();
    b.run(20s);
    b.print("full, no ends", 20s, before);

    b.finishing = true;
    b.turn_over(2 * run_time);
    b.clear_costs();
    before = b.stats();
    b.turn_over(load);
    b.print("turning over", load, before);
}

void measure_bytes()
{
    constexpr std::int64_t jobs = 200;
    const std::int64_t empty = heap_bytes();
    cell_settings settings;
    const instant now{1000s};
    std::vector<detail::job_record> records;
    records.reserve(jobs);
    const std::int64_t reserved = heap_bytes() - empty;
    for (std::int64_t i = 0; i < jobs; ++i) {
        records.emplace_back(make_job(fmt::format("job-{:06}", i), 1), now);
    }
    const std::int64_t one_task = heap_bytes() - empty;
    records.clear();
    for (std::int64_t i = 0; i < jobs; ++i) {
        records.emplace_back(make_job(fmt::format("job-{:06}", i), tasks_per_job + 1), now);
    }
    const std::int64_t queued = heap_bytes() - empty;
    for (detail::job_record& record : records) {
        for (std::int32_t index = 0; index < tasks_per_job; ++index) {
            record.bind(index, {record.next_attempt(index, epoch(1)), worker_id("worker-001")});
        }
    }
    const std::int64_t bound = heap_bytes() - empty;
    for (detail::job_record& record : records) {
        for (std::int32_t index = 0; index < tasks_per_job; ++index) {
            record.finish(index, attempt_number(1 << 20));
        }
    }
    for (detail::job_record& record : records) {
        record.mark_written(record.revision());
    }
    const std::int64_t finished = heap_bytes() - empty;
    const auto per_task = [](std::int64_t bytes) { return static_cast<double>(bytes) / (jobs * tasks_per_job); };
    fmt::print("bytes: job of one queued task {}, each queued task {:.1f}, bound {:.1f} more, ledger entry {}, "
               "finished {:.1f}\n",
               one_task / jobs, per_task(queued - one_task), per_task(bound - queued), sizeof(detail::ledger_entry),
               per_task(finished - one_task));
    wire::job_row row = records.front().to_row();
    fmt::print("row: {} bytes for a job of {} finished tasks\n", encode_row(row).size(), tasks_per_job + 1);
    fmt::print("(records took {} bytes at once)\n", reserved);
}

} // namespace

int main(int argc, char** argv)
{
    const duration load = argc > 2 ? duration(std::chrono::seconds(std::atoi(argv[2]))) : duration(60s);
    measure_bytes();
    const std::vector<std::int64_t> sizes =
        argc > 1 ? std::vector<std::int64_t>{std::atoi(argv[1])} : std::vector<std::int64_t>{8, 40, 400};
    for (const std::int64_t workers : sizes) {
        measure_rates(workers, load);
    }
    return 0;
}
