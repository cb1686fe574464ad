// Interference between filling tasks and the serving tasks on the same worker. The cell learns an interference
// coefficient for each pair of serving and filling image, throttles filling tasks to the pressure that the serving
// tasks tolerate at their present load, and moves filling tasks that are throttled too far.
#include <algorithm>
#include <array>
#include <cmath>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

constexpr double share_smoothing_s = 0.4; // tail latencies lag behind the filling load by about this time
// A pace takes effect shortly after it is chosen and applies until the next exchange, up to one second later.
constexpr std::array<double, 3> pace_lookahead_s{0.0, 0.4, 0.8};
// A filling task stays on its worker for several seconds, so placement averages the load over them.
constexpr std::array<double, 3> placement_lookahead_s{0.3, 1.5, 3.0};
constexpr double measurement_age_s = 0.25;   // workers measure over their last half second
constexpr double strained_tail_share = 0.95; // share of the target
constexpr double tolerance_margin_cut = 0.7; // factor on the tolerance margin after a strained tail
constexpr double tolerance_margin_min = 0.2;
constexpr double tolerance_margin_max = 1.1;        // above 1, because the model may overestimate the pressure
constexpr double relaxed_tail_share = 0.75;         // share of the target
constexpr double tolerance_margin_gain_per_s = 0.2; // added to the margin per second
// After its cause has gone, an elevated tail latency takes two to three seconds to fall, as the backlog drains.
constexpr duration backlog_drain_time = std::chrono::milliseconds(1500);
// The platform reports harm when a tail exceeds its target for four seconds beside filling work. A tail takes up to
// two seconds to fall, so throttling has to begin well before that.
constexpr duration over_target_max = std::chrono::milliseconds(1200);
constexpr duration refit_interval = std::chrono::seconds(1);
constexpr duration evict_interval = std::chrono::milliseconds(100); // gives the ledgers time to show the previous move
constexpr double tolerated_pressure_min = 0.05; // avoids a division by zero where serving tasks tolerate no pressure
constexpr int pace_unknown = -1;

double seconds_of(instant t)
{
    return std::chrono::duration<double>(t.time_since_epoch()).count();
}

// Returns the weight of a new sample in an exponential moving average.
double smoothing_weight(duration elapsed, double time_constant_s)
{
    return 1 - std::exp(-std::chrono::duration<double>(elapsed).count() / time_constant_s);
}

// Returns the processor capacity of the worker in millicores, at least 1.
double cpu_room_millis(const flow_listed_worker& listing)
{
    return static_cast<double>(std::max<std::int64_t>(1, listing.room.cpu_millis));
}

// Returns the element at the index and extends the vector with zeros if it is too short.
double& grown_entry(std::vector<double>& values, int index)
{
    if (values.size() <= static_cast<std::size_t>(index)) {
        values.resize(static_cast<std::size_t>(index) + 1, 0);
    }
    return values[static_cast<std::size_t>(index)];
}

double value_at(const std::vector<double>& values, std::size_t index)
{
    return index < values.size() ? values[index] : 0;
}

// Returns the pace in percent; 100 for an image without a chosen pace.
int pace_at(const std::vector<int>& paces, int index)
{
    return static_cast<std::size_t>(index) < paces.size() ? paces[static_cast<std::size_t>(index)] : 100;
}

} // namespace

// Seeds coefficients of image pairs with the values that another cell has learned.
void flow_cell::hint_presses(const std::map<std::string, double>& presses)
{
    if (!owns()) {
        return; // peers repeat the coefficients, so an entry that takes the cell over receives them soon
    }
    for (const auto& [pair, interference_coefficient] : presses) {
        interference_.seed_coefficient(pair, interference_coefficient);
    }
}

// Returns the index of the image in the interference model; 0 for a step that neither fills nor serves.
int flow_cell::image_of(const flow_step& step)
{
    if (step.filling) {
        return interference_.filling_index(step.image);
    }
    return step.tail_target > duration(0) ? interference_.serving_index(step.image) : 0;
}

// Adds a run to the counts of its worker's serving or filling tasks by image, or removes it: `change` is 1 or -1.
void flow_cell::adjust_image_usage(cell_worker& w, const job_id& job, const ledger_run& run, int change)
{
    if (run.filling) {
        double& wanted = grown_entry(w.wanted, run.image_index);
        wanted = std::max(0.0, wanted + change * static_cast<double>(run.need.cpu_millis) / cpu_room_millis(w.listing));
        return;
    }
    if (run.tail_target <= duration(0)) {
        return;
    }
    const auto at = std::find_if(w.serving_groups.begin(), w.serving_groups.end(),
                                 [&](const serving_group& g) { return g.image == run.image_index && g.job == job; });
    if (at == w.serving_groups.end()) {
        serving_group group;
        group.job = job;
        group.image = run.image_index;
        group.tasks = change;
        update_tolerance(group, w.clock_read_at);
        w.serving_groups.push_back(group);
        return;
    }
    at->tasks += change;
    if (at->tasks <= 0) {
        w.serving_groups.erase(at);
    }
}

