// What the stand-in for the platform holds: table, object store, lagging instance list, switches and counters. Pure:
// time is passed in, so tests drive it with a virtual clock.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "platform_wire_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::standin {

// Faults to bring about; fields left empty stay as they are.
struct platform_switches {
    std::optional<bool> table_down;
    std::optional<std::int64_t> table_delay_ms; // a call takes effect and is answered this much later
    std::optional<std::int64_t> lose_answers;   // the next N commits take effect unanswered
    std::optional<std::int64_t> delay_commits_ms;
    std::optional<std::int64_t> list_lag_ms;
    std::optional<bool> list_frozen;
};
std::optional<platform_switches> parse_switches(const std::string& json, std::string* last_reason);

struct platform_counters {
    std::int64_t table_calls = 0; // all that reached the table, refused ones included
    std::int64_t reads = 0;       // rows and pages read
    std::int64_t writes = 0;      // rows written or removed
    std::int64_t transactions = 0;
    std::int64_t bytes_in = 0;
    std::int64_t bytes_out = 0;
};
std::string format_counters(const platform_counters& counters);

enum class commit_status : std::uint8_t { applied, conflict, down, lost };

struct commit_effect {
    commit_status status = commit_status::down; // lost: close the connection unanswered
    std::vector<table_row> rows;                // applied: key and new version; conflict: rows of the failed checks
};

class platform_state {
public:
    explicit platform_state(duration list_lag);

    void change_switches(instant now, const platform_switches& switches);
    duration table_delay() const { return table_delay_; }

    // Takes the effects that are due by `now`. Every other call does so first.
    void advance(instant now);

    commit_effect commit(instant now, const table_transaction& transaction);
    // Empty while the table is down; an absent row has no value and version 0.
    std::optional<table_row> read(instant now, const std::string& key);
    std::optional<table_page> scan(instant now, const std::string& prefix, const std::string& after, std::size_t limit);

    void put_object(const std::string& key, std::string bytes);
    std::optional<std::string> get_object(const std::string& key) const;
    void remove_object(const std::string& key);
    std::vector<std::string> list_objects(const std::string& prefix) const;

    void register_instance(instant now, const listed_instance& instance);
    void unregister_instance(instant now, const std::string& id);
    std::vector<listed_instance> list_instances(instant now); // as old as the lag, sorted by id

    platform_counters& counters() { return counters_; }

private:
    struct delayed_commit {
        instant due;
        table_transaction transaction;
    };
    // What was registered under one id, oldest first; empty from when it left.
    struct registration {
        instant renewed{};
        std::deque<std::pair<instant, std::optional<listed_instance>>> history;
    };

    commit_effect apply(const table_transaction& transaction);
    table_row current(const std::string& key) const;
    void drop_silent(instant now);

    std::map<std::string, table_row> rows_;
    std::int64_t last_version_ = 0; // of the whole table, so that a key written again after its removal rises too
    std::vector<delayed_commit> delayed_;
    bool table_down_ = false;
    duration table_delay_{0};
    std::int64_t lose_answers_ = 0;
    std::optional<duration> delay_next_commit_;

    std::map<std::string, std::string> objects_;

    std::map<std::string, registration> registrations_;
    duration list_lag_;
    std::optional<instant> list_frozen_at_;

    platform_counters counters_;
};

} // namespace skylarkhub::standin
