// The memory that requests of callers take while they wait for their answers, as an estimate, and its bound.
//
// Load pattern: many requests that are small as texts and large once they are read, while the table is slow or away.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "flow_types.h"
#include "flow_types_p.h"

namespace skylarkhub {

class waiting_requests {
public:
    // Counts until the last copy of the pointer has gone, on whichever thread.
    using charge = std::shared_ptr<const void>;

    explicit waiting_requests(std::int64_t bytes_most) : bytes_most_(bytes_most) {}

    // Null when there is no room.
    charge take(std::int64_t bytes);
    // For what cannot be refused any more; leaves less room, or none, for others.
    charge add(std::int64_t bytes);
    std::int64_t bytes() const { return bytes_->load(); }

private:
    std::int64_t bytes_most_;
    std::shared_ptr<std::atomic<std::int64_t>> bytes_ = std::make_shared<std::atomic<std::int64_t>>(0);
};

// The most steps that a job can have whose row is to fit into `row_bytes`.
std::size_t count_steps_most(std::int64_t row_bytes);

// Of a row that waits to be handed on, by the bytes of its encoding.
std::int64_t estimate_waiting_bytes(const wire::flow_job_row& row, std::size_t encoded_bytes);

// Of a request with this specification, from its arrival until its answer.
std::int64_t estimate_waiting_bytes(const flow_spec& spec);

} // namespace skylarkhub
