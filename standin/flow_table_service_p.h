// The users' table on sockets: one door for each entry, so that the table can treat entries differently.
#pragma once

#include <absl/synchronization/mutex.h>

#include <memory>
#include <string>
#include <vector>

#include "base_random_p.h"
#include "flow_table_p.h"
#include "http_server_p.h"
#include "platform_timer_p.h"

namespace skylarkhub::standin {

// What the table does to the calls of one entry.
struct table_faults {
    bool refuses = false;  // 503, or 429, or the connection ends; nothing is done
    bool mute = false;     // nothing is done and no answer comes
    duration delay{0};     // before a call is carried out
    double lose_share = 0; // of commits: carried out, the answer is lost
    double late_share = 0; // of commits: no answer, carried out seconds later
};

class flow_table_service {
public:
    explicit flow_table_service(std::uint64_t seed);
    ~flow_table_service();

    // Its number; throws std::runtime_error when the address cannot be bound.
    int open_door(const net_address& address);
    void set_faults(int number, const table_faults& faults);

    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    void forget_history();

private:
    struct waiting_feed {
        http_request request;
        http_reply reply;
        instant until;
    };
    struct door {
        std::unique_ptr<http_server> server;
        table_faults faults;
    };
    void serve(int at, const http_request& request, const http_reply& reply);
    void carry_out(const http_request& request, const http_reply& reply, bool answered);
    void answer_feeds();
    void look() ABSL_LOCKS_EXCLUDED(mutex_);

    absl::Mutex mutex_;
    random_source random_ ABSL_GUARDED_BY(mutex_);
    flow_table table_ ABSL_GUARDED_BY(mutex_);
    std::vector<door> doors_ ABSL_GUARDED_BY(mutex_);
    std::vector<waiting_feed> feeds_ ABSL_GUARDED_BY(mutex_);
    platform_timer timer_; // last: what it still runs uses the rest
};

} // namespace skylarkhub::standin
