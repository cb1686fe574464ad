// Divides what an entry's machine holds among those who call the entry, so that all of them together stay within it.
#pragma once

#include <cstddef>
#include <cstdint>

namespace skylarkhub {

// What the machine holds. The defaults stand in for what the settings do not tell.
struct machine_limits {
    std::int64_t memory_bytes = std::int64_t{160} << 20;
    std::int64_t descriptors = 4096;
};

// What the callers of one listener may cost the entry together.
struct listener_share {
    std::size_t connections = 0;
    std::int64_t body_bytes = 0; // of the bodies that are being received or answered
    int socket_buffer_bytes = 0; // of each connection; 0: the kernel's own
};

struct machine_shares {
    listener_share callers;
    listener_share peers;
    listener_share probes;          // of readiness or of metrics: each has its own
    std::int64_t waiting_bytes = 0; // of callers' requests that wait for their answer
    std::int64_t job_bytes = 0;     // of the jobs that the owner of a cell holds
    // Of the occurrences that the owner holds of one recurring job. Leaves room for other jobs.
    std::int64_t recurring_job_bytes() const { return job_bytes / 2; }
    std::size_t remembered_jobs = 0; // that callers have asked about
};

// The memory that one connection may take without a request: the buffer of the library, and what has arrived in the
// socket and is not read.
inline constexpr int connection_buffer_bytes = 32 << 10;
inline constexpr std::int64_t connection_bytes = std::int64_t{2} * connection_buffer_bytes;

machine_shares divide_machine(const machine_limits& machine);

} // namespace skylarkhub
