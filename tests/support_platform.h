// The table's traffic of several entries against one stand-in table, in virtual time and with a fault for each call.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform_state_p.h"
#include "platform_table_p.h"

namespace skylarkhub::tests {

// What happens to one call. Lost: the connection breaks. Late: no answer until the timeout. A call without a fault may
// be late too, and is then a slow one.
struct table_fault {
    enum class kind : std::uint8_t { none, refused, lost_before_effect, lost_after_effect, late_effect };
    kind what = kind::none;
    duration late{0}; // of the effect, after the call arrived
};

class virtual_table {
public:
    using fault_source = std::function<table_fault(bool is_commit)>;

    virtual_table(int entries, const platform_client::options& o, std::uint64_t seed);

    void commit(int entry, table_traffic traffic, table_transaction t, std::function<void(table_result)> done);
    void commit_settled(int entry, table_traffic traffic, table_transaction t, duration deadline,
                        std::function<void(table_result)> done);
    void read(int entry, table_traffic traffic, const std::string& key,
              std::function<void(std::optional<table_row>)> done);
    void scan(int entry, table_traffic traffic, const std::string& prefix, std::function<void(table_scan_result)> done);

    void at(instant due, std::function<void()> work) { queue_.emplace(due, std::move(work)); }
    void run_until(instant end);
    void run_for(duration time) { run_until(now_ + time); }

    instant now() const { return now_; }
    platform_client::stats stats(int entry) { return entries_[entry]->table.stats(now_); }
    // How often transactions of this operation took effect.
    int effects(const std::string& operation) const;

    standin::platform_state state{duration::zero()};
    fault_source fault = [](bool) { return table_fault{}; };

private:
    struct one_entry {
        one_entry(const platform_client::options& o, std::uint64_t seed) : table(o, seed) {}
        platform_table table;
        std::optional<instant> wake;
        std::map<table_ask, std::function<void(table_result)>> commits;
        std::map<table_ask, std::function<void(std::optional<table_row>)>> reads;
        std::map<table_ask, std::function<void(table_scan_result)>> scans;
    };

    void decide(int entry, const table_event& event);
    void carry_out(int entry, const send_table_commit& a);
    void carry_out(int entry, const send_table_read& a);
    void carry_out(int entry, const send_table_page& a);
    void carry_out(int entry, const finish_table_commit& a);
    void carry_out(int entry, const finish_table_read& a);
    void carry_out(int entry, const finish_table_scan& a);
    table_result take_effect(const table_transaction& transaction);

    instant now_{std::chrono::hours(1)};
    std::multimap<instant, std::function<void()>> queue_;
    std::vector<std::unique_ptr<one_entry>> entries_;
    table_ask last_ask_;
    std::map<std::string, int> effects_;
};

} // namespace skylarkhub::tests
