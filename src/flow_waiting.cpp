#include "flow_waiting_p.h"

namespace skylarkhub {

namespace {

// Of the shortest step in a row: a byte for the type and one for the value of each of its fields, and one for its end.
constexpr std::int64_t step_fields = 13;
constexpr std::int64_t step_row_bytes_least = 2 * step_fields + 1;

// A row waits as itself, in the call to the table (in base64, twice) and in the news to its owner.
constexpr std::int64_t row_copies = 4;

std::int64_t count_bytes(const flow_step& step)
{
    constexpr std::int64_t number_bytes = 5; // the longest that the row's encoding makes of 32 bits
    return static_cast<std::int64_t>(step.label.size() + step.data_rack.str().size() + step.image.size()) +
           number_bytes * static_cast<std::int64_t>(step.after.size());
}

} // namespace

waiting_requests::charge waiting_requests::take(std::int64_t bytes)
{
    charge taken = add(bytes);
    return bytes_->load() > bytes_most_ ? nullptr : taken;
}

waiting_requests::charge waiting_requests::add(std::int64_t bytes)
{
    bytes_->fetch_add(bytes);
    return {bytes_.get(), [bytes, sum = bytes_](const void*) { sum->fetch_sub(bytes); }};
}

std::size_t count_steps_most(std::int64_t row_bytes)
{
    return static_cast<std::size_t>(row_bytes / step_row_bytes_least);
}

std::int64_t estimate_waiting_bytes(const wire::flow_job_row& row, std::size_t encoded_bytes)
{
    return static_cast<std::int64_t>(row.steps.size() * sizeof(wire::flow_step_row) + 2 * encoded_bytes);
}

std::int64_t estimate_waiting_bytes(const flow_spec& spec)
{
    constexpr std::int64_t step_bytes =
        sizeof(flow_step) + sizeof(wire::flow_step_row) + row_copies * step_row_bytes_least;
    std::int64_t bytes = row_copies * static_cast<std::int64_t>(spec.payload.size());
    for (const flow_step& step : spec.steps) {
        bytes += step_bytes + row_copies * count_bytes(step);
    }
    return bytes;
}

} // namespace skylarkhub
