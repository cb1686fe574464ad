// Places for lasting tasks that move between cells. A lasting task is stopped, or handed off, only for a place that the
// owner of the receiving cell has promised: reports of room are up to a second old, several owners read the same one,
// and they tell neither of tasks that must be apart nor of processors and memory on the same worker.
#include <algorithm>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

place_need flow_cell::need_of(const flow_job& job, const flow_task_id& task)
{
    return {task, job.row().service_name, job.spec().steps.at(static_cast<std::size_t>(task.step))};
}

// --- places here ---

place_answer flow_cell::promise_place(instant now, const place_need& need, bool reserve)
{
    place_answer answer;
    answer.epoch = epoch_;
    if (role_ != role::owning || stopping_) {
        return answer;
    }
    drop_expired_promises(now);
    promises_.remove(need.task);
    if (const cell_worker* const place = choose_place(now, need)) {
        promises_.add(need.task, {place->listing.worker, need.step.need, now + place_promise_timeout});
        ++stats_.places_promised;
        answer.outcome = place_outcome::promised;
    }
    else if (const cell_worker* const later = reserve ? reserve_place(now, need) : nullptr) {
        promises_.add(need.task, {later->listing.worker, need.step.need, now + reservation_timeout});
        answer.outcome = place_outcome::reserved;
    }
    stats_.places_refused += answer.outcome == place_outcome::refused ? 1 : 0;
    return answer;
}

// Returns the worker with the lowest placement cost for the task; null when none has room.
flow_cell::cell_worker* flow_cell::choose_place(instant now, const place_need& need)
{
    if (!may_send_starts(now)) {
        return nullptr;
    }
    const int image = image_of(need.step);
    cell_worker* best = nullptr;
    double best_cost = 0;
    for (auto& [id, w] : workers_) {
        if (!can_take(now, w, need.service, need.step, need.task)) {
            continue;
        }
        expected_interference interference;
        if (need.step.tail_target > duration(0)) {
            interference.excess_pressure = compute_excess_pressure(w, image);
        }
        const double cost = placement_cost(option_of(now, w), need.step, interference);
        if (best == nullptr || cost < best_cost) {
            best = &w;
            best_cost = cost;
        }
    }
    return best;
}

flow_cell::cell_worker* flow_cell::redeem_promise(instant now, const flow_job& job, const flow_task_id& task)
{
    const promised_place* const place = promises_.find(task);
    if (place == nullptr || !may_send_starts(now)) {
        return nullptr;
    }
    const auto worker = workers_.find(place->worker);
    if (worker == workers_.end()) {
        promises_.remove(task);
        return nullptr;
    }
    const place_need need = need_of(job, task);
    if (!can_take(now, worker->second, need.service, need.step, task)) {
        return nullptr; // short work there may still end
    }
    promises_.remove(task);
    return &worker->second;
}

void flow_cell::drop_expired_promises(instant now)
{
    if (promises_.remove_expired(now)) {
        schedule_placement();
    }
}

// --- places in other cells ---

void flow_cell::seek_place(instant now, flow_job& job, const flow_task_id& task, bool reserve)
{
    place_search& search = place_searches_[task];
    search.wanted_at = now;
    search.reserve = reserve;
    const bool running = !job.find_task(task)->runs.empty();
    int& asked_in_pass = running ? places_asked_running_ : places_asked_waiting_;
    const bool awaited = search.asked_at && now - *search.asked_at < place_answer_timeout;
    if (awaited || asked_in_pass >= max_places_asked) {
        return;
    }
    const std::optional<cell_id> cell = next_cell_to_ask(now, job, task, search);
    if (!cell) {
        return;
    }
    search.asked_at = now;
    ++asked_in_pass;
    ++place_answers_[first_of_stage(task)][*cell].awaited;
    ++stats_.places_asked;
    hooks_.ask_for_place(
        now, *cell, need_of(job, task), reserve,
        [this, task, cell = *cell, generation = ownership_generation_](instant then, const place_answer& answer) {
            if (generation == ownership_generation_) {
                on_place_answer(then, task, cell, answer);
            }
        });
}

void flow_cell::seek_places_of_stage(instant now, flow_job& job, const flow_task_id& task)
{
    for (auto at = place_searches_.lower_bound(first_of_stage(task));
         at != place_searches_.end() && same_stage(at->first, task); ++at) {
        if (!at->second.asked_at && now - at->second.wanted_at <= handoff_interval) {
            seek_place(now, job, at->first, at->second.reserve);
        }
    }
}

