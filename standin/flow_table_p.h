// Stand-in for the table of the users' platform: rows in tables and parts, checked transactions, a feed of changes.
// Each entry has a door of its own, so that the table can treat entries differently.
#pragma once

#include <absl/synchronization/mutex.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "base_random_p.h"
#include "http_server_p.h"
#include "platform_timer_p.h"

namespace skylarkhub::standin {

inline constexpr std::size_t row_bytes_most = 65'536; // of the value of one row

// What the table does to the calls of one entry.
struct table_faults {
    bool refuses = false;  // 503, or 429, or the connection ends; nothing is done
    bool mute = false;     // nothing is done and no answer comes
    duration delay{0};     // before a call is carried out
    double lose_share = 0; // of commits: carried out, the answer is lost
    double late_share = 0; // of commits: no answer, carried out seconds later
};

class flow_table {
public:
    explicit flow_table(std::uint64_t seed) : random_(make_random(seed)) {}
    ~flow_table();

    // Its number; throws std::runtime_error when the address cannot be bound.
    int open_door(const net_address& address);
    void set_faults(int number, const table_faults& faults);

    // What the platform itself writes: the operator's configuration, the list of workers.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    // Readers of changes that stand at an earlier version than the newest are told to start anew.
    void forget_history();

private:
    using row_key = std::tuple<std::string, std::string, std::string>; // table, part, key
    struct row {
        std::string value; // base64, as it came
        std::int64_t version = 0;
        bool removed = false; // stays as a mark, so that readers of changes hear of it
    };
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
    http_response commit(const std::string& body);
    http_response read(const http_fields& query) const;
    http_response list_parts(const http_fields& query) const;
    std::optional<http_response> changes(const http_fields& query); // empty while there are none
    // `more`: whether further rows follow, which only reads say.
    http_response make_page(const nlohmann::json& rows, std::int64_t version, std::optional<bool> more = {}) const;
    std::int64_t next_version();
    void drop_old_history();
    const row* find(const row_key& key) const;
    void write(const row_key& key, row written);

    absl::Mutex mutex_;
    random_source random_ ABSL_GUARDED_BY(mutex_);
    std::map<row_key, row> rows_ ABSL_GUARDED_BY(mutex_);
    std::set<std::pair<std::int64_t, row_key>> by_version_ ABSL_GUARDED_BY(mutex_);
    std::int64_t version_ ABSL_GUARDED_BY(mutex_) = 0;
    std::deque<std::pair<instant, std::int64_t>> recent_versions_ ABSL_GUARDED_BY(mutex_); // that the feed still shows
    std::int64_t history_from_ ABSL_GUARDED_BY(mutex_) = 0;
    std::vector<door> doors_ ABSL_GUARDED_BY(mutex_);
    std::vector<waiting_feed> feeds_ ABSL_GUARDED_BY(mutex_);
    platform_timer timer_; // last: what it still runs uses the rest
};

} // namespace skylarkhub::standin