// Recomputes the pressure that a group of serving tasks tolerates: at the highest load until the next exchange, and on
// average over the next seconds.
void flow_cell::update_tolerance(serving_group& group, instant now) const
{
    const double time = seconds_of(now);
    double highest_load = 0;
    for (const double ahead : pace_lookahead_s) {
        highest_load = std::max(highest_load, loads_.at(group.job, time + ahead));
    }
    group.tolerated_pressure = interference_.tolerable_pressure(group.image, highest_load);
    double sum = 0;
    for (const double ahead : placement_lookahead_s) {
        sum += interference_.tolerable_pressure(group.image, loads_.at(group.job, time + ahead));
    }
    group.mean_tolerated_pressure = sum / static_cast<double>(placement_lookahead_s.size());
}

// Returns the pressure on the serving tasks of `group` from the worker's filling tasks at their current paces.
double flow_cell::pressure_on(const cell_worker& w, const serving_group& group) const
{
    double pressure = 0;
    for (std::size_t f = 0; f < w.wanted.size(); ++f) {
        const int filling = static_cast<int>(f);
        pressure += interference_.interference_coefficient(group.image, filling) * w.wanted[f] *
                    pace_at(w.paces, filling) / 100.0;
    }
    return pressure;
}

// Estimates the interference of additional filling work of one image that takes `share` of the worker's processors:
// the part of the tolerated pressure that it uses, and the pressure beyond the tolerated amount.
expected_interference flow_cell::filling_interference(const cell_worker& w, int filling, double share) const
{
    expected_interference out;
    for (const serving_group& group : w.serving_groups) {
        const double added_pressure = interference_.interference_coefficient(group.image, filling) * share;
        const double tolerated_pressure = group.mean_tolerated_pressure * w.tolerance_margin;
        const double pressure = added_pressure + interference_.pressure(group.image, w.wanted);
        out.taken = std::max(out.taken, added_pressure / std::max(tolerated_pressure, tolerated_pressure_min));
        // Filling work that adds no pressure is accepted even where the pressure is already too high, so the excess is
        // limited to three times the pressure that the new work adds.
        out.excess_pressure =
            std::max(out.excess_pressure, std::min(added_pressure * 3, pressure - tolerated_pressure));
    }
    return out;
}

// Estimates by how much the pressure of the worker's filling tasks would exceed what a new serving task of the image
// tolerates; limited to 0.3.
double flow_cell::compute_excess_pressure(const cell_worker& w, int serving) const
{
    const double pressure = interference_.pressure(serving, w.wanted);
    return std::clamp(pressure - interference_.tolerable_pressure(serving, loads_.at(job_id(), 0)), 0.0, 0.3);
}

// Updates the load estimates and the interference coefficients from the tails and shares that a worker reported.
void flow_cell::learn(cell_worker& w, const order_answer& answer)
{
    std::vector<double> used(w.wanted.size(), 0);
    for (const reported_run& run : answer.running) {
        const auto at = w.ledger.find(run.task);
        if (at != w.ledger.end() && at->second.filling) {
            grown_entry(used, at->second.image_index) += static_cast<double>(run.measure) / cpu_room_millis(w.listing);
        }
    }
    const double weight = w.shares.empty() ? 1 : smoothing_weight(w.clock_read_at - w.measured_at, share_smoothing_s);
    w.shares.resize(std::max(w.shares.size(), used.size()), 0);
    for (std::size_t f = 0; f < w.shares.size(); ++f) {
        w.shares[f] += weight * (value_at(used, f) - w.shares[f]);
    }
    for (const reported_run& run : answer.running) {
        const auto at = w.ledger.find(run.task);
        if (at == w.ledger.end() || at->second.tail_target <= duration(0) || run.progress_percent < 100 ||
            run.measure <= 0) {
            continue;
        }
        const double target = std::chrono::duration<double, std::milli>(at->second.tail_target).count();
        const double tail = static_cast<double>(run.measure) / target;
        w.tail = std::max(w.tail, tail);
        const int image = at->second.image_index;
        interference_.note_tail(image, tail);
        const double utilization = interference_.utilization(image, tail);
        const double time = seconds_of(w.clock_read_at) - measurement_age_s;
        loads_.add(run.task.job, time, interference_.estimate_load(image, utilization, w.shares),
                   interference_.load_weight(image, utilization, w.shares));
        interference_.learn(image, utilization, loads_.at(run.task.job, time), w.shares);
    }
    for (serving_group& group : w.serving_groups) {
        update_tolerance(group, w.clock_read_at);
    }
    w.measured_at = w.clock_read_at;
}

