// Runs the cells of this entry's data centre: carries events to each cell's machine and its actions to the edges.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cell_p.h"
#include "daemon_pool_p.h"
#include "job_accept_p.h"
#include "platform_client_p.h"
#include "skylarkhub/skylarkhub.h"
#include "worker_client_p.h"

namespace skylarkhub {

// What a cell's actions reach. `ask_hold` sends the question to a deputy and hands back its answer.
struct cell_edges {
    platform_client& platform;
    http_client& workers;
    work_pool& pool;
    std::function<void(incarnation_id deputy, wire::hold_request request, std::function<void(bool promised)> done)>
        ask_hold;
};

// One cell on its own strand, its machine under its own lock.
class cell_host : public std::enable_shared_from_this<cell_host> {
public:
    cell_host(cell_id id, incarnation_id self, cell_settings settings, cell_edges edges);

    void post(cell_event event);
    // Drops the tick when the one before it is still waiting.
    void post_tick();
    void post_workers(std::vector<listed_worker> workers);

    // A peer asks this entry, a deputy, to hold; waits for the cell's answer for a short time.
    wire::hold_reply hold(const wire::hold_request& request);

    const cell_id& id() const { return id_; }
    cell_role role() const;
    skylarkhub::epoch epoch() const;
    incarnation_id owner() const;
    cell_stats stats() const;
    std::vector<job_view> jobs() const;
    wire::cell_news news() const;
    bool handed_over() const;
    void change_settings(cell_settings settings);

private:
    void run(const cell_event& event);
    void carry(const cell_action& action);
    void send(const worker_request& request);
    void pass_hold_answer(const answer_hold& answer);
    void read_back(table_traffic traffic, const std::string& prefix, std::function<cell_event(table_scan_result)> wrap);

    const cell_id id_;
    const incarnation_id self_;
    const cell_edges edges_;
    strand strand_;
    std::atomic<bool> tick_waiting_{false};

    mutable absl::Mutex mutex_;
    cell machine_ ABSL_GUARDED_BY(mutex_);
    bool handed_over_ ABSL_GUARDED_BY(mutex_) = false;

    absl::Mutex edge_mutex_;
    absl::flat_hash_map<worker_id, net_address> addresses_ ABSL_GUARDED_BY(edge_mutex_);
    std::vector<std::pair<incarnation_id, std::function<void(const wire::hold_reply&)>>>
        hold_waiting_ ABSL_GUARDED_BY(edge_mutex_);
};

// Every cell that the platform's list names, those of this data centre with a host.
class cell_registry {
public:
    cell_registry(data_centre_id own, incarnation_id self, cell_settings settings, cell_edges edges);

    void see_instances(const std::vector<listed_instance>& instances);
    void see_members(const std::vector<incarnation_id>& live);
    void see_news(const wire::cell_news& news);
    void tick();
    void plan_stop();
    bool handed_over() const;
    // `evacuated`: data centres in which no task is to be started.
    void change_settings(const cell_settings& settings, std::vector<data_centre_id> evacuated);

    std::shared_ptr<cell_host> find(const cell_id& cell) const;
    std::vector<std::shared_ptr<cell_host>> hosts() const;
    std::vector<cell_room> rooms() const;          // of every cell known, for accepting work
    std::vector<wire::cell_news> own_news() const; // of the cells this entry owns
    std::vector<wire::cell_news> all_news() const; // own and told by peers

private:
    struct known_cell {
        data_centre_id data_centre;
        resources largest_worker;
        resources total;
    };
    void ensure_host(const cell_id& cell);

    const data_centre_id own_;
    const incarnation_id self_;
    const cell_edges edges_;
    mutable absl::Mutex mutex_;
    cell_settings settings_ ABSL_GUARDED_BY(mutex_);
    std::vector<data_centre_id> evacuated_ ABSL_GUARDED_BY(mutex_);
    std::map<cell_id, known_cell> known_ ABSL_GUARDED_BY(mutex_);
    std::map<cell_id, std::shared_ptr<cell_host>> hosts_ ABSL_GUARDED_BY(mutex_);
    std::map<cell_id, wire::cell_news> news_ ABSL_GUARDED_BY(mutex_);
    std::vector<incarnation_id> live_ ABSL_GUARDED_BY(mutex_);
};

// The cell of a worker: its rack.
cell_id cell_of(const data_centre_id& data_centre, const rack_id& rack);

} // namespace skylarkhub
