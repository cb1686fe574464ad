#include "base_shares_p.h"

#include <algorithm>

namespace skylarkhub {

namespace {

// Of the machine's memory. The rest is the entry's own.
constexpr std::int64_t callers_connections_part = 8;
constexpr std::int64_t callers_bodies_part = 8;
constexpr std::int64_t waiting_part = 8;
constexpr std::int64_t jobs_part = 8; // the cells of an entry that fails go to others
constexpr std::int64_t peers_connections_part = 16;
constexpr std::int64_t peers_bodies_part = 16;
constexpr std::int64_t remembered_part = 64;

// Of the sockets. The rest is for the table, the workers and the peers that the entry calls.
constexpr std::int64_t callers_sockets_part = 2;
constexpr std::int64_t peers_sockets_part = 6;

constexpr std::int64_t descriptors_for_files = 200; // that no socket can have
constexpr std::size_t connections_least = 16;
constexpr std::size_t probe_connections = 16;
constexpr std::int64_t probe_body_bytes = 64 << 10;
constexpr std::int64_t remembered_job_bytes = 256;

std::size_t count_connections(std::int64_t by_memory, std::int64_t by_sockets)
{
    return std::max(connections_least, static_cast<std::size_t>(std::min(by_memory, by_sockets)));
}

} // namespace

machine_shares divide_machine(const machine_limits& machine)
{
    const std::int64_t memory = machine.memory_bytes;
    const std::int64_t sockets = std::max(machine.descriptors - descriptors_for_files, machine.descriptors / 2);
    machine_shares shares;
    shares.callers.connections =
        count_connections(memory / callers_connections_part / connection_bytes, sockets / callers_sockets_part);
    shares.callers.body_bytes = memory / callers_bodies_part;
    shares.callers.socket_buffer_bytes = connection_buffer_bytes;
    shares.peers.connections =
        count_connections(memory / peers_connections_part / connection_buffer_bytes, sockets / peers_sockets_part);
    shares.peers.body_bytes = memory / peers_bodies_part;
    shares.probes = {probe_connections, probe_body_bytes, connection_buffer_bytes};
    shares.waiting_bytes = memory / waiting_part;
    shares.job_bytes = memory / jobs_part;
    shares.remembered_jobs = static_cast<std::size_t>(memory / remembered_part / remembered_job_bytes);
    return shares;
}

} // namespace skylarkhub