// Evaluates one report of a worker: learns from it, adapts the tolerance margin, sets the paces of the filling tasks
// and evicts a task that is throttled too far.
void flow_cell::process_measurements(instant now, cell_worker& w, const order_answer& answer)
{
    const duration elapsed = w.measured_at == instant{} ? duration(0) : now - w.measured_at;
    w.tail = 0;
    learn(w, answer);
    if (now - refitted_at_ >= refit_interval) {
        refitted_at_ = now;
        interference_.refit();
    }
    if (w.tail < relaxed_tail_share) {
        w.tolerance_margin =
            std::min(tolerance_margin_max,
                     w.tolerance_margin + tolerance_margin_gain_per_s * std::chrono::duration<double>(elapsed).count());
    }
    if (w.tail >= strained_tail_share && w.filling_task_count > 0 && now - w.tightened_at >= backlog_drain_time) {
        w.tolerance_margin = std::max(tolerance_margin_min, w.tolerance_margin * tolerance_margin_cut);
        w.tightened_at = now;
        edges_.note(log_level::info, "pace", "tightened",
                    {{"worker", w.listing.worker.str()},
                     {"tail_share", std::to_string(w.tail)},
                     {"margin", std::to_string(w.tolerance_margin)}});
    }
    if (w.tail < 1) {
        w.over_target_since = instant{};
    }
    else if (w.over_target_since == instant{}) {
        w.over_target_since = now;
    }
    set_paces(now, w);
    evict_throttled_filling(now, w);
}

// Chooses the pace of each filling image on the worker and sends the changes.
void flow_cell::set_paces(instant now, cell_worker& w)
{
    std::vector<serving_tolerance> serving;
    for (const serving_group& group : w.serving_groups) {
        serving.push_back({group.image, group.tolerated_pressure * w.tolerance_margin});
    }
    w.paces = choose_paces(interference_, serving, w.wanted);
    // Filling tasks are paused beside a serving task that stays over its target, whatever the interference model
    // predicts.
    if (w.over_target_since != instant{} && now - w.over_target_since >= over_target_max && w.serving > 0) {
        std::fill(w.paces.begin(), w.paces.end(), 0);
    }
    send_paces(now, w);
}

// Whether the worker has told that it has the run. It ignores the pace of a run that it does not have yet, which then
// starts at full pace.
bool flow_cell::is_confirmed(const cell_worker& w, const flow_task_id& task, run_number run)
{
    const live_run* const live = look_up_run(w.listing.worker, task, run).live;
    return live != nullptr && live->confirmed;
}

// Sends the chosen pace to each filling run whose last sent pace differs enough.
void flow_cell::send_paces(instant now, cell_worker& w)
{
    if (!may_send_orders(now)) {
        return;
    }
    for (const auto& [task, run] : w.ledger) {
        if (!run.filling) {
            continue;
        }
        const std::int32_t wanted = pace_at(w.paces, run.image_index);
        const auto known = w.paced.find(task);
        const std::int32_t current = known == w.paced.end() ? 100 : known->second;
        // A small increase is not worth an order. A decrease, an increase to full pace and an increase from zero are
        // always sent.
        const bool worth_sending =
            wanted < current || (wanted > current && (wanted == 100 || current <= 0 || wanted >= current + 20));
        if (!worth_sending || current == wanted || !is_confirmed(w, task, run.run)) {
            continue;
        }
        w.paced[task] = wanted;
        edges_.order(place_of(w), pace_run{task, run.run, wanted, epoch_}, pace_timeout,
                     [this, id = w.listing.worker, task = task, wanted,
                      generation = ownership_generation_](instant, const order_answer& answer) {
                         const auto at = workers_.find(id);
                         if (generation != ownership_generation_ || at == workers_.end() ||
                             answer.result == order_result::accepted) {
                             return;
                         }
                         const auto sent_pace = at->second.paced.find(task);
                         if (sent_pace != at->second.paced.end() && sent_pace->second == wanted) {
                             sent_pace->second = pace_unknown; // the pace is sent again after the next exchange
                         }
                     });
    }
}

// Moves one filling task that is throttled to at most 20 percent to a worker where it causes no excess pressure. The
// task is stopped here and continues there from its checkpoint. At most one task is evicted per interval, and none if
// no such worker exists.
void flow_cell::evict_throttled_filling(instant now, cell_worker& w)
{
    if (now < w.next_evict || w.serving == 0) {
        return;
    }
    for (const auto& [task, run] : w.ledger) {
        if (!run.filling || pace_at(w.paces, run.image_index) > 20) {
            continue;
        }
        const auto found = jobs_.find(task.job);
        flow_task* const t = found == jobs_.end() ? nullptr : found->second->find_task(task);
        if (t == nullptr || t->runs.size() != 1 || t->runs.front().stopping || !t->runs.front().confirmed ||
            now - t->runs.front().sent < evict_cooldown) {
            continue;
        }
        const flow_stage& stage = *found->second->find_stage(task);
        const flow_step& step = found->second->step(stage);
        const cell_worker* const destination =
            step.checkpointing ? choose_worker(now, *found->second, stage, task) : nullptr;
        if (destination == nullptr ||
            filling_interference(*destination, run.image_index,
                                 static_cast<double>(run.need.cpu_millis) / cpu_room_millis(destination->listing))
                    .excess_pressure > 0) {
            continue;
        }
        edges_.note(log_level::info, "run", "evicted",
                    {{"job", task.job.str()},
                     {"worker", w.listing.worker.str()},
                     {"to", destination->listing.worker.str()},
                     {"image", run.image}});
        ++stats_.moved;
        stop_run_once(now, t->runs.front(), task);
        w.next_evict = now + evict_interval;
        return;
    }
}

} // namespace skylarkhub