// Cells that report free room come first, then the one that keeps a worker for the task, then those that report that
// they could.
std::optional<cell_id> flow_cell::next_cell_to_ask(instant now, const flow_job& job, const flow_task_id& task,
                                                   const place_search& search) const
{
    const flow_step& step = job.spec().steps.at(static_cast<std::size_t>(task.step));
    const auto answers = place_answers_.find(first_of_stage(task));
    // One request finds out whether a cell has a place for the step; further ones go there once it has promised one.
    const auto may_ask = [&](const cell_id& cell) {
        if (!job.may_extend_to(cell, max_cells_per_job)) {
            return false;
        }
        if (answers == place_answers_.end()) {
            return true;
        }
        const auto known = answers->second.find(cell);
        return known == answers->second.end() ||
               (now >= known->second.refused_until &&
                (known->second.awaited == 0 || now - known->second.promised_at < place_refusal_retention));
    };
    const auto first_of = [&](room_kind kind) -> std::optional<cell_id> {
        const std::vector<cell_id> cells = hooks_.list_cells_for_task(now, id_, job.row().service_name, step, kind);
        const auto at = std::find_if(cells.begin(), cells.end(), may_ask);
        return at == cells.end() ? std::nullopt : std::optional(*at);
    };
    std::optional<cell_id> cell = first_of(room_kind::free);
    if (!cell && search.reserve) {
        cell = search.held_in ? search.held_in : first_of(room_kind::reservable);
    }
    return cell;
}

void flow_cell::on_place_answer(instant now, const flow_task_id& task, const cell_id& cell, const place_answer& answer)
{
    place_answers& answers = place_answers_[first_of_stage(task)][cell];
    --answers.awaited;
    const auto searched = place_searches_.find(task);
    const auto found = jobs_.find(task.job);
    if (searched == place_searches_.end() || found == jobs_.end()) {
        return;
    }
    place_search& search = searched->second;
    search.asked_at.reset();
    switch (answer.outcome) {
    case place_outcome::promised:
        answers.promised_at = now;
        search.held_in = cell;
        move_to_place(now, *found->second, task, cell, answer);
        seek_places_of_stage(now, *found->second, task);
        return;
    case place_outcome::reserved:
        search.held_in = cell; // asked again in the next pass
        move_to_place(now, *found->second, task, cell, answer);
        return;
    case place_outcome::refused:
        if (search.held_in == cell) {
            search.held_in.reset();
        }
        answers.refused_until = now + place_refusal_retention;
        seek_place(now, *found->second, task, search.reserve);
        return;
    }
}

bool flow_cell::is_held_elsewhere(const flow_task_id& task) const
{
    const auto search = place_searches_.find(task);
    return search != place_searches_.end() && search->second.held_in;
}

void flow_cell::move_to_place(instant now, flow_job& job, const flow_task_id& task, const cell_id& cell,
                              const place_answer& answer)
{
    flow_task* const t = job.find_task(task);
    const flow_stage* const stage = job.find_stage(task);
    if (t == nullptr || job.cancelled() || job.ended() || stopping_ || !may_send_orders(now) ||
        !may_start(job, *stage, *t)) {
        return;
    }
    const bool promised = answer.outcome == place_outcome::promised;
    if (t->stage == flow_task_state::ready && t->runs.empty()) {
        if (promised) {
            place_searches_.erase(task);
            move_task_to_cell(now, job, task, {cell, answer.epoch});
        }
        return;
    }
    if (t->runs.size() != 1 || t->runs.front().stopping || !t->runs.front().confirmed) {
        return;
    }
    live_run& run = t->runs.front();
    const auto at = workers_.find(run.worker);
    if (at == workers_.end() || !at->second.listing.draining || at->second.silent > 0 ||
        (!promised && now - at->second.draining_since < drain_patience)) {
        return;
    }
    edges_.note(log_level::info, "worker", "vacated",
                {{"cell", id_.str()},
                 {"worker", run.worker.str()},
                 {"task", text_of(task)},
                 {"to", cell.str()},
                 {"place", promised ? "promised" : "reserved"}});
    place_searches_.erase(task);
    t->moves_to = {cell, answer.epoch};
    t->moves_until = now + place_promise_timeout;
    stop_run_once(now, run, task);
}

void flow_cell::forget_old_searches(instant now)
{
    std::erase_if(place_searches_, [now](const auto& search) {
        return !search.second.asked_at && now - search.second.wanted_at > place_search_retention;
    });
    for (auto& [stage, cells] : place_answers_) {
        std::erase_if(cells, [now](const auto& cell) {
            const place_answers& known = cell.second;
            return known.awaited == 0 && now >= known.refused_until &&
                   now - known.promised_at >= place_refusal_retention;
        });
    }
    std::erase_if(place_answers_, [](const auto& stage) { return stage.second.empty(); });
}

} // namespace skylarkhub
