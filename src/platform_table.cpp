#include "platform_table_p.h"

#include <algorithm>

#include "config.h"

namespace skylarkhub {

namespace {

// Of the time left, what one try of a settled commit may take: a lost answer leaves the rest to settle it.
constexpr int try_part = 2;
constexpr duration timeout_least = std::chrono::milliseconds(50);

// Of its deadline, what a commit may expect to wait in line for the budget; beyond that it is refused at once.
constexpr int line_part = 2;
// The least wait in line, where the budget gives no longer one.
constexpr duration line_step = std::chrono::milliseconds(25);

constexpr const char* stopping_reason = "the client is stopping";

double rate_or(double rate, double otherwise)
{
    return rate > 0 ? rate : otherwise;
}

bool answered(const table_result& result)
{
    return result.outcome == table_outcome::applied || result.outcome == table_outcome::conflict;
}

} // namespace

platform_table::platform_table(const platform_client::options& o, std::uint64_t seed)
    : timeout_(o.timeout),
      writes_per_second_(rate_or(o.writes_per_second, config::table_writes_per_second)),
      random_(seed),
      writes_(writes_per_second_, config::table_burst),
      reads_(rate_or(o.reads_per_second, config::table_reads_per_second), config::table_burst)
{}

void platform_table::decide(instant now, const table_event& event, std::vector<table_action>& actions)
{
    std::visit([&](const auto& e) { take(now, e, actions); }, event);
}

std::optional<instant> platform_table::next_wake() const
{
    std::optional<instant> wake;
    const auto earlier = [&](instant at) { wake = wake ? std::min(*wake, at) : at; };
    for (const auto& [ask, s] : settles_) {
        earlier(s.calling ? s.machine.deadline() : s.wake);
    }
    for (const auto& [ask, s] : scans_) {
        if (!s.calling) {
            earlier(s.wake);
        }
    }
    return wake;
}

platform_table::admission platform_table::admit(instant now, table_traffic traffic, table_budget& budget)
{
    if (stopping_) {
        return {verdict::stopping};
    }
    if (!breaker_.admits(now, traffic)) {
        return {verdict::table_down, breaker_.wait(now, traffic)};
    }
    if (traffic != table_traffic::ownership && in_flight_ >= config::table_calls_in_flight_most) {
        return {verdict::too_many_calls};
    }
    if (!budget.admits(now, traffic)) {
        return {verdict::budget_spent, budget.wait(now, traffic)};
    }
    return {};
}

std::string platform_table::describe(verdict v)
{
    switch (v) {
    case verdict::admitted:
        break;
    case verdict::table_down:
        return "the table is down";
    case verdict::too_many_calls:
        return "too many calls to the table are under way";
    case verdict::budget_spent:
        return "the budget of the table is spent";
    case verdict::stopping:
        return stopping_reason;
    }
    return {};
}

void platform_table::count_refusal(const admission& a)
{
    ++(a.what == verdict::table_down ? stats_.refused_by_breaker : stats_.refused_by_budget);
}

table_call platform_table::start_call(instant now, const calling& c)
{
    breaker_.started(now, c.traffic, random_);
    if (c.traffic != table_traffic::ownership) {
        ++in_flight_;
    }
    last_call_ = last_call_.next();
    calls_.emplace(last_call_, c);
    return last_call_;
}

table_call platform_table::start_commit(instant now, table_ask ask, table_traffic traffic, call_use use,
                                        std::size_t rows)
{
    writes_.spend(now, traffic, std::max<double>(1, static_cast<double>(rows)));
    ++stats_.commits;
    return start_call(now, {ask, traffic, use, static_cast<std::int64_t>(rows)});
}

table_call platform_table::start_read(instant now, table_ask ask, table_traffic traffic, call_use use)
{
    reads_.spend(now, traffic, 1);
    ++stats_.reads;
    return start_call(now, {.ask = ask, .traffic = traffic, .use = use});
}

std::optional<platform_table::calling> platform_table::end_call(instant now, table_call call, bool good)
{
    auto found = calls_.extract(call);
    if (found.empty()) {
        return std::nullopt;
    }
    if (found.mapped().traffic != table_traffic::ownership) {
        --in_flight_;
    }
    if (!good) {
        breaker_.failed(now, random_);
    }
    else if (breaker_.succeeded()) {
        writes_.drain(now);
        reads_.drain(now);
    }
    return found.mapped();
}

void platform_table::take(instant now, const table_commit_asked& e, std::vector<table_action>& actions)
{
    const admission a = admit(now, e.traffic, writes_);
    if (a.what != verdict::admitted) {
        count_refusal(a);
        actions.emplace_back(
            finish_table_commit{e.ask, {e.transaction.operation, table_outcome::refused, {}, describe(a.what)}});
        return;
    }
    commits_.emplace(e.ask, committing{.transaction = e.transaction});
    const table_call call = start_commit(now, e.ask, e.traffic, call_use::single_commit, e.transaction.writes.size());
    actions.emplace_back(send_table_commit{call, wrap_transaction(e.transaction), timeout_});
}

void platform_table::take(instant now, const table_settle_asked& e, std::vector<table_action>& actions)
{
    std::string reason = check_settleable(e.transaction);
    if (reason.empty() && settles_.size() >= static_cast<std::size_t>(config::table_settling_most)) {
        ++stats_.refused_by_budget;
        reason = "too many commits wait for their outcome";
    }
    if (!reason.empty()) {
        actions.emplace_back(finish_table_commit{e.ask, {e.transaction.operation, table_outcome::refused, {}, reason}});
        return;
    }
    settles_.emplace(e.ask, settling{e.traffic, settlement(e.transaction, now, e.deadline), false, now});
    drive_settling(now, e.ask, actions);
}

void platform_table::take(instant now, const table_read_asked& e, std::vector<table_action>& actions)
{
    const admission a = admit(now, e.traffic, reads_);
    if (a.what != verdict::admitted) {
        count_refusal(a);
        actions.emplace_back(finish_table_read{e.ask, std::nullopt});
        return;
    }
    actions.emplace_back(send_table_read{start_read(now, e.ask, e.traffic, call_use::single_read), e.key, timeout_});
}

void platform_table::take(instant now, const table_scan_asked& e, std::vector<table_action>& actions)
{
    const admission a = admit(now, e.traffic, reads_);
    if (a.what != verdict::admitted) {
        count_refusal(a);
        actions.emplace_back(finish_table_scan{e.ask, {.prefix = e.prefix, .reason = describe(a.what)}});
        return;
    }
    scanning s{.traffic = e.traffic, .so_far = {.prefix = e.prefix}, .give_up = now + config::table_scan_most};
    scans_.emplace(e.ask, std::move(s));
    drive_scan(now, e.ask, actions);
}

void platform_table::take(instant now, const table_commit_answered& e, std::vector<table_action>& actions)
{
    const auto c = end_call(now, e.call, answered(e.result));
    if (!c) {
        return;
    }
    stats_.rows_written += e.result.outcome == table_outcome::applied ? c->rows : 0;
    stats_.unknown += e.result.outcome == table_outcome::unknown ? 1 : 0;
    const auto found = settles_.find(c->ask);
    if (found == settles_.end()) {
        finish_single(now, *c, e.result, actions);
        return;
    }
    found->second.calling = false;
    found->second.machine.committed(now, e.result, random_);
    drive_settling(now, c->ask, actions);
}

void platform_table::finish_single(instant now, const calling& c, const table_result& answer,
                                   std::vector<table_action>& actions)
{
    const auto found = commits_.find(c.ask);
    if (found == commits_.end()) {
        return;
    }
    committing& single = found->second;
    // The place of an absent row is held: absent is what the caller asked for, so the commit goes again at the version
    // of the place. The copy just answered had no effect.
    const bool again =
        answer.outcome == table_outcome::conflict && !single.lifted && lift_checks(single.transaction, answer.rows);
    if (again) {
        single.lifted = true;
        const table_call call = start_commit(now, c.ask, c.traffic, c.use, single.transaction.writes.size());
        actions.emplace_back(send_table_commit{call, wrap_transaction(single.transaction), timeout_});
        return;
    }
    table_result result = answer;
    result.rows = unwrap_rows(std::move(result.rows));
    actions.emplace_back(finish_table_commit{c.ask, std::move(result)});
    commits_.erase(found);
}

void platform_table::take(instant now, const table_read_answered& e, std::vector<table_action>& actions)
{
    const auto c = end_call(now, e.call, e.row.has_value());
    if (!c) {
        return;
    }
    const auto found = settles_.find(c->ask);
    if (found != settles_.end()) {
        found->second.calling = false;
        found->second.machine.read(now, e.row, random_);
        drive_settling(now, c->ask, actions);
        return;
    }
    if (c->use != call_use::single_read) {
        return; // for a settled commit that has ended meanwhile
    }
    actions.emplace_back(
        finish_table_read{c->ask, e.row ? std::optional<table_row>(unwrap_row(*e.row)) : std::nullopt});
}

void platform_table::take(instant now, const table_page_answered& e, std::vector<table_action>& actions)
{
    const auto c = end_call(now, e.call, e.page.has_value());
    if (!c) {
        return;
    }
    const auto found = scans_.find(c->ask);
    if (found == scans_.end()) {
        return;
    }
    scanning& s = found->second;
    s.calling = false;
    if (!e.page || (e.page->more && e.page->rows.empty())) {
        end_scan(c->ask, e.reason.empty() ? "a page without rows promised more" : e.reason, actions);
        return;
    }
    for (const table_row& stored : e.page->rows) {
        table_row row = unwrap_row(stored);
        s.after = row.key;
        if (row.value) {
            s.so_far.rows.push_back(std::move(row));
        }
    }
    if (e.page->more) {
        drive_scan(now, c->ask, actions);
        return;
    }
    s.so_far.complete = true;
    end_scan(c->ask, "", actions);
}

void platform_table::take(instant now, const table_tick& e, std::vector<table_action>& actions)
{
    static_cast<void>(e);
    std::vector<table_ask> due;
    for (const auto& [ask, s] : settles_) {
        if (now >= (s.calling ? s.machine.deadline() : s.wake)) {
            due.push_back(ask);
        }
    }
    for (const table_ask ask : due) {
        drive_settling(now, ask, actions);
    }
    due.clear();
    for (const auto& [ask, s] : scans_) {
        if (!s.calling && now >= s.wake) {
            due.push_back(ask);
        }
    }
    for (const table_ask ask : due) {
        drive_scan(now, ask, actions);
    }
}

void platform_table::drive_settling(instant now, table_ask ask, std::vector<table_action>& actions)
{
    settling& s = settles_.at(ask);
    while (step_settling(now, ask, s, actions)) {
    }
    const settle_step step = s.machine.next(now);
    if (const auto* done = std::get_if<settle_done>(&step)) {
        stats_.settled_by_reading += s.machine.read_back() ? 1 : 0;
        stats_.barred += s.machine.barred() ? 1 : 0;
        actions.emplace_back(finish_table_commit{ask, done->result});
        settles_.erase(ask);
    }
}

bool platform_table::step_settling(instant now, table_ask ask, settling& s, std::vector<table_action>& actions)
{
    const settle_step step = s.machine.next(now);
    if (std::holds_alternative<settle_done>(step) || s.calling) {
        return false;
    }
    if (const auto* wait = std::get_if<settle_wait>(&step)) {
        s.wake = wait->until;
        return false;
    }
    const auto* commit = std::get_if<settle_commit>(&step);
    admission a = admit(now, s.traffic, commit != nullptr ? writes_ : reads_);
    if (a.what == verdict::admitted && commit != nullptr && must_line_up(ask, s)) {
        a = {verdict::budget_spent};
    }
    if (a.what != verdict::admitted) {
        hold_settling(now, s, a, commit != nullptr ? static_cast<double>(commit->transaction.writes.size()) : 0);
        return true;
    }
    s.in_line = 0;
    send_step(now, ask, s, step, actions);
    return false;
}

void platform_table::send_step(instant now, table_ask ask, settling& s, const settle_step& step,
                               std::vector<table_action>& actions)
{
    const duration part = (s.machine.deadline() - now) / try_part;
    const duration timeout = std::min(timeout_, std::max(timeout_least, part));
    s.machine.started();
    s.calling = true;
    if (const auto* commit = std::get_if<settle_commit>(&step)) {
        const table_call call =
            start_commit(now, ask, s.traffic, call_use::settling, commit->transaction.writes.size());
        actions.emplace_back(send_table_commit{call, commit->transaction, timeout});
    }
    else if (const auto* read = std::get_if<settle_read>(&step)) {
        actions.emplace_back(send_table_read{start_read(now, ask, s.traffic, call_use::settling), read->key, timeout});
    }
}

// Commits that wait for the budget go in the order they were asked for, or the newest would go first and the oldest
// only when their deadline is near.
bool platform_table::must_line_up(table_ask ask, const settling& s) const
{
    return std::any_of(settles_.begin(), settles_.lower_bound(ask), [&](const auto& earlier) {
        return earlier.second.in_line > 0 && earlier.second.traffic == s.traffic;
    });
}

// How long the budget takes to write all that waits in line.
duration platform_table::line_wait() const
{
    double rows = 0;
    for (const auto& [ask, s] : settles_) {
        rows += s.in_line;
    }
    return duration(static_cast<std::int64_t>(rows / writes_per_second_ * 1e6));
}

// What cannot go in time is answered at once, so that the caller can come back later instead of waiting for nothing;
// a commit whose copy may be pending has to wait, for its outcome is not known.
void platform_table::hold_settling(instant now, settling& s, const admission& a, double rows)
{
    const bool in_line = a.what == verdict::budget_spent && rows > 0;
    const bool joins = in_line && s.in_line == 0;
    const duration wait = joins ? a.wait + line_wait() : a.wait;
    const duration left = s.machine.deadline() - now;
    const bool hopeless = a.what == verdict::table_down || a.what == verdict::stopping;
    if (!s.machine.copy_pending() && (hopeless || wait >= (joins ? left / line_part : left))) {
        count_refusal(a);
        s.machine.give_up(describe(a.what));
        return;
    }
    s.in_line = in_line ? rows : 0;
    table_backoff spread;
    s.machine.held(now + (in_line ? std::max(a.wait, line_step) : a.wait + spread.next(random_)));
}

void platform_table::drive_scan(instant now, table_ask ask, std::vector<table_action>& actions)
{
    scanning& s = scans_.at(ask);
    const admission a = admit(now, s.traffic, reads_);
    if (a.what == verdict::admitted) {
        s.calling = true;
        const table_call call = start_read(now, ask, s.traffic, call_use::page);
        actions.emplace_back(send_table_page{call, s.so_far.prefix, s.after, timeout_});
        return;
    }
    if (a.what == verdict::table_down || now + a.wait >= s.give_up) {
        count_refusal(a);
        end_scan(ask, describe(a.what), actions);
        return;
    }
    table_backoff spread;
    s.wake = now + a.wait + spread.next(random_);
}

void platform_table::end_scan(table_ask ask, std::string reason, std::vector<table_action>& actions)
{
    auto found = scans_.extract(ask);
    table_scan_result result = std::move(found.mapped().so_far);
    result.reason = std::move(reason);
    actions.emplace_back(finish_table_scan{ask, std::move(result)});
}

void platform_table::abandon(std::vector<table_action>& actions)
{
    stopping_ = true;
    for (auto& [ask, s] : settles_) {
        const auto outcome = s.machine.copy_pending() ? table_outcome::unknown : table_outcome::refused;
        actions.emplace_back(finish_table_commit{ask, {.outcome = outcome, .reason = stopping_reason}});
    }
    for (auto& [ask, single] : commits_) {
        actions.emplace_back(
            finish_table_commit{ask, {single.transaction.operation, table_outcome::unknown, {}, stopping_reason}});
    }
    for (auto& [call, c] : calls_) {
        if (c.use == call_use::single_read) {
            actions.emplace_back(finish_table_read{c.ask, std::nullopt});
        }
    }
    for (auto& [ask, s] : scans_) {
        actions.emplace_back(finish_table_scan{ask, {.prefix = s.so_far.prefix, .reason = stopping_reason}});
    }
    settles_.clear();
    commits_.clear();
    calls_.clear();
    scans_.clear();
}

platform_client::stats platform_table::stats(instant now)
{
    platform_client::stats s = stats_;
    s.breaker_open = breaker_.open();
    s.retry_after =
        std::max(breaker_.wait(now, table_traffic::work), writes_.wait(now, table_traffic::work) + line_wait());
    return s;
}

} // namespace skylarkhub
