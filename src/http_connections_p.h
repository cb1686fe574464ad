// Numbers the connections of an HTTP client, so that a call can be kept from those opened after a given one.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "connection_number_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::detail {

// The two ends of a TCP connection over IPv4, of which the client's address is always the same.
struct connection_ends {
    std::uint32_t remote_ip = 0;
    std::uint16_t remote_port = 0;
    std::uint16_t local_port = 0;

    std::uint64_t key() const
    {
        return (std::uint64_t{remote_ip} << 32) | (std::uint64_t{remote_port} << 16) | local_port;
    }
};

// Used by the client's thread only.
class http_connections {
public:
    // Notes that a socket was created for a new connection.
    void add(int socket);
    // Notes that the connection of the socket has been established, and numbers it. Not before: a process that is
    // replaced while the connection is under way never accepts it.
    void establish(int socket, const connection_ends& ends);
    void remove(int socket);
    // The number of an established connection; 0: not known.
    connection_number number_of(const connection_ends& ends) const;

private:
    struct open_connection {
        connection_number number;
        std::uint64_t ends = 0; // key(); 0: not established yet
    };
    connection_number newest_;
    std::unordered_map<int, open_connection> by_socket_;
    std::unordered_map<std::uint64_t, connection_number> by_ends_;
};

} // namespace skylarkhub::detail
