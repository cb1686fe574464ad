// Clients that send whole requests or parts of them on many connections, read nothing and keep the connections open;
// and what the process that they call holds meanwhile.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::tests {

// What each client sends: the head, the piece as often as told, the tail.
struct crowd_plan {
    net_address to;
    int clients = 0;
    std::string head;
    std::string piece;
    int pieces = 0;
    std::string tail;
};

// The most that a process has held so far.
struct process_use {
    std::int64_t memory_mib = 0; // resident
    int sockets = 0;
};

class crowd {
public:
    // Opens the connections; throws std::runtime_error when one cannot be opened.
    explicit crowd(const crowd_plan& plan);
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    // Sends until each client has sent all, or its connection has ended, or none of them gets on any more. The sockets
    // of `watched` are counted all the while.
    void send_all(pid_t watched, process_use& use);

private:
    struct client {
        int socket = -1; // -1: the connection has ended
        int parts_sent = 0;
        std::size_t sent = 0; // of the part that is being sent
    };
    const std::string& part(int number) const;
    bool send_some(client& c);

    crowd_plan plan_;
    std::vector<client> clients_;
};

// The peak of a process's resident memory since it started, and its sockets now.
process_use read_use(pid_t process);

} // namespace skylarkhub::tests
