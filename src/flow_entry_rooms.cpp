// Which cell new work goes to: the room that the owners of cells report, the work sent there since, and the cell with
// the best of it for a job, a task or a gang.
#include <xxhash.h>

#include <algorithm>

#include "flow_entry_p.h"
#include "flow_limits_p.h"
#include "flow_row_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

// The properties of a job that its cell is chosen by.
struct job_needs {
    std::int64_t cpu = 0;             // processor time of the widest step, in millicores
    std::int32_t tasks = 0;           // number of tasks of the widest step
    resources task;                   // needs of one task of the widest step
    std::int32_t per_worker_most = 0; // 0: no limit
    std::string label;
    rack_id rack;
    bool filling = false;
    bool lasting = false;
    std::string image;      // of the widest step
    std::string task_label; // label that a worker needs to count as room for the tasks; empty: none
};

// What one task of the step takes of a worker's room. Filling work uses processors that others leave unused.
resources room_needed(const flow_step& step)
{
    resources need = step.need;
    need.cpu_millis = step.filling ? 0 : need.cpu_millis;
    return need;
}

job_needs needs_of(const flow_spec& spec)
{
    job_needs needs;
    for (const flow_step& step : spec.steps) {
        if (step.need.cpu_millis * step.count >= needs.cpu) {
            needs.cpu = step.need.cpu_millis * step.count;
            needs.tasks = step.count;
            needs.task = step.need;
            needs.per_worker_most = step.per_worker_most;
            needs.image = step.image;
        }
        needs.label = step.label.empty() ? needs.label : step.label;
        needs.rack = step.data_rack.valid() ? step.data_rack : needs.rack;
        needs.filling = needs.filling || step.filling;
        needs.lasting = needs.lasting || step.lasting;
    }
    return needs;
}

bool serves_only(const wire::flow_worker_room& room, const std::string& image)
{
    return room.serving.empty() || room.serving == image;
}

// Failure: a cell's worker with free processors lacks the memory or the accelerators. Symptom: the cell is taken for
// one with room, two such cells hand a task to and fro, and a third one with room for it is never tried. So room is
// counted worker by worker, by all that a task needs.
std::int32_t tasks_that_fit(const wire::flow_worker_room& room, const job_needs& needs)
{
    std::int64_t here = needs.tasks;
    if (needs.task.cpu_millis > 0) {
        here = std::min(here, room.free_cpu_millis / needs.task.cpu_millis);
    }
    if (room.__isset.free_memory_mib && needs.task.memory_mib > 0) {
        here = std::min(here, room.free_memory_mib / needs.task.memory_mib);
    }
    if (room.__isset.free_accelerators && needs.task.accelerators > 0) {
        here = std::min<std::int64_t>(here, room.free_accelerators / needs.task.accelerators);
    }
    if (needs.per_worker_most > 0) {
        here = std::min<std::int64_t>(here, needs.per_worker_most);
    }
    return static_cast<std::int32_t>(std::max<std::int64_t>(0, here));
}

// Returns the number of tasks that the workers of a pool have room for now.
std::int32_t tasks_that_fit(const wire::flow_pool_row& pool, const job_needs& needs)
{
    const auto label = std::find(pool.labels.begin(), pool.labels.end(), needs.task_label) - pool.labels.begin();
    std::int32_t fit = 0;
    for (const wire::flow_worker_room& room : pool.each) {
        const bool labelled =
            needs.task_label.empty() || std::find(room.labels.begin(), room.labels.end(), label) != room.labels.end();
        fit += labelled ? tasks_that_fit(room, needs) : 0;
    }
    return std::min(fit, needs.tasks);
}

