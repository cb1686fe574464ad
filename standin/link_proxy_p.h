// TCP links on loopback that can be harmed: each listens at one address and leads to another.
#pragma once

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <deque>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::standin {

struct link_faults {
    duration delay{0};           // each way
    bool to_server_held = false; // bytes wait until the fault is over
    bool to_client_held = false;
    bool refuses = false; // new connections are reset
};

class link_proxy {
public:
    link_proxy();
    ~link_proxy();
    link_proxy(const link_proxy&) = delete;
    link_proxy& operator=(const link_proxy&) = delete;

    // Its number; throws std::runtime_error when the address cannot be bound.
    int add(const net_address& listens, const net_address& leads_to);
    void set_faults(int number, const link_faults& faults);
    // Resets the connections that are open.
    void reset(int number);
    // The connections that are open carry nothing any more, and nobody is told.
    void silence(int number);

private:
    // One way of a connection; it ends once its sender has closed and everything was passed on.
    struct way {
        int from = -1;
        int to = -1;
        std::deque<std::pair<instant, std::string>> waiting; // with when each part is due
        bool closed = false;
        bool over = false;
    };
    struct connection {
        int link = 0;
        way up;   // to the server
        way down; // to the client
        bool silent = false;
        bool broken = false;
    };
    struct link {
        int listener = -1;
        net_address leads_to;
        link_faults faults;
    };

    void run();
    void accept_on(int number);
    static void read_from(way& w, duration delay);
    static void write_to(connection& c, way& w, bool held);
    bool step(connection& c) const;
    static void close_both(const connection& c);

    absl::Mutex mutex_;
    std::vector<link> links_ ABSL_GUARDED_BY(mutex_);
    std::list<connection> connections_ ABSL_GUARDED_BY(mutex_);
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace skylarkhub::standin
