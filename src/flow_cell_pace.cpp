// Interference: what filling work does to the serving tasks beside it is learned for each pair of images; filling work
// is slowed to what the serving tasks bear at their present load, and moved where it makes no way.
#include <algorithm>
#include <array>
#include <cmath>

#include "flow_cell_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

constexpr double share_smoothing_s = 0.4; // measured tails follow the filling work about this much later
// A pace chosen now is in force from a moment later until the next look, up to a second from now.
constexpr std::array<double, 3> paced_ahead_s{0.0, 0.4, 0.8};
// A filling task stays for some seconds.
constexpr std::array<double, 3> placed_ahead_s{0.3, 1.5, 3.0};
constexpr double look_age_s = 0.25;    // what a worker measures is of its last half second
constexpr double strained_tail = 0.95; // of the target
constexpr double margin_cut = 0.7;     // of what is believed to be borne, after a strain
constexpr double margin_least = 0.2;
constexpr double margin_most = 1.1; // where the model sees more pressure than there is
constexpr double easy_tail = 0.75;  // of the target
constexpr double margin_gain = 0.2; // back per second
// A tail that was driven up comes down over two to three seconds after its cause has gone, as the backlog drains.
constexpr duration drain_time = std::chrono::milliseconds(1500);
// The platform counts four seconds over target beside filling work as harm; a tail takes up to two to come down.
constexpr duration over_most = std::chrono::milliseconds(1200);
constexpr duration refit_interval = std::chrono::seconds(1);
constexpr duration evict_interval = std::chrono::milliseconds(100); // lets the ledgers show where the last one went
constexpr double bears_least = 0.05; // where nothing is borne, everything takes up many times of it
constexpr int pace_unknown = -1;

double seconds_of(instant t)
{
    return std::chrono::duration<double>(t.time_since_epoch()).count();
}

double smoothing(duration elapsed, double time_constant_s)
{
    return 1 - std::exp(-std::chrono::duration<double>(elapsed).count() / time_constant_s);
}

double room_of(const flow_listed_worker& listing)
{
    return static_cast<double>(std::max<std::int64_t>(1, listing.room.cpu_millis));
}

double& entry(std::vector<double>& values, int index)
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

int pace_at(const std::vector<int>& paces, int index)
{
    return static_cast<std::size_t>(index) < paces.size() ? paces[static_cast<std::size_t>(index)] : 100;
}

} // namespace

void flow_cell::hint_presses(const std::map<std::string, double>& presses)
{
    if (!owns()) {
        return; // told again soon, should this entry take the cell over
    }
    for (const auto& [pair, interference_coefficient] : presses) {
        interference_.seed_coefficient(pair, interference_coefficient);
    }
}

int flow_cell::image_of(const flow_step& step)
{
    if (step.filling) {
        return interference_.filling_index(step.image);
    }
    return step.tail_target > duration(0) ? interference_.serving_index(step.image) : 0;
}