// Subtracts the needs of the tasks from the room that a cell last reported, worker by worker in the order in which the
// cell's owner places them.
void take_room(wire::flow_pool_row& pool, const job_needs& needs)
{
    std::int32_t left = needs.tasks;
    const auto take = [&](auto&& wanted) {
        for (wire::flow_worker_room& room : pool.each) {
            if (left == 0 || !wanted(room)) {
                continue;
            }
            const std::int32_t here = std::min(left, tasks_that_fit(room, needs));
            room.free_cpu_millis -= static_cast<std::int32_t>(here * needs.task.cpu_millis);
            room.free_memory_mib -= here * needs.task.memory_mib;
            room.free_accelerators -= here * needs.task.accelerators;
            left -= here;
            if (needs.lasting && here > 0) {
                room.serving = serves_only(room, needs.image) ? needs.image : several_images;
            }
        }
    };
    if (needs.lasting) {
        take([&](const wire::flow_worker_room& room) { return room.serving == needs.image; });
        take([&](const wire::flow_worker_room& room) { return room.serving.empty(); });
    }
    take([](const wire::flow_worker_room&) { return true; });
    if (needs.lasting) {
        pool.serving_cpu_millis[needs.image] += needs.cpu;
    }
}

// Returns a value between 0 and 1 that is the same at every entry. Entries that do not know each other's recent choices
// thereby send an image to the same cell, and different images to different cells.
double image_cell_preference(const std::string& image, const std::string& cell)
{
    const std::string text = image + '/' + cell;
    return static_cast<double>(XXH64(text.data(), text.size(), 0) >> 11) / static_cast<double>(1ULL << 53);
}

double cell_score(const std::string& cell, const wire::flow_pool_row& pool, const job_needs& needs,
                  std::int64_t assigned)
{
    const auto total = static_cast<double>(pool.total_cpu_millis);
    const double unused = static_cast<double>(pool.unused_cpu_millis - assigned) / total;
    const double free = static_cast<double>(pool.free_cpu_millis - assigned) / total;
    if (needs.lasting) {
        // Prefers cells where all tasks fit at once, then those where the image is already served, then those with the
        // most room.
        const auto tasks = static_cast<double>(needs.tasks);
        const auto own_image = pool.serving_cpu_millis.find(needs.image);
        const double own_image_cpu =
            own_image == pool.serving_cpu_millis.end() ? 0 : static_cast<double>(own_image->second) / total;
        return 3 * tasks_that_fit(pool, needs) / tasks + free + own_image_cpu +
               0.1 * image_cell_preference(needs.image, cell);
    }
    const auto fill_room = pool.fill_cpu_millis.find(needs.image);
    if (needs.filling && fill_room != pool.fill_cpu_millis.end()) {
        return std::min(static_cast<double>(fill_room->second - assigned) / total, unused);
    }
    if (needs.filling) {
        return unused;
    }
    // Prefers cells where all tasks fit at once, then those with the most room for later tasks.
    return static_cast<double>(tasks_that_fit(pool, needs)) / std::max(1, needs.tasks) + 0.5 * free;
}

} // namespace

std::vector<wire::flow_cell_news>& flow_entry::own_news(instant now)
{
    if (now - own_news_at_ >= max_own_news_age) {
        own_news_.clear();
        for (const auto& [id, cell] : cells_) {
            if (cell->current_role() == flow_cell::role::owning) {
                own_news_.push_back(cell->news(now));
                assigned_cpu_[id] = 0;
            }
        }
        own_news_at_ = now;
    }
    return own_news_;
}

// Cells of evacuated data centres take no work, so they are left out.
template <class Visitor> void flow_entry::for_each_news(instant now, Visitor&& consider)
{
    const bool any_evacuated = !evacuations_.evacuated().empty();
    const auto consider_open = [&](wire::flow_cell_news& news, bool own) {
        if (!any_evacuated || !is_evacuated(cell_id(news.cell))) {
            consider(news, own);
        }
    };
    for (wire::flow_cell_news& news : own_news(now)) {
        consider_open(news, true);
    }
    for (auto& [id, p] : peers_) {
        if (is_live(p, now) && !p.leaving) {
            for (wire::flow_cell_news& news : p.cells) {
                consider_open(news, false);
            }
        }
    }
}

