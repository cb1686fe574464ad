// All of one entry's traffic with the table: which calls may go now, and what becomes of each answer. Pure: the client
// around it sends what it says and tells it what comes back, and tests drive it with a virtual clock.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "platform_backoff_p.h"
#include "platform_breaker_p.h"
#include "platform_budget_p.h"
#include "platform_client_p.h"
#include "platform_settle_p.h"
#include "platform_wire_p.h"

namespace skylarkhub {

using table_ask = detail::counter<struct table_ask_tag>;   // what a caller waits for; named by the client
using table_call = detail::counter<struct table_call_tag>; // one try on the wire; named here

struct table_commit_asked {
    table_ask ask;
    table_traffic traffic;
    table_transaction transaction;
};
struct table_settle_asked {
    table_ask ask;
    table_traffic traffic;
    table_transaction transaction;
    duration deadline;
};
struct table_read_asked {
    table_ask ask;
    table_traffic traffic;
    std::string key;
};
struct table_scan_asked {
    table_ask ask;
    table_traffic traffic;
    std::string prefix;
};
// Answers carry rows as stored.
struct table_commit_answered {
    table_call call;
    table_result result;
};
struct table_read_answered {
    table_call call;
    std::optional<table_row> row; // empty when the read failed
};
struct table_page_answered {
    table_call call;
    std::optional<table_page> page; // empty when the read failed
    std::string reason;
};
struct table_tick {};
using table_event = std::variant<table_commit_asked, table_settle_asked, table_read_asked, table_scan_asked,
                                 table_commit_answered, table_read_answered, table_page_answered, table_tick>;

struct send_table_commit {
    table_call call;
    table_transaction transaction; // as stored
    duration timeout;
};
struct send_table_read {
    table_call call;
    std::string key;
    duration timeout;
};
struct send_table_page {
    table_call call;
    std::string prefix;
    std::string after;
    duration timeout;
};
struct finish_table_commit {
    table_ask ask;
    table_result result;
};
struct finish_table_read {
    table_ask ask;
    std::optional<table_row> row;
};
struct finish_table_scan {
    table_ask ask;
    table_scan_result result;
};
using table_action = std::variant<send_table_commit, send_table_read, send_table_page, finish_table_commit,
                                  finish_table_read, finish_table_scan>;

class platform_table {
public:
    platform_table(const platform_client::options& o, std::uint64_t seed);

    // The only way in: takes one event at `now` and appends what is to be done, in order.
    void decide(instant now, const table_event& event, std::vector<table_action>& actions);

    // When a table_tick is due at the latest; empty when nothing waits.
    std::optional<instant> next_wake() const;

    // Gives every caller still waiting its answer, and those to come a refusal; no call is sent any more.
    void abandon(std::vector<table_action>& actions);

    platform_client::stats stats(instant now);

private:
    struct settling {
        table_traffic traffic;
        settlement machine;
        bool calling = false;
        instant wake{};
        double in_line = 0; // rows it waits to write until the budget admits them, 0 when it does not wait for that
    };
    struct scanning {
        table_traffic traffic;
        table_scan_result so_far;
        std::string after;
        instant give_up{};
        bool calling = false;
        instant wake{};
    };
    struct committing {
        table_transaction transaction; // as asked, but for lifted checks
        bool lifted = false;
    };
    enum class call_use : std::uint8_t { single_commit, single_read, page, settling };
    // One try under way and whom its answer is for.
    struct calling {
        table_ask ask;
        table_traffic traffic;
        call_use use;
        std::int64_t rows = 0; // of a commit
    };
    enum class verdict : std::uint8_t { admitted, table_down, too_many_calls, budget_spent, stopping };
    struct admission {
        verdict what = verdict::admitted;
        duration wait{0}; // until it may be admitted
    };
    static std::string describe(verdict v);

    admission admit(instant now, table_traffic traffic, table_budget& budget);
    table_call start_call(instant now, const calling& c);
    std::optional<calling> end_call(instant now, table_call call, bool good);
    table_call start_commit(instant now, table_ask ask, table_traffic traffic, call_use use, std::size_t rows);
    table_call start_read(instant now, table_ask ask, table_traffic traffic, call_use use);
    void count_refusal(const admission& a);

    void take(instant now, const table_commit_asked& e, std::vector<table_action>& actions);
    void take(instant now, const table_settle_asked& e, std::vector<table_action>& actions);
    void take(instant now, const table_read_asked& e, std::vector<table_action>& actions);
    void take(instant now, const table_scan_asked& e, std::vector<table_action>& actions);
    void take(instant now, const table_commit_answered& e, std::vector<table_action>& actions);
    void take(instant now, const table_read_answered& e, std::vector<table_action>& actions);
    void take(instant now, const table_page_answered& e, std::vector<table_action>& actions);
    void take(instant now, const table_tick& e, std::vector<table_action>& actions);

    void finish_single(instant now, const calling& c, const table_result& answer, std::vector<table_action>& actions);
    void drive_settling(instant now, table_ask ask, std::vector<table_action>& actions);
    // True when the machine has more to say at once.
    bool step_settling(instant now, table_ask ask, settling& s, std::vector<table_action>& actions);
    void send_step(instant now, table_ask ask, settling& s, const settle_step& step,
                   std::vector<table_action>& actions);
    void hold_settling(instant now, settling& s, const admission& a, double rows);
    bool must_line_up(table_ask ask, const settling& s) const;
    duration line_wait() const;
    void drive_scan(instant now, table_ask ask, std::vector<table_action>& actions);
    void end_scan(table_ask ask, std::string reason, std::vector<table_action>& actions);

    duration timeout_;
    double writes_per_second_;
    table_random random_;
    table_budget writes_;
    table_budget reads_;
    table_breaker breaker_;
    table_call last_call_;
    std::int64_t in_flight_ = 0; // without ownership
    absl::flat_hash_map<table_call, calling> calls_;
    absl::flat_hash_map<table_ask, committing> commits_;
    absl::btree_map<table_ask, settling> settles_;
    absl::btree_map<table_ask, scanning> scans_;
    bool stopping_ = false;
    platform_client::stats stats_;
};

} // namespace skylarkhub
