// How an entry keeps its list of workers recent, and what it does with a new one.
#include <algorithm>

#include "flow_entry_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

bool flow_entry::owns_cells() const
{
    return std::any_of(cells_.begin(), cells_.end(), [](const auto& c) { return c.second->owns(); });
}

void flow_entry::list_workers(instant now)
{
    listing_ = true;
    edges_.list_workers([this, asked = now](instant then, std::optional<flow_worker_list> list) {
        listing_ = false;
        const duration interval_owner = list ? list_interval_owner : list_retry;
        next_list_ = then + (owns_cells() ? interval_owner : list_interval_other);
        if (!list) {
            return;
        }
        table_answered_ = then;
        if (workers_.take(std::move(*list), asked)) {
            flow_worker_list usable = usable_list();
            report_unusable(then, usable.unusable);
            on_workers(then, std::move(usable.workers));
        }
    });
}

// Failure: the table answers an owner's reads of the list late or not at all, and its other calls through a peer.
// Symptom: it starts tasks beyond capacities that have shrunk, and on workers that drain. So an owner whose list grows
// old asks its peers for a newer one, whatever keeps its own reads from being answered.
void flow_entry::ask_for_worker_list(instant now)
{
    if (asking_for_list_ || now < next_list_ask_ || workers_.is_younger(now, list_patience) || !owns_cells()) {
        return;
    }
    const auto helper = list_peer();
    if (!helper) {
        return;
    }
    asking_for_list_ = true;
    next_list_ask_ = now + list_retry;
    wire::flow_message message;
    message.__set_worker_list_ask(workers_.ask(now));
    edges_.send_message(*helper, message,
                        [this, asked = now](instant then, const std::optional<wire::flow_message>& answer) {
                            asking_for_list_ = false;
                            if (answer && answer->__isset.worker_list) {
                                on_worker_list_told(then, asked, answer->worker_list);
                            }
                        });
}

// The entries of the list that name no worker to use are not told: what is known of them stays as read last.
void flow_entry::on_worker_list_told(instant now, instant asked, const wire::flow_worker_list_row& told)
{
    flow_worker_list list;
    list.workers.reserve(told.workers.size());
    for (const wire::flow_listed_worker_row& row : told.workers) {
        list.workers.push_back(from_wire(row));
    }
    if (workers_.take(std::move(list), asked - std::chrono::milliseconds(told.age_ms))) {
        ++stats_.worker_lists_from_peers;
        on_workers(now, usable_list().workers);
    }
}

// Entries without cells read the list rarely, so one that is asked reads it anew.
wire::flow_message flow_entry::serve_worker_list(instant now, const wire::flow_worker_list_ask& ask)
{
    if (!table_away_ && !workers_.is_younger(now, list_interval_owner)) {
        next_list_ = now;
    }
    wire::flow_message answer;
    if (auto list = workers_.tell(now, ask)) {
        answer.__set_worker_list(*std::move(list));
    }
    return answer;
}

// Whether tasks may be started by the list. While the table answers nobody, no entry has a newer one, and work goes on.
bool flow_entry::has_recent_worker_list(instant now) const
{
    return workers_.is_younger(now, worker_list_validity) ||
           (workers_.as_of() && table_outage(now, now - worker_list_validity));
}

// A worker of a service that the configuration lacks is not used until a later configuration names the service.
flow_worker_list flow_entry::usable_list() const
{
    flow_worker_list list = workers_.list();
    if (!config_) {
        return list;
    }
    std::set<std::string> known;
    for (const flow_service& service : config_->services) {
        known.insert(service.name);
    }
    const auto unknown =
        std::stable_partition(list.workers.begin(), list.workers.end(),
                              [&known](const flow_listed_worker& w) { return known.count(w.service) != 0; });
    for (auto at = unknown; at != list.workers.end(); ++at) {
        list.unusable.push_back({at->worker, "service is not in the configuration"});
    }
    list.workers.erase(unknown, list.workers.end());
    return list;
}

void flow_entry::report_unusable(instant now, const std::vector<flow_unusable_entry>& entries)
{
    const std::vector<flow_unusable_entry> fresh = unusable_.take(now, entries);
    stats_.unusable_entries = static_cast<std::int64_t>(entries.size());
    stats_.unusable_entries_noticed += static_cast<std::int64_t>(fresh.size());
    for (std::size_t i = 0; i < fresh.size() && i < max_unusable_lines; ++i) {
        edges_.note(log_level::warning, "worker", "entry_unusable",
                    {{"worker", fresh[i].worker.str()}, {"reason", fresh[i].reason}});
    }
    if (fresh.size() > max_unusable_lines) {
        edges_.note(log_level::warning, "worker", "entries_unusable",
                    {{"not_shown", std::to_string(fresh.size() - max_unusable_lines)}});
    }
}

void flow_entry::on_workers(instant now, std::vector<flow_listed_worker> workers)
{
    std::map<data_centre_id, rack_workers> listed;
    std::map<cell_id, std::vector<flow_listed_worker>> by_cell;
    for (flow_listed_worker& w : workers) {
        ++listed[w.data_centre][w.rack];
        const cell_layout& layout = layouts_[w.data_centre].layout;
        const auto assigned = layout.find(w.rack);
        if (assigned != layout.end()) {
            by_cell[assigned->second.cell].push_back(std::move(w));
        }
    }
    for (auto& [data_centre, known] : layouts_) {
        if (known.listed != listed[data_centre]) {
            known.listed = std::move(listed[data_centre]);
            known.changed_at = now;
        }
    }
    for (auto& [id, cell] : cells_) {
        cell->on_workers_listed(now, by_cell[id]);
    }
    assign_racks(now);
}

} // namespace skylarkhub