// Calls `consider` with the pools of other cells whose workers may run the step, and the news that they are in.
template <class Visitor>
void flow_entry::for_each_pool(instant now, const cell_id& from, const std::string& service, const flow_step& step,
                               Visitor&& consider)
{
    for_each_news(now, [&](wire::flow_cell_news& news, bool) {
        if (news.cell == from.str()) {
            return;
        }
        for (wire::flow_pool_row& pool : news.pools) {
            if (pool.service_name == service && has_label(pool.labels, step.label)) {
                consider(news, pool);
            }
        }
    });
}

std::int64_t& flow_entry::own_job_bytes_left(instant now)
{
    if (now - own_job_bytes_at_ >= max_own_news_age) {
        own_job_bytes_at_ = now;
        own_job_bytes_left_ = bounds_.shares.job_bytes;
        for (const auto& [id, cell] : cells_) {
            own_job_bytes_left_ -= cell->job_bytes();
        }
        const machine_shares& shares = bounds_.shares;
        recurring_job_bytes_left_ = own_job_bytes_left_ - (shares.job_bytes - shares.recurring_job_bytes());
    }
    return own_job_bytes_left_;
}

std::int64_t& flow_entry::recurring_job_bytes_left(instant now)
{
    own_job_bytes_left(now); // reads both anew, if they are old
    return recurring_job_bytes_left_;
}

// Failure: jobs are accepted that their owners cannot hold, as each task takes memory there and none in the request.
// Symptom: the machine ends the owner, then whoever follows it. So owners tell what they have left.
absl::flat_hash_set<std::string> flow_entry::cells_without_memory(instant now, std::int64_t job_bytes)
{
    absl::flat_hash_set<std::string> cells;
    if (own_job_bytes_left(now) < job_bytes) {
        for (const auto& [id, cell] : cells_) {
            if (cell->owns()) {
                cells.insert(id.str());
            }
        }
    }
    for (const auto& [id, p] : peers_) {
        if (is_live(p, now) && p.job_bytes_left >= 0 && p.job_bytes_left < job_bytes) {
            for (const wire::flow_cell_news& news : p.cells) {
                cells.insert(news.cell);
            }
        }
    }
    return cells;
}

void flow_entry::charge_owner(instant now, const cell_id& cell, std::int64_t job_bytes)
{
    const auto own = cells_.find(cell);
    if (own != cells_.end() && own->second->owns()) {
        own_job_bytes_left(now) -= job_bytes;
        return;
    }
    const peer* const owner = find_owner(now, cell);
    if (owner != nullptr && owner->job_bytes_left >= 0) {
        peer& told = peers_.at(owner->identity.entry);
        told.job_bytes_left = std::max<std::int64_t>(told.job_bytes_left - job_bytes, 0);
    }
}

// Chooses the cell with the highest score, taking into account the work sent there since its last news.
std::optional<cell_id> flow_entry::choose_cell(instant now, const flow_queue& queue, const flow_spec& spec)
{
    const job_needs needs = needs_of(spec);
    const std::int64_t job_bytes = estimate_job_bytes(spec);
    const auto without_memory = cells_without_memory(now, job_bytes);
    std::optional<cell_id> best;
    double best_score = 0;
    wire::flow_pool_row* best_pool = nullptr;
    const auto consider = [&](wire::flow_cell_news& news, bool own) {
        if (without_memory.contains(news.cell)) {
            return;
        }
        for (wire::flow_pool_row& pool : news.pools) {
            if (pool.service_name != queue.service || pool.total_cpu_millis <= 0) {
                continue;
            }
            const cell_id id(news.cell);
            double score = cell_score(news.cell, pool, needs, assigned_cpu_[id]);
            // Without the label, the tasks that need it are handed to another cell after a wait.
            score -= has_label(pool.labels, needs.label) ? 0.0 : 10.0;
            score += own && !needs.lasting ? 0.01 : 0.0; // between equal cells an own one saves a message
            const auto home = racks_.find(needs.rack);
            score += needs.rack.valid() && home != racks_.end() && home->second == id ? 1.0 : 0.0;
            if (!best || score > best_score) {
                best = id;
                best_score = score;
                best_pool = &pool;
            }
        }
    };
    for_each_news(now, consider);
    if (best) {
        assigned_cpu_[*best] += needs.cpu;
        take_room(*best_pool, needs);
        charge_owner(now, *best, job_bytes);
    }
    return best;
}

