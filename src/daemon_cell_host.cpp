#include <absl/synchronization/notification.h>
#include <fmt/format.h>

#include <algorithm>

#include "daemon_cells_p.h"
#include "daemon_clock_p.h"
#include "log_line_p.h"
#include "row_keys_p.h"

namespace skylarkhub {

namespace {

constexpr duration worker_timeout = std::chrono::seconds(1);
constexpr absl::Duration hold_answer_wait = absl::Milliseconds(200);

} // namespace

cell_host::cell_host(cell_id id, incarnation_id self, cell_settings settings, cell_edges edges)
    : id_(std::move(id)),
      self_(std::move(self)),
      edges_(std::move(edges)),
      strand_(edges_.pool),
      machine_(id_, self_, std::move(settings))
{}

void cell_host::post(cell_event event)
{
    strand_.post([self = shared_from_this(), e = std::move(event)] { self->run(e); });
}

void cell_host::post_tick()
{
    if (tick_waiting_.exchange(true)) {
        return;
    }
    strand_.post([self = shared_from_this()] {
        self->tick_waiting_.store(false);
        self->run(cell_tick{read_wall_clock()});
    });
}

void cell_host::post_workers(std::vector<listed_worker> workers)
{
    {
        absl::MutexLock lock(&edge_mutex_);
        for (const listed_worker& w : workers) {
            addresses_[w.worker] = w.address;
        }
    }
    post(cell_workers_listed{std::move(workers)});
}

wire::hold_reply cell_host::hold(const wire::hold_request& request)
{
    struct waiting_answer {
        absl::Notification ready;
        wire::hold_reply reply;
    };
    auto answer = std::make_shared<waiting_answer>();
    const incarnation_id owner(request.owner);
    {
        absl::MutexLock lock(&edge_mutex_);
        hold_waiting_.emplace_back(owner, [answer](const wire::hold_reply& reply) {
            answer->reply = reply;
            answer->ready.Notify();
        });
    }
    post(cell_hold_asked{owner, skylarkhub::epoch(request.epoch), std::chrono::milliseconds(request.promise_ms)});
    wire::hold_reply reply;
    if (answer->ready.WaitForNotificationWithTimeout(hold_answer_wait)) {
        reply = answer->reply;
    }
    else {
        // The promise may still be given later; the owner, not having heard, does not count on it.
        reply.__set_reason("busy");
    }
    reply.__set_incarnation(self_.str());
    return reply;
}

void cell_host::run(const cell_event& event)
{
    std::vector<cell_action> actions;
    {
        absl::MutexLock lock(&mutex_);
        machine_.decide(read_clock(), event, actions);
    }
    for (const cell_action& action : actions) {
        carry(action);
    }
}

void cell_host::read_back(table_traffic traffic, const std::string& prefix,
                          std::function<cell_event(table_scan_result)> wrap)
{
    edges_.platform.scan(traffic, prefix, [self = shared_from_this(), w = std::move(wrap)](table_scan_result result) {
        self->post(w(std::move(result)));
    });
}

void cell_host::carry(const cell_action& action)
{
    std::visit(detail::overloaded{
                   [&](const read_cell_row&) {
                       edges_.platform.read(table_traffic::ownership, cell_key(id_),
                                            [self = shared_from_this()](std::optional<table_row> row) {
                                                cell_row_seen seen;
                                                seen.reached = row.has_value();
                                                if (row) {
                                                    seen.row = std::move(*row);
                                                }
                                                self->post(std::move(seen));
                                            });
                   },
                   [&](const read_cell_jobs&) {
                       read_back(table_traffic::work, job_prefix(id_),
                                 [](table_scan_result r) -> cell_event { return cell_jobs_read{std::move(r)}; });
                   },
                   [&](const read_cell_inbox&) {
                       read_back(table_traffic::work, inbox_prefix(id_),
                                 [](table_scan_result r) -> cell_event { return cell_inbox_read{std::move(r)}; });
                   },
                   [&](const commit_cell& a) {
                       edges_.platform.commit(table_traffic::ownership, a.transaction,
                                              [self = shared_from_this()](table_result result) {
                                                  self->post(cell_committed{std::move(result)});
                                              });
                   },
                   [&](const send_worker& a) { send(a.request); },
                   [&](const ask_hold& a) {
                       wire::hold_request request;
                       request.__set_cell(id_.str());
                       request.__set_epoch(a.epoch.value());
                       request.__set_owner(self_.str());
                       request.__set_promise_ms(
                           std::chrono::duration_cast<std::chrono::milliseconds>(a.promise).count());
                       const instant asked = read_clock();
                       edges_.ask_hold(a.deputy, request, [self = shared_from_this(), a, asked](bool promised) {
                           self->post(cell_hold_answered{a.deputy, a.epoch, promised, asked, a.promise});
                       });
                   },
                   [&](const answer_hold& a) { pass_hold_answer(a); },
                   [&](const cell_handed_over&) {
                       absl::MutexLock lock(&mutex_);
                       handed_over_ = true;
                   },
                   [&](const cell_notice& a) {
                       write_log(log_level::info, "cell", a.event, {{"cell", id_.str()}, {"detail", a.detail}});
                   },
               },
               action);
}

void cell_host::pass_hold_answer(const answer_hold& answer)
{
    std::function<void(const wire::hold_reply&)> pass;
    {
        absl::MutexLock lock(&edge_mutex_);
        const auto found = std::find_if(hold_waiting_.begin(), hold_waiting_.end(),
                                        [&](const auto& waiting) { return waiting.first == answer.owner; });
        if (found == hold_waiting_.end()) {
            return;
        }
        pass = std::move(found->second);
        hold_waiting_.erase(found);
    }
    wire::hold_reply reply;
    reply.__set_promised(answer.promised);
    reply.__set_reason(answer.reason);
    pass(reply);
}

void cell_host::send(const worker_request& request)
{
    net_address address;
    {
        absl::MutexLock lock(&edge_mutex_);
        const auto found = addresses_.find(request.worker);
        if (found != addresses_.end()) {
            address = found->second;
        }
    }
    if (!address.valid()) {
        post(cell_worker_failed{request.worker, request.sequence, false, "address is not known"});
        return;
    }
    const instant sent = read_clock();
    send_to_worker(
        edges_.workers, address, request, worker_timeout,
        [self = shared_from_this(), worker = request.worker, sequence = request.sequence, sent](worker_answer answer) {
            if (answer.answered) {
                self->post(cell_worker_answered{worker, sequence, sent, std::move(answer.report)});
            }
            else {
                self->post(cell_worker_failed{worker, sequence, answer.may_have_arrived, answer.reason});
            }
        });
}

cell_role cell_host::role() const
{
    absl::MutexLock lock(&mutex_);
    return machine_.role();
}

skylarkhub::epoch cell_host::epoch() const
{
    absl::MutexLock lock(&mutex_);
    return machine_.epoch();
}

incarnation_id cell_host::owner() const
{
    absl::MutexLock lock(&mutex_);
    return machine_.owner();
}

cell_stats cell_host::stats() const
{
    absl::MutexLock lock(&mutex_);
    return machine_.stats();
}

std::vector<job_view> cell_host::jobs() const
{
    absl::MutexLock lock(&mutex_);
    return machine_.jobs();
}

wire::cell_news cell_host::news() const
{
    absl::MutexLock lock(&mutex_);
    wire::cell_news news;
    news.__set_summary(machine_.summary());
    news.__set_targets(machine_.targets());
    return news;
}

bool cell_host::handed_over() const
{
    absl::MutexLock lock(&mutex_);
    return handed_over_ || machine_.role() == cell_role::watching;
}

void cell_host::change_settings(cell_settings settings)
{
    absl::MutexLock lock(&mutex_);
    machine_.change_settings(std::move(settings));
}

} // namespace skylarkhub
