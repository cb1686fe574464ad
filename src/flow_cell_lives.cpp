// Lives of workers. A worker may restart under the id that it had: its second life runs nothing of the first, and its
// clock, the numbers of its ends and the fence begin anew. Only its own answer to a hold shows that an earlier life is
// over, since other writers may change the list of workers.
#include <algorithm>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

// Whether the answer lists the run, or may lack it since the worker had more ends than one answer lists.
bool may_list_run(const order_answer& answer, const flow_task_id& task, run_number run)
{
    const auto is_run = [&](const auto& r) { return r.task == task && r.run == run; };
    return answer.ends_cut || std::any_of(answer.running.begin(), answer.running.end(), is_run) ||
           std::any_of(answer.ends.begin(), answer.ends.end(), is_run);
}

} // namespace

// Whether nothing says of which life an answer is: it tells no birth, although the worker has told one.
bool flow_cell::lacks_birth(const cell_worker& w, const order_answer& answer)
{
    return answer.result == order_result::accepted && w.born > worker_birth() && answer.born == worker_birth();
}

// Learns from the answer to a hold which life of the worker is up. A hold is sent only after the one before was
// answered or has timed out, so another birth is that of a later life, even if the wall clock was set back meanwhile.
void flow_cell::hear_life(instant now, cell_worker& w, instant sent, const order_answer& answer)
{
    const bool known = w.born > worker_birth() || w.has_accepted_epoch();
    if (known && w.born != answer.born) {
        begin_life(now, w, sent, answer);
    }
    w.born = answer.born;
    w.newest_connection = std::max(w.newest_connection, answer.connection);
    w.heard_sent = sent;
    charge_lapsed_life(now, w);
    w.acknowledged = std::max(w.acknowledged, w.cursor_sent);
}

// A worker without births has a new id in each life, which orders name. Where a worker, or what is between, closes each
// connection after an answer, orders that wait for a kept one would never be sent, and all leases there would lapse.
worker_place flow_cell::place_of_life(const cell_worker& w)
{
    worker_place place{w.listing.worker, w.listing.address, std::nullopt};
    if (w.born > worker_birth() && w.looks_in_a_row < max_looks_in_a_row) {
        place.newest_connection = w.newest_connection;
    }
    return place;
}

// Learns from the answer to a hold that was sent beside the one in flight. An answer of a later life takes the place of
// the answer to that one, whose connection has ended with the earlier life. Returns whether the worker has answered.
bool flow_cell::hear_look(instant now, cell_worker& w, instant sent, const order_answer& answer)
{
    if (answer.result != order_result::accepted || lacks_birth(w, answer)) {
        return false;
    }
    if (answer.born == w.born) {
        w.newest_connection = std::max(w.newest_connection, answer.connection);
        return true;
    }
    if (sent <= w.heard_sent) {
        return false; // overtaken by an answer of a later life
    }
    if (w.cursor_sent_at != instant{}) {
        w.cursor_may_come_until = w.cursor_sent_at + late_order_most;
    }
    ++w.hold_exchange;
    on_hold_result(now, w.listing.worker, sent, duration(0), answer);
    return true;
}

// Whether the answer shows that a recorded start ended with an earlier life of the worker.
bool flow_cell::is_over(const worker_life& life, const flow_task_id& task, run_number run, const order_answer& answer)
{
    return life.born > worker_birth() && answer.born != life.born && !may_list_run(answer, task, run);
}

// The same for a new owner, which knows the workers that the row names and the answers that came while it read the
// jobs.
bool flow_cell::is_over_at_takeover(const worker_life& life, const flow_task_id& task, run_number run) const
{
    const auto at = workers_.find(life.worker);
    return at == workers_.end() || (at->second.early && is_over(life, task, run, at->second.early->answer));
}

// Whether the list shows an id again whose life is over, at another address or with another birth. Such a worker is
// asked again, and its answer decides.
bool flow_cell::may_be_later_life(const cell_worker& w, const flow_listed_worker& listing)
{
    const bool changed = listing.address != w.listing.address || listing.born != w.listing.born;
    return listing.born > worker_birth() && changed && w.ledger.empty() && w.unknown_job_ends.empty() &&
           !w.hold_in_flight;
}

// Handles the first answer of a later life: all runs of the earlier one are lost as by a crash.
void flow_cell::begin_life(instant now, cell_worker& w, instant sent, const order_answer& answer)
{
    edges_.note(log_level::warning, "worker", "restarted",
                {{"cell", id_.str()},
                 {"worker", w.listing.worker.str()},
                 {"born_ms", std::to_string(answer.born.value())},
                 {"earlier_born_ms", std::to_string(w.born.value())},
                 {"runs", std::to_string(w.ledger.size())}});
    if (w.unanswered_since == instant{}) {
        w.unanswered_since = now;
        note_silence(now, w);
    }
    if (!w.listing.draining) {
        std::vector<lost_run> lost = list_lost_runs(w);
        std::erase_if(lost, [&](const lost_run& run) {
            const live_run* const live = look_up_run(w.listing.worker, run.task, run.run).live;
            return may_list_run(answer, run.task, run.run) || live == nullptr || !ran_before(*live, answer.born, sent);
        });
        charge_runs(now, w.life(), lost);
        inherited_worker_crashed_ = inherited_worker_crashed_ || (w.inherited && !w.fenced);
        if (role_ == role::owning && w.inherited && !w.fenced) {
            charge_noted(now, [&](const worker_life& life, const flow_task_id& task, run_number run) {
                return life.worker == w.listing.worker && is_over(life, task, run, answer);
            });
        }
    }
    forget_life(w);
    // Previous owners have started nothing there that an answer with all ends does not list.
    w.inherited = w.inherited && answer.ends_cut;
    // An order with a deadline on the clock of the earlier life may have given the longest lease that workers grant.
    w.lapsed_after = std::max(w.lapsed_after, now + certainly(max_worker_lease));
}

