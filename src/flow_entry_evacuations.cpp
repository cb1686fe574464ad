// What an entry does when the operator evacuates a data centre or takes that back.
#include <algorithm>

#include "flow_entry_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

// Failure: an entry goes by old knowledge, after a pause, or while the table does not answer it and its peers are not
// heard. Symptom: it starts tasks in a data centre that was evacuated long ago. So knowledge is valid for a limited
// time. While no entry reaches the table, nobody knows more, and work goes on as for ownership.
start_permission flow_entry::permission_in(const data_centre_id& data_centre, instant now) const
{
    if (evacuations_.includes(data_centre)) {
        return start_permission::evacuated;
    }
    const instant complete_at = evacuations_.complete_at();
    const bool valid =
        evacuations_.known() && (now - complete_at < evacuations_validity || table_outage(now, complete_at));
    return valid && has_recent_worker_list(now) ? start_permission::allowed : start_permission::not_known;
}

bool flow_entry::is_evacuated(const cell_id& cell) const
{
    const auto place = cell_places_.find(cell);
    return place != cell_places_.end() && evacuations_.includes(place->second);
}

bool flow_entry::is_site_evacuated() const
{
    return !cell_places_.empty() && std::all_of(cell_places_.begin(), cell_places_.end(), [this](const auto& place) {
        return evacuations_.includes(place.second);
    });
}

void flow_entry::on_evacuations_changed(instant now, const known_evacuations::changes& changes, const std::string& from)
{
    if (changes.empty()) {
        return;
    }
    const auto log = [&](const char* event, const data_centre_id& data_centre) {
        edges_.note(log_level::info, "evacuation", event,
                    {{"data_centre", data_centre.str()},
                     {"cells_here", layouts_.count(data_centre) != 0 ? "known" : "none"},
                     {"version", std::to_string(evacuations_.version().value())},
                     {"age_ms", std::to_string((now - evacuations_.complete_at()) / 1ms)},
                     {"from", from}});
    };
    for (const data_centre_id& data_centre : changes.evacuated) {
        log("in_force", data_centre);
    }
    for (const data_centre_id& data_centre : changes.taken_back) {
        log("taken_back", data_centre);
    }
    for (auto& [id, cell] : cells_) {
        if (cell->owns()) {
            cell->on_evacuation_changed(now);
        }
    }
}

} // namespace skylarkhub
