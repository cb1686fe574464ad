#include "support_platform.h"

#include "config.h"

namespace skylarkhub::tests {

namespace {

constexpr duration one_way = std::chrono::milliseconds(1);
using fault_kind = table_fault::kind;

} // namespace

virtual_table::virtual_table(int entries, const platform_client::options& o, std::uint64_t seed)
{
    for (int i = 0; i < entries; ++i) {
        entries_.push_back(std::make_unique<one_entry>(o, seed + static_cast<std::uint64_t>(i)));
    }
}

void virtual_table::commit(int entry, table_traffic traffic, table_transaction t,
                           std::function<void(table_result)> done)
{
    last_ask_ = last_ask_.next();
    entries_[entry]->commits[last_ask_] = std::move(done);
    decide(entry, table_commit_asked{last_ask_, traffic, std::move(t)});
}

void virtual_table::commit_settled(int entry, table_traffic traffic, table_transaction t, duration deadline,
                                   std::function<void(table_result)> done)
{
    last_ask_ = last_ask_.next();
    entries_[entry]->commits[last_ask_] = std::move(done);
    decide(entry, table_settle_asked{last_ask_, traffic, std::move(t), deadline});
}

void virtual_table::read(int entry, table_traffic traffic, const std::string& key,
                         std::function<void(std::optional<table_row>)> done)
{
    last_ask_ = last_ask_.next();
    entries_[entry]->reads[last_ask_] = std::move(done);
    decide(entry, table_read_asked{last_ask_, traffic, key});
}

void virtual_table::scan(int entry, table_traffic traffic, const std::string& prefix,
                         std::function<void(table_scan_result)> done)
{
    last_ask_ = last_ask_.next();
    entries_[entry]->scans[last_ask_] = std::move(done);
    decide(entry, table_scan_asked{last_ask_, traffic, prefix});
}

void virtual_table::run_until(instant end)
{
    while (!queue_.empty() && queue_.begin()->first <= end) {
        auto next = queue_.extract(queue_.begin());
        now_ = std::max(now_, next.key());
        next.mapped()();
    }
    now_ = end;
}

int virtual_table::effects(const std::string& operation) const
{
    const auto found = effects_.find(operation);
    return found == effects_.end() ? 0 : found->second;
}

void virtual_table::decide(int entry, const table_event& event)
{
    std::vector<table_action> actions;
    entries_[entry]->table.decide(now_, event, actions);
    for (const table_action& action : actions) {
        std::visit([&](const auto& a) { carry_out(entry, a); }, action);
    }
    const auto wake = entries_[entry]->table.next_wake();
    if (wake && (!entries_[entry]->wake || *wake < *entries_[entry]->wake)) {
        entries_[entry]->wake = wake;
        at(std::max(now_, *wake), [this, entry] {
            entries_[entry]->wake.reset();
            decide(entry, table_tick{});
        });
    }
}

table_result virtual_table::take_effect(const table_transaction& transaction)
{
    const standin::commit_effect effect = state.commit(now_, transaction);
    table_result result{.operation = transaction.operation, .rows = effect.rows};
    switch (effect.status) {
    case standin::commit_status::applied:
        ++effects_[transaction.operation.str()];
        result.outcome = table_outcome::applied;
        break;
    case standin::commit_status::conflict:
        result.outcome = table_outcome::conflict;
        break;
    case standin::commit_status::down:
        result.outcome = table_outcome::refused;
        break;
    case standin::commit_status::lost:
        break;
    }
    return result;
}

void virtual_table::carry_out(int entry, const send_table_commit& a)
{
    table_fault f = fault(true);
    if (f.what == fault_kind::none && f.late + 2 * one_way > a.timeout) {
        f.what = fault_kind::late_effect;
    }
    const auto answer = [this, entry, call = a.call](const table_result& r) {
        decide(entry, table_commit_answered{call, r});
    };
    const table_result unknown{.operation = a.transaction.operation};
    if (f.what == fault_kind::refused) {
        at(now_ + one_way, [=] { answer({unknown.operation, table_outcome::refused, {}, "refused"}); });
        return;
    }
    if (f.what != fault_kind::none) {
        const duration heard_after = f.what == fault_kind::late_effect ? a.timeout : 2 * one_way;
        at(now_ + heard_after, [=] { answer(unknown); });
    }
    if (f.what == fault_kind::lost_before_effect) {
        return;
    }
    const bool heard = f.what == fault_kind::none;
    at(now_ + one_way + f.late, [=, this, t = a.transaction] {
        const table_result r = take_effect(t);
        if (heard) {
            at(now_ + one_way, [=] { answer(r); });
        }
    });
}

void virtual_table::carry_out(int entry, const send_table_read& a)
{
    const table_fault f = fault(false);
    const bool heard = f.what == fault_kind::none && f.late + 2 * one_way <= a.timeout;
    if (!heard) {
        const bool hangs = f.what == fault_kind::none || f.what == fault_kind::late_effect;
        at(now_ + (hangs ? a.timeout : 2 * one_way), [=, this] {
            decide(entry, table_read_answered{a.call, std::nullopt});
        });
        return;
    }
    at(now_ + one_way + f.late, [=, this] {
        const auto row = state.read(now_, a.key);
        at(now_ + one_way, [=, this] { decide(entry, table_read_answered{a.call, row}); });
    });
}

void virtual_table::carry_out(int entry, const send_table_page& a)
{
    at(now_ + one_way, [=, this] {
        const auto page = state.scan(now_, a.prefix, a.after, config::table_page_rows);
        at(now_ + one_way, [=, this] { decide(entry, table_page_answered{a.call, page, page ? "" : "down"}); });
    });
}

void virtual_table::carry_out(int entry, const finish_table_commit& a)
{
    auto done = entries_[entry]->commits.extract(a.ask);
    done.mapped()(a.result);
}

void virtual_table::carry_out(int entry, const finish_table_read& a)
{
    auto done = entries_[entry]->reads.extract(a.ask);
    done.mapped()(a.row);
}

void virtual_table::carry_out(int entry, const finish_table_scan& a)
{
    auto done = entries_[entry]->scans.extract(a.ask);
    done.mapped()(a.result);
}

} // namespace skylarkhub::tests