// Forgets what was learned of the worker's earlier life. Its ledger remains: a start that has not been answered yet may
// be carried out by the later life. Ends that wait for the rows of their jobs remain facts, but their numbers say
// nothing to the later life. A cursor that was not answered may be carried out by the later life, which then forgets
// ends that nobody has read; until that is over, only tasks without an end of their own are started there.
void flow_cell::forget_life(cell_worker& w)
{
    w.newest_connection = connection_number();
    w.fenced = false;
    w.early.reset();
    w.reported_in_part = false;
    w.lapsed = false;
    w.reading.reset();
    w.seen = end_number();
    w.confirmed = end_number();
    w.cursor_sent = end_number();
    w.acknowledged = end_number();
    w.unconfirmed.clear();
    for (reported_end& end : w.unknown_job_ends) {
        end.number = end_number();
    }
    w.untracked_runs = 0;
    w.no_starts_until = instant{};
    w.old_cursor_may_come_until =
        std::max(w.old_cursor_may_come_until, std::exchange(w.cursor_may_come_until, instant{}));
    w.distrust = 0;
    w.shares.clear();
    w.paced.clear();
    w.measured_at = instant{};
    w.over_target_since = instant{};
    w.tolerance_margin = 1;
}

// The number up to which a hold may confirm ends. A later life, of which this owner has not heard yet, would forget the
// ends of the starts that reached it, and nobody would ever read them. Ends are therefore confirmed only when the known
// life has answered a hold that was sent after the answer to the last start: then every run is one of that life. A
// lower number does no harm, since the worker lists again what it has not forgotten.
end_number flow_cell::cursor_for(const cell_worker& w)
{
    if (w.born == worker_birth()) {
        return w.confirmed;
    }
    if (w.silent > 0) {
        return end_number(); // the worker may have restarted, and the hold may reach its later life
    }
    const bool start_unanswered = std::any_of(w.ledger.begin(), w.ledger.end(), [&](const auto& item) {
        const live_run* const live = look_up_run(w.listing.worker, item.first, item.second.run).live;
        return live != nullptr && live->noted == 0 && !live->confirmed;
    });
    const bool proven = !start_unanswered && w.heard_sent > w.start_answered_at;
    return proven && w.confirmed > w.acknowledged ? w.confirmed : end_number();
}

// Whether the run was executed by a life before the one born at `born`, if an answer of that life to a hold sent at
// `sent` does not list it. A start that was answered after that may have been executed by that life.
bool flow_cell::ran_before(const live_run& live, worker_birth born, instant sent)
{
    // The time of a run whose stop was answered lies missing_after before that answer.
    const instant settled = live.sent + (live.stopping ? missing_after : duration(0));
    return live.born != born && live.noted == 0 && live.confirmed && settled <= sent;
}

// Drops the runs of earlier lives, which the present one does not list. A run of whose start a copy was never answered
// is stopped first: without a stop that the present life has answered, that copy could begin to run there after the
// task has been started elsewhere. Once stopped, it is dropped by drop_vanished_runs().
void flow_cell::drop_runs_of_earlier_lives(instant now, cell_worker& w, instant sent)
{
    std::vector<std::pair<flow_task_id, run_number>> lost;
    for (const auto& [task, run] : w.ledger) {
        live_run* const live = look_up_run(w.listing.worker, task, run.run).live;
        if (live == nullptr || !ran_before(*live, w.born, sent)) {
            continue;
        }
        if (live->copy_unanswered) {
            live->born = w.born;
            live->confirmed = false;
            live->stopping = true;
            send_stop(now, w.listing.worker, task, run.run, 0);
            continue;
        }
        lost.emplace_back(task, run.run);
    }
    for (const auto& [task, run] : lost) {
        log_lost_run(now, w, task, run);
        ++stats_.lost;
        drop_run(now, w, task, run);
    }
}

// --- late starts ---

void flow_cell::note_late_start(instant now, cell_worker& w, const flow_task_id& task, const live_run& live)
{
    const bool never_sent = live.noted != 0;
    if (!never_sent && (live.copy_unanswered || !live.confirmed)) {
        w.late_starts.push_back({task, live.run, now + late_order_most, instant{}});
    }
}

// Failure: a worker is given up, and after its task was started elsewhere a later life of it executes the former start.
// Symptom: two runs of one task, and more than the worker has room for. So that life is told to stop the run as soon as
// it answers, since it rejects a start of a run that it was told to stop; until then nothing is started there.
void flow_cell::stop_late_starts(instant now, cell_worker& w)
{
    for (late_start& start : w.late_starts) {
        if (start.stop_sent != instant{} && now - start.stop_sent < stop_timeout) {
            continue;
        }
        start.stop_sent = now;
        edges_.order(place_of(w), stop_run{start.task, start.run, epoch_}, stop_timeout,
                     [this, id = w.listing.worker, task = start.task, run = start.run,
                      generation = ownership_generation_](instant then, const order_answer& answer) {
                         const auto at = workers_.find(id);
                         if (generation != ownership_generation_ || at == workers_.end() ||
                             answer.result == order_result::no_answer || answer.result == order_result::unhealthy ||
                             handle_fatal_result(then, at->second, answer.result)) {
                             return;
                         }
                         std::erase_if(at->second.late_starts,
                                       [&](const late_start& s) { return s.task == task && s.run == run; });
                         schedule_placement();
                     });
    }
}

} // namespace skylarkhub
