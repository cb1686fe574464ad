#include "flow_worker_list_p.h"

#include <algorithm>
#include <iterator>
#include <limits>

#include "flow_limits_p.h"

namespace skylarkhub {

using namespace flow_limits;

wire::flow_listed_worker_row to_wire(const flow_listed_worker& worker)
{
    wire::flow_listed_worker_row row;
    row.worker = worker.worker.str();
    row.address = worker.address.str();
    row.data_centre = worker.data_centre.str();
    row.service_name = worker.service;
    row.cpu_millis = worker.room.cpu_millis;
    row.memory_mib = worker.room.memory_mib;
    row.accelerators = worker.room.accelerators;
    row.labels = worker.labels;
    row.rack = worker.rack.str();
    row.draining = worker.draining;
    row.born = worker.born.value();
    return row;
}

flow_listed_worker from_wire(const wire::flow_listed_worker_row& row)
{
    return {worker_id(row.worker),
            net_address(row.address),
            data_centre_id(row.data_centre),
            row.service_name,
            resources{row.cpu_millis, row.memory_mib, row.accelerators},
            row.labels,
            rack_id(row.rack),
            row.draining,
            worker_birth(row.born)};
}

bool known_workers::take(flow_worker_list list, instant as_of)
{
    if (as_of_ && as_of < *as_of_) {
        return false;
    }
    list_ = std::move(list);
    as_of_ = as_of;
    return true;
}

wire::flow_worker_list_ask known_workers::ask(instant now) const
{
    wire::flow_worker_list_ask out;
    out.age_ms = as_of_ ? (now - *as_of_) / 1ms : std::numeric_limits<std::int64_t>::max();
    return out;
}

std::optional<wire::flow_worker_list_row> known_workers::tell(instant now, const wire::flow_worker_list_ask& ask)
{
    if (!as_of_ || now < next_tell_) {
        return std::nullopt;
    }
    wire::flow_worker_list_row out;
    out.age_ms = std::chrono::ceil<std::chrono::milliseconds>(now - *as_of_).count();
    if (out.age_ms >= ask.age_ms) {
        return std::nullopt;
    }
    out.workers.reserve(list_.workers.size());
    std::transform(list_.workers.begin(), list_.workers.end(), std::back_inserter(out.workers),
                   [](const flow_listed_worker& worker) { return to_wire(worker); });
    next_tell_ = now + told_worker_time * static_cast<std::int64_t>(list_.workers.size());
    return out;
}

} // namespace skylarkhub