// All tasks of a lasting job must have room now, and leave the reserve for jobs that end by themselves. Accepted beyond
// that, lasting jobs would occupy everything for minutes, wait for each other, and delay work that is due in seconds.
bool flow_entry::has_lasting_room(instant now, const job_id& job, const flow_queue& queue, const flow_spec& spec)
{
    const job_needs needs = needs_of(spec);
    if (!needs.lasting) {
        return true;
    }
    std::int64_t total = 0;
    std::int64_t free = 0;
    std::int64_t demand = 0;
    std::int32_t fit = 0;
    for_each_news(now, [&](wire::flow_cell_news& news, bool) {
        for (const wire::flow_pool_row& pool : news.pools) {
            if (pool.service_name == queue.service && pool.total_cpu_millis > 0) {
                total += pool.total_cpu_millis;
                demand += pool.demand_cpu_millis;
                free += pool.free_cpu_millis - assigned_cpu_[cell_id(news.cell)];
                fit += tasks_that_fit(pool, needs);
            }
        }
    });
    const double reserve = batch_reserve(demand, total);
    const bool room = total == 0 || (fit >= needs.tasks &&
                                     static_cast<double>(free - needs.cpu) >= reserve * static_cast<double>(total));
    if (!room) {
        edges_.note(log_level::info, "job", "no_lasting_room",
                    {{"job", job.str()},
                     {"wants_tasks", std::to_string(needs.tasks)},
                     {"fit_tasks", std::to_string(fit)},
                     {"wants_cpu", std::to_string(needs.cpu)},
                     {"free_cpu", std::to_string(free)},
                     {"total_cpu", std::to_string(total)},
                     {"reserve", std::to_string(reserve)}});
    }
    return room;
}

namespace {

// Processors that are left for further tasks of the step, by what the cell's owner last reported.
std::int64_t left_for(const wire::flow_pool_row& pool, const flow_step& step)
{
    if (!step.filling) {
        return pool.free_cpu_millis;
    }
    const auto fill_room = pool.fill_cpu_millis.find(step.image);
    return fill_room == pool.fill_cpu_millis.end() ? pool.unused_cpu_millis : fill_room->second;
}

// Rates a pool for one more task of the step, higher is better; empty if it has no room of this kind. `assigned`:
// processors assigned to the cell since its last report.
std::optional<std::int64_t> rate_pool(const wire::flow_pool_row& pool, const flow_step& step, const job_needs& needs,
                                      room_kind kind, std::int64_t assigned)
{
    const std::int64_t left = left_for(pool, step) - assigned;
    if (kind == room_kind::any) {
        return pool.total_cpu_millis > 0 ? std::make_optional(left) : std::nullopt;
    }
    if (kind == room_kind::reservable) {
        const std::int64_t short_work = pool.total_cpu_millis - pool.lasting_cpu_millis - assigned;
        const bool reservable = pool.largest_reservable_cpu_millis >= step.need.cpu_millis && short_work > 0;
        return reservable ? std::make_optional(short_work) : std::nullopt;
    }
    const bool fits_worker = pool.largest_free_memory_mib >= step.need.memory_mib && tasks_that_fit(pool, needs) > 0;
    if (!fits_worker || (!step.lasting && left < step.need.cpu_millis)) {
        return std::nullopt;
    }
    // An owner that has just taken over the cell knows of no worker yet.
    const std::int64_t largest_free = pool.each.empty() ? 0 : pool.each.front().free_cpu_millis;
    const auto own_image_cpu = pool.serving_cpu_millis.find(step.image);
    const std::int64_t same_image = own_image_cpu == pool.serving_cpu_millis.end() ? 0 : own_image_cpu->second;
    const std::int64_t rating = step.lasting ? 1 + largest_free + same_image : left;
    return rating > 0 ? std::make_optional(rating) : std::nullopt;
}

// Returns the needs of one more task of the step.
job_needs needs_of_one(const flow_step& step)
{
    job_needs needs;
    needs.tasks = 1;
    needs.cpu = step.need.cpu_millis;
    needs.task = room_needed(step);
    needs.lasting = step.lasting;
    needs.image = step.image;
    needs.task_label = step.label;
    return needs;
}

} // namespace

