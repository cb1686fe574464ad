// A small site of real processes on loopback: the platform's stand-in, workers and entries of one data centre. Only
// tests start processes; each is ended by its own id when the site goes, whatever it is doing then.
#pragma once

#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http_client_p.h"
#include "skylarkhub/skylarkhub.h"
#include "support_child.h"

namespace skylarkhub::tests {

struct site_answer {
    int status = 0; // 0: no whole answer
    std::string outcome;
    std::string text;    // the body as it came
    nlohmann::json body; // null when it is not JSON
};

struct site_plan {
    std::vector<std::string> entries{"a1", "a2", "a3"};
    int workers = 3;
    nlohmann::json entry_settings = nlohmann::json::object(); // of every entry, beside its names and addresses
};

// What a worker's own record says of one run of a task; `ended_ms` is empty while it runs.
struct site_run {
    std::string worker;
    int attempt = 0;
    std::int64_t started_ms = 0;
    std::optional<std::int64_t> ended_ms;
    std::string end; // as in the worker's history
};
using site_runs = std::map<std::string, std::vector<site_run>>; // by task

class site {
public:
    explicit site(const site_plan& plan = {});
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    void start_entry(const std::string& name);
    child& entry(const std::string& name) { return *entries_.at(name).process; }
    net_address entry_address(const std::string& name) const { return entries_.at(name).address; }
    net_address peer_address(const std::string& name) const { return entries_.at(name).peer_address; }
    // Ends an entry at once, as a power cut would.
    void kill_entry(const std::string& name);
    // Ends a worker at once; what its record says so far is kept, with its runs ended at that time.
    void kill_worker(const std::string& worker);
    // Ends a worker at once and starts it again under its id, at the address that it had.
    void restart_worker(const std::string& worker);
    std::vector<std::string> worker_names() const;

    site_answer ask(const std::string& entry, const std::string& method, const std::string& target,
                    const std::string& body = {}, const http_fields& headers = {});
    void send(const std::string& entry, const std::string& method, const std::string& target, const std::string& body,
              const http_fields& headers, std::function<void(site_answer)> done);
    void switch_platform(const nlohmann::json& switches);
    // A worker's inventory, read under a fence too low to change anything.
    nlohmann::json inventory(const std::string& worker);

    // The entry that owns the only cell, as `asked` sees it; empty while it sees none.
    std::string owner(const std::string& asked);
    std::int64_t epoch(const std::string& asked);
    // Writes the settings that the tests' jobs need, once the site is ready, and waits until all entries have them.
    void prepare();
    // The job's id once it was accepted.
    std::string submit(const std::string& entry, const std::string& key, const nlohmann::json& job);
    // Waits until the job's state as `entry` tells it has `count` tasks under `field`.
    bool wait_tasks(const std::string& entry, const std::string& job, const std::string& field, int count);
    // Requests that the targets of a worker have run.
    std::size_t served(const std::string& worker);
    // Every run that any worker has recorded, those of killed workers included.
    site_runs runs();

    const std::filesystem::path& folder() const { return folder_; }

private:
    struct running_entry {
        std::unique_ptr<child> process;
        net_address address;
        net_address peer_address;
    };
    struct running_worker {
        std::unique_ptr<child> process;
        net_address address;
    };
    site_answer call(const net_address& address, const std::string& method, const std::string& target,
                     const std::string& body, const http_fields& headers);
    void read_runs(const std::string& worker, site_runs& into);
    void start_worker(const std::string& name, const std::string& address = "127.0.0.1:0");

    nlohmann::json entry_settings_;
    std::filesystem::path folder_;
    http_client http_;
    std::unique_ptr<child> platform_;
    net_address platform_address_;
    std::map<std::string, running_worker> workers_;
    int workers_started_ = 0;
    std::map<std::string, running_entry> entries_;
    site_runs runs_of_killed_;
};

// Empty, or what is broken of: every task of the job finished exactly once, and no two of its runs overlap.
std::string find_faults(const site_runs& runs, const std::string& job, int task_count);

// Runs that have begun, of this job's tasks.
int count_starts(const site_runs& runs, const std::string& job);

inline const std::vector<std::string> three_entries{"a1", "a2", "a3"};

// Bodies of submissions, under the settings that prepare() writes.
nlohmann::json batch_job(const std::string& name, int tasks, int task_ms);
nlohmann::json service_job(int tasks);
site_answer request_bulletin(site& s, const std::string& entry, const std::string& body);

// Answers of calls that run at the same time.
class answer_box {
public:
    std::function<void(site_answer)> slot();
    std::vector<site_answer> wait_all();

private:
    absl::Mutex mutex_;
    std::size_t awaited_ ABSL_GUARDED_BY(mutex_) = 0;
    std::vector<site_answer> answers_ ABSL_GUARDED_BY(mutex_);
};

} // namespace skylarkhub::tests