// Keeps what is counted of a worker's serving and filling tasks in step with its ledger.
void flow_cell::adjust_image_usage(cell_worker& w, const job_id& job, const ledger_run& run, int change)
{
    if (run.filling) {
        double& wanted = entry(w.wanted, run.image_index);
        wanted = std::max(0.0, wanted + change * static_cast<double>(run.need.cpu_millis) / room_of(w.listing));
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

void flow_cell::update_tolerance(serving_group& group, instant now) const
{
    const double time = seconds_of(now);
    double soon = 0;
    for (const double ahead : paced_ahead_s) {
        soon = std::max(soon, loads_.at(group.job, time + ahead));
    }
    group.tolerated_pressure = interference_.tolerable_pressure(group.image, soon);
    double sum = 0;
    for (const double ahead : placed_ahead_s) {
        sum += interference_.tolerable_pressure(group.image, loads_.at(group.job, time + ahead));
    }
    group.mean_tolerated_pressure = sum / static_cast<double>(placed_ahead_s.size());
}

// The pressure on one image's serving tasks by the filling work there, at its pace.
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

// What more of one filling image would do there: the part of what its serving tasks bear that it takes up, and by how
// much pressure would go beyond.
expected_interference flow_cell::filling_interference(const cell_worker& w, int filling, double share) const
{
    expected_interference out;
    for (const serving_group& group : w.serving_groups) {
        const double own = interference_.interference_coefficient(group.image, filling) * share;
        const double tolerated_pressure = group.mean_tolerated_pressure * w.tolerance_margin;
        const double pressure = own + interference_.pressure(group.image, w.wanted);
        out.taken = std::max(out.taken, own / std::max(tolerated_pressure, bears_least));
        // Work that presses on nobody is welcome even where other work already presses too much.
        out.excess_pressure = std::max(out.excess_pressure, std::min(own * 3, pressure - tolerated_pressure));
    }
    return out;
}

// By how much pressure would go beyond what is borne by a serving task that would join the filling work there.
double flow_cell::compute_excess_pressure(const cell_worker& w, int serving) const
{
    const double pressure = interference_.pressure(serving, w.wanted);
    return std::clamp(pressure - interference_.tolerable_pressure(serving, loads_.at(job_id(), 0)), 0.0, 0.3);
}

void flow_cell::learn(cell_worker& w, const order_answer& answer)
{
    std::vector<double> used(w.wanted.size(), 0);
    for (const reported_run& run : answer.running) {
        const auto at = w.ledger.find(run.task);
        if (at != w.ledger.end() && at->second.filling) {
            entry(used, at->second.image_index) += static_cast<double>(run.measure) / room_of(w.listing);
        }
    }
    const double a = w.shares.empty() ? 1 : smoothing(w.clock_read_at - w.measured_at, share_smoothing_s);
    w.shares.resize(std::max(w.shares.size(), used.size()), 0);
    for (std::size_t f = 0; f < w.shares.size(); ++f) {
        w.shares[f] += a * (value_at(used, f) - w.shares[f]);
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
        const double time = seconds_of(w.clock_read_at) - look_age_s;
        loads_.add(run.task.job, time, interference_.estimate_load(image, utilization, w.shares),
                   interference_.load_weight(image, utilization, w.shares));
        interference_.learn(image, utilization, loads_.at(run.task.job, time), w.shares);
    }
    for (serving_group& group : w.serving_groups) {
        update_tolerance(group, w.clock_read_at);
    }
    w.measured_at = w.clock_read_at;
}

void flow_cell::process_measurements(instant now, cell_worker& w, const order_answer& answer)
{
    const duration since = w.measured_at == instant{} ? duration(0) : now - w.measured_at;
    w.tail = 0;
    learn(w, answer);
    if (now - refitted_at_ >= refit_interval) {
        refitted_at_ = now;
        interference_.refit();
    }
    if (w.tail < easy_tail) {
        w.tolerance_margin =
            std::min(margin_most, w.tolerance_margin + margin_gain * std::chrono::duration<double>(since).count());
    }
    if (w.tail >= strained_tail && w.filling_task_count > 0 && now - w.tightened_at >= drain_time) {
        w.tolerance_margin = std::max(margin_least, w.tolerance_margin * margin_cut);
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

void flow_cell::set_paces(instant now, cell_worker& w)
{
    std::vector<serving_tolerance> serving;
    for (const serving_group& group : w.serving_groups) {
        serving.push_back({group.image, group.tolerated_pressure * w.tolerance_margin});
    }
    w.paces = choose_paces(interference_, serving, w.wanted);
    // Whatever the model says: filling work does not go on beside a serving task that stays over its target.
    if (w.over_target_since != instant{} && now - w.over_target_since >= over_most && w.serving > 0) {
        std::fill(w.paces.begin(), w.paces.end(), 0);
    }
    send_paces(now, w);
}

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
        // Small steps up are not worth an order each; down, up to full pace and from nothing always are.
        const bool worth =
            wanted < current || (wanted > current && (wanted == 100 || current <= 0 || wanted >= current + 20));
        if (!worth || current == wanted) {
            continue;
        }
        w.paced[task] = wanted;
        edges_.order(place_of(w), pace_run{task, run.run, wanted, epoch_}, pace_timeout,
                     [this, id = w.listing.worker, task = task, wanted,
                      life = ownership_generation_](instant, const order_answer& answer) {
                         const auto at = workers_.find(id);
                         if (life != ownership_generation_ || at == workers_.end() ||
                             answer.result == order_result::accepted) {
                             return;
                         }
                         const auto p = at->second.paced.find(task);
                         if (p != at->second.paced.end() && p->second == wanted) {
                             p->second = pace_unknown; // said again with the next exchange
                         }
                     });
    }
}

// Filling work that is slowed to nothing makes no way where it is. It goes on from its checkpoint where it presses on
// nobody, one task at a time, as long as there is such a place.
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
        const cell_worker* const better = step.checkpointing ? choose_worker(now, *found->second, stage, *t) : nullptr;
        if (better == nullptr ||
            filling_interference(*better, run.image_index,
                                 static_cast<double>(run.need.cpu_millis) / room_of(better->listing))
                    .excess_pressure > 0) {
            continue;
        }
        edges_.note(log_level::info, "run", "evicted",
                    {{"job", task.job.str()},
                     {"worker", w.listing.worker.str()},
                     {"to", better->listing.worker.str()},
                     {"image", run.image}});
        ++stats_.moved;
        stop_run_once(now, t->runs.front(), task);
        w.next_evict = now + evict_interval;
        return;
    }
}

} // namespace skylarkhub
