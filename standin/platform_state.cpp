#include "platform_state_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace skylarkhub::standin {

namespace {

using json = nlohmann::json;

constexpr duration silent_after = std::chrono::seconds(3);

duration from_ms(std::int64_t ms)
{
    return std::chrono::milliseconds(ms);
}

bool take_flag(const json& j, const char* name, std::optional<bool>& out)
{
    if (!j.contains(name)) {
        return true;
    }
    if (!j[name].is_boolean()) {
        return false;
    }
    out = j[name].get<bool>();
    return true;
}

bool take_number(const json& j, const char* name, std::optional<std::int64_t>& out)
{
    if (!j.contains(name)) {
        return true;
    }
    if (!j[name].is_number_integer() || j[name].get<std::int64_t>() < 0) {
        return false;
    }
    out = j[name].get<std::int64_t>();
    return true;
}

} // namespace

std::optional<platform_switches> parse_switches(const std::string& text, std::string* last_reason)
{
    const json j = json::parse(text, nullptr, false);
    platform_switches s;
    const bool good = j.is_object() && take_flag(j, "table_down", s.table_down) &&
                      take_number(j, "table_delay_ms", s.table_delay_ms) &&
                      take_number(j, "lose_answers", s.lose_answers) &&
                      take_number(j, "delay_commits_ms", s.delay_commits_ms) &&
                      take_number(j, "list_lag_ms", s.list_lag_ms) && take_flag(j, "list_frozen", s.list_frozen);
    if (!good) {
        *last_reason = "switches are booleans and numbers not below 0";
        return std::nullopt;
    }
    return s;
}

std::string format_counters(const platform_counters& c)
{
    return json{{"table_calls", c.table_calls},   {"reads", c.reads},       {"writes", c.writes},
                {"transactions", c.transactions}, {"bytes_in", c.bytes_in}, {"bytes_out", c.bytes_out}}
        .dump();
}

platform_state::platform_state(duration list_lag) : list_lag_(list_lag) {}

void platform_state::change_switches(instant now, const platform_switches& s)
{
    advance(now);
    table_down_ = s.table_down.value_or(table_down_);
    table_delay_ = s.table_delay_ms ? from_ms(*s.table_delay_ms) : table_delay_;
    lose_answers_ = s.lose_answers.value_or(lose_answers_);
    if (s.delay_commits_ms) {
        delay_next_commit_ = from_ms(*s.delay_commits_ms);
    }
    list_lag_ = s.list_lag_ms ? from_ms(*s.list_lag_ms) : list_lag_;
    if (s.list_frozen && !*s.list_frozen) {
        list_frozen_at_.reset();
    }
    if (s.list_frozen && *s.list_frozen && !list_frozen_at_) {
        drop_silent(now);
        list_frozen_at_ = now;
    }
}

void platform_state::advance(instant now)
{
    std::vector<delayed_commit> due;
    const auto later =
        std::stable_partition(delayed_.begin(), delayed_.end(), [&](const delayed_commit& d) { return d.due <= now; });
    due.assign(std::make_move_iterator(delayed_.begin()), std::make_move_iterator(later));
    delayed_.erase(delayed_.begin(), later);
    std::stable_sort(due.begin(), due.end(),
                     [](const delayed_commit& a, const delayed_commit& b) { return a.due < b.due; });
    for (const delayed_commit& d : due) {
        apply(d.transaction);
    }
}

commit_effect platform_state::commit(instant now, const table_transaction& transaction)
{
    advance(now);
    ++counters_.table_calls;
    if (table_down_) {
        return {commit_status::down, {}};
    }
    if (delay_next_commit_) {
        delayed_.push_back({now + *delay_next_commit_, transaction});
        delay_next_commit_.reset();
        return {commit_status::lost, {}};
    }
    commit_effect effect = apply(transaction);
    if (lose_answers_ > 0) {
        --lose_answers_;
        return {commit_status::lost, {}};
    }
    return effect;
}