// Returns another cell with a worker that one more task of the step fits on: the one with the most room, or for a
// lasting task the one where its image is served most.
std::optional<std::pair<cell_id, epoch>> flow_entry::find_cell_with_room(instant now, const cell_id& from,
                                                                         const std::string& service,
                                                                         const flow_step& step, room_kind kind)
{
    const wire::flow_cell_news* best = nullptr;
    std::int64_t best_rating = 0;
    wire::flow_pool_row* best_pool = nullptr;
    const job_needs needs = needs_of_one(step);
    for_each_pool(now, from, service, step, [&](wire::flow_cell_news& news, wire::flow_pool_row& pool) {
        const auto rating = rate_pool(pool, step, needs, kind, assigned_cpu_[cell_id(news.cell)]);
        if (rating && (best == nullptr || *rating > best_rating)) {
            best = &news;
            best_rating = *rating;
            best_pool = &pool;
        }
    });
    if (best == nullptr) {
        return std::nullopt;
    }
    assigned_cpu_[cell_id(best->cell)] += step.need.cpu_millis;
    if (!step.filling) {
        take_room(*best_pool, needs);
    }
    return std::make_pair(cell_id(best->cell), epoch(best->epoch));
}

std::vector<cell_id> flow_entry::list_cells_for_task(instant now, const cell_id& from, const std::string& service,
                                                     const flow_step& step, room_kind kind)
{
    const job_needs needs = needs_of_one(step);
    std::vector<std::pair<std::int64_t, cell_id>> rated;
    for_each_pool(now, from, service, step, [&](const wire::flow_cell_news& news, const wire::flow_pool_row& pool) {
        if (const auto rating = rate_pool(pool, step, needs, kind, 0)) {
            rated.emplace_back(-*rating, cell_id(news.cell));
        }
    });
    std::sort(rated.begin(), rated.end());
    std::vector<cell_id> cells;
    cells.reserve(rated.size());
    std::transform(rated.begin(), rated.end(), std::back_inserter(cells), [](const auto& r) { return r.second; });
    return cells;
}

std::vector<flow_cell_room> flow_entry::list_cells_with_room(instant now, const cell_id& from,
                                                             const std::string& service, const flow_step& step)
{
    job_needs needs;
    needs.tasks = step.count;
    needs.task = room_needed(step);
    needs.per_worker_most = step.per_worker_most;
    needs.task_label = step.label;
    std::vector<flow_cell_room> rooms;
    for_each_news(now, [&](const wire::flow_cell_news& news, bool) {
        for (const wire::flow_pool_row& pool : news.pools) {
            const std::int32_t tasks = tasks_that_fit(pool, needs);
            if (news.cell != from.str() && pool.service_name == service && tasks > 0 &&
                pool.largest_free_memory_mib >= step.need.memory_mib) {
                rooms.push_back({cell_id(news.cell), epoch(news.epoch), tasks});
            }
        }
    });
    std::sort(rooms.begin(), rooms.end(), [](const flow_cell_room& a, const flow_cell_room& b) {
        return a.tasks != b.tasks ? a.tasks > b.tasks : a.cell < b.cell;
    });
    return rooms;
}

double flow_entry::non_filling_cpu_share(instant now, const std::string& service)
{
    std::int64_t total = 0;
    std::int64_t free = 0;
    for_each_news(now, [&](const wire::flow_cell_news& news, bool) {
        for (const wire::flow_pool_row& pool : news.pools) {
            const bool counts = pool.service_name == service;
            total += counts ? pool.total_cpu_millis : 0;
            free += counts ? pool.free_cpu_millis : 0;
        }
    });
    return total == 0 ? 1.0 : 1.0 - static_cast<double>(free) / static_cast<double>(total);
}

} // namespace skylarkhub