commit_effect platform_state::apply(const table_transaction& transaction)
{
    commit_effect effect{commit_status::applied, {}};
    for (const table_check& check : transaction.checks) {
        table_row row = current(check.key);
        if (row.version != check.version) {
            effect.status = commit_status::conflict;
            effect.rows.push_back(std::move(row));
        }
    }
    if (effect.status == commit_status::conflict) {
        return effect;
    }
    ++counters_.transactions;
    counters_.writes += static_cast<std::int64_t>(transaction.writes.size());
    for (const table_write& write : transaction.writes) {
        if (!write.value) {
            rows_.erase(write.key);
            effect.rows.push_back({.key = write.key});
            continue;
        }
        const row_version version(++last_version_);
        rows_[write.key] = {.key = write.key, .value = write.value, .version = version};
        effect.rows.push_back({.key = write.key, .version = version});
    }
    return effect;
}

table_row platform_state::current(const std::string& key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() ? table_row{.key = key} : found->second;
}

std::optional<table_row> platform_state::read(instant now, const std::string& key)
{
    advance(now);
    ++counters_.table_calls;
    if (table_down_) {
        return std::nullopt;
    }
    ++counters_.reads;
    return current(key);
}

std::optional<table_page> platform_state::scan(instant now, const std::string& prefix, const std::string& after,
                                               std::size_t limit)
{
    advance(now);
    ++counters_.table_calls;
    if (table_down_) {
        return std::nullopt;
    }
    ++counters_.reads;
    table_page page;
    auto at = after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    for (; at != rows_.end() && at->first.compare(0, prefix.size(), prefix) == 0; ++at) {
        if (page.rows.size() >= limit) {
            page.more = true;
            break;
        }
        page.rows.push_back(at->second);
    }
    return page;
}

void platform_state::put_object(const std::string& key, std::string bytes)
{
    objects_[key] = std::move(bytes);
}

std::optional<std::string> platform_state::get_object(const std::string& key) const
{
    const auto found = objects_.find(key);
    return found == objects_.end() ? std::nullopt : std::optional<std::string>(found->second);
}

void platform_state::remove_object(const std::string& key)
{
    objects_.erase(key);
}

std::vector<std::string> platform_state::list_objects(const std::string& prefix) const
{
    std::vector<std::string> keys;
    for (auto at = objects_.lower_bound(prefix); at != objects_.end(); ++at) {
        if (at->first.compare(0, prefix.size(), prefix) != 0) {
            break;
        }
        keys.push_back(at->first);
    }
    return keys;
}

void platform_state::register_instance(instant now, const listed_instance& instance)
{
    drop_silent(now);
    registration& r = registrations_[instance.id];
    r.renewed = now;
    const bool same = !r.history.empty() && r.history.back().second &&
                      format_instance(*r.history.back().second) == format_instance(instance);
    if (!same) {
        r.history.emplace_back(now, instance);
    }
}

void platform_state::unregister_instance(instant now, const std::string& id)
{
    drop_silent(now);
    const auto found = registrations_.find(id);
    if (found != registrations_.end() && found->second.history.back().second) {
        found->second.history.emplace_back(now, std::nullopt);
    }
}

void platform_state::drop_silent(instant now)
{
    for (auto& [id, r] : registrations_) {
        if (r.history.back().second && r.renewed + silent_after <= now) {
            r.history.emplace_back(r.renewed + silent_after, std::nullopt);
        }
    }
}

std::vector<listed_instance> platform_state::list_instances(instant now)
{
    drop_silent(now);
    const instant seen = list_frozen_at_.value_or(now) - list_lag_;
    std::vector<listed_instance> list;
    for (auto r = registrations_.begin(); r != registrations_.end();) {
        auto& history = r->second.history;
        while (history.size() > 1 && history[1].first <= seen) {
            history.pop_front();
        }
        if (history.front().first <= seen && history.front().second) {
            list.push_back(*history.front().second);
        }
        const bool gone = history.size() == 1 && history.front().first <= seen && !history.front().second;
        r = gone ? registrations_.erase(r) : std::next(r);
    }
    return list;
}

} // namespace skylarkhub::standin
