// Relays table calls through a peer. The platform may refuse some entries, or be partitioned from them, for ten seconds
// while it serves the others. Without a relay an owner that cannot write would show none of its jobs as done meanwhile,
// and callers at such an entry would be told to retry. Calls are relayed by a peer that the table still answers. The
// version conditions make a relayed write that arrives late or twice as harmless as a direct one.
#include <algorithm>

#include "flow_entry_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

wire::flow_relayed_row to_wire(const store_key& key)
{
    wire::flow_relayed_row row;
    row.table = key.table;
    row.part = key.part;
    row.key = key.key;
    return row;
}

wire::flow_relayed_row to_wire(const store_row& from)
{
    wire::flow_relayed_row row = to_wire(from.key);
    row.version = from.version.value();
    row.value = from.value;
    row.removed = from.removed;
    return row;
}

store_key key_of(const wire::flow_relayed_row& row)
{
    return {row.table, row.part, row.key};
}

store_row from_wire(const wire::flow_relayed_row& row)
{
    return {key_of(row), row.value, row_version(row.version), row.removed};
}

std::vector<wire::flow_relayed_row> wire_rows(const std::vector<store_row>& rows)
{
    std::vector<wire::flow_relayed_row> out;
    out.reserve(rows.size());
    std::transform(rows.begin(), rows.end(), std::back_inserter(out),
                   [](const store_row& row) { return to_wire(row); });
    return out;
}

std::vector<store_row> rows_of(const std::vector<wire::flow_relayed_row>& rows)
{
    std::vector<store_row> out;
    out.reserve(rows.size());
    std::transform(rows.begin(), rows.end(), std::back_inserter(out), [](const auto& row) { return from_wire(row); });
    return out;
}

bool reached(const store_result& result)
{
    return result.outcome == table_outcome::applied || result.outcome == table_outcome::conflict;
}

wire::flow_relayed_commit to_wire(const store_transaction& transaction)
{
    wire::flow_relayed_commit out;
    for (const store_check& check : transaction.checks) {
        out.checks.push_back(to_wire(check.key));
        out.checks.back().version = check.version.value();
    }
    for (const store_put& put : transaction.puts) {
        out.puts.push_back(to_wire(put.key));
        out.puts.back().value = put.value;
    }
    for (const store_key& key : transaction.removes) {
        out.removes.push_back(to_wire(key));
    }
    return out;
}

store_transaction from_wire(const wire::flow_relayed_commit& commit)
{
    store_transaction out;
    for (const auto& row : commit.checks) {
        out.checks.push_back({key_of(row), row_version(row.version)});
    }
    for (const auto& row : commit.puts) {
        out.puts.push_back({key_of(row), row.value});
    }
    for (const auto& row : commit.removes) {
        out.removes.push_back(key_of(row));
    }
    return out;
}

wire::flow_message reply_with(const store_result& result)
{
    wire::flow_relayed_result out;
    out.outcome = static_cast<std::int32_t>(result.outcome);
    out.version = result.version.value();
    out.rows = wire_rows(result.rows);
    out.reason = result.reason;
    out.invalid = result.invalid;
    wire::flow_message message;
    message.__set_relayed(out);
    return message;
}

wire::flow_message reply_with(const store_page& page)
{
    wire::flow_relayed_result out;
    out.reached = page.reached;
    out.more = page.more;
    out.version = page.version.value();
    out.rows = wire_rows(page.rows);
    out.reason = page.reason;
    wire::flow_message message;
    message.__set_relayed(out);
    return message;
}

} // namespace

void flow_entry::record_table_answer(instant now, bool answered, const std::string& reason)
{
    if (answered) {
        table_answered_ = now;
        table_failures_ = 0;
        if (table_away_) {
            table_away_ = false;
            edges_.note(log_level::info, "table", "reached_again", {{"entry", self_.entry.str()}});
        }
        return;
    }
    ++table_failures_;
    if (table_failures_ >= max_table_failures && !table_away_) {
        table_away_ = true;
        edges_.note(log_level::warning, "table", "not_reached", {{"entry", self_.entry.str()}, {"reason", reason}});
        probe_table();
    }
}

// Returns whether no known live entry has had an answer of the table since `since`. An entry that reaches less than
// half of the entries is itself partitioned: the others may still use the table and take over its cells.
bool flow_entry::table_outage(instant now, instant since) const
{
    const instant latest = since + outage_slack;
    std::size_t live_entries = 1; // itself
    if (table_answered_ > latest) {
        return false;
    }
    for (const auto& [id, p] : peers_) {
        if (!is_live(p, now)) {
            continue;
        }
        ++live_entries;
        if (p.table_answered > latest) {
            return false;
        }
    }
    return 2 * live_entries >= peers_.size() + 1;
}

void flow_entry::probe_table()
{
    direct_.after(table_probe_interval, [this](instant) {
        if (!table_away_) {
            return;
        }
        direct_.read(single_row_range(entry_key(self_.entry)), [this](instant then, const store_page& page) {
            record_table_answer(then, page.reached, page.reason);
            if (table_away_) {
                probe_table();
            }
        });
    });
}

std::optional<net_address> flow_entry::relay_peer()
{
    return next_peer_with_table(false);
}

// Owners read the list of workers more often than others.
std::optional<net_address> flow_entry::list_peer()
{
    const auto owner = next_peer_with_table(true);
    return owner ? owner : relay_peer();
}

std::optional<net_address> flow_entry::next_peer_with_table(bool owners_only)
{
    std::vector<net_address> able;
    for (const auto& [id, p] : peers_) {
        const bool reaches_table = is_live(p, ticked_at_) && !p.leaving && !p.table_away;
        if (reaches_table && (!owners_only || !p.cells.empty())) {
            able.push_back(p.identity.address);
        }
    }
    return able.empty() ? std::nullopt : std::optional(able[relays_++ % able.size()]);
}

void flow_entry::commit(store_transaction transaction, std::function<void(instant, store_result)> done)
{
    const auto helper = table_away_ ? relay_peer() : std::nullopt;
    if (!helper) {
        direct_.commit(std::move(transaction),
                       [this, done = std::move(done)](instant then, const store_result& result) {
                           record_table_answer(then, reached(result), result.reason);
                           done(then, result);
                       });
        return;
    }
    wire::flow_message message;
    message.__set_commit(to_wire(transaction));
    direct_.send_message(*helper, message,
                         [done = std::move(done)](instant then, const std::optional<wire::flow_message>& answer) {
                             store_result result;
                             result.reason = "the relaying peer did not answer";
                             if (answer && answer->__isset.relayed) {
                                 result.outcome = static_cast<table_outcome>(answer->relayed.outcome);
                                 result.version = row_version(answer->relayed.version);
                                 result.rows = rows_of(answer->relayed.rows);
                                 result.reason = answer->relayed.reason;
                                 result.invalid = answer->relayed.invalid;
                             }
                             done(then, result);
                         });
}

void flow_entry::read(store_range range, std::function<void(instant, store_page)> done)
{
    const auto helper = table_away_ ? relay_peer() : std::nullopt;
    if (!helper) {
        direct_.read(std::move(range), [this, done = std::move(done)](instant then, const store_page& page) {
            record_table_answer(then, page.reached, page.reason);
            done(then, page);
        });
        return;
    }
    wire::flow_message message;
    wire::flow_relayed_read asked;
    asked.table = range.table;
    asked.part = range.part;
    asked.from_key = range.from;
    asked.to_key = range.to;
    message.__set_lookup(asked);
    direct_.send_message(*helper, message,
                         [done = std::move(done)](instant then, const std::optional<wire::flow_message>& answer) {
                             store_page page;
                             page.reason = "the relaying peer did not answer";
                             if (answer && answer->__isset.relayed) {
                                 page.reached = answer->relayed.reached;
                                 page.more = answer->relayed.more;
                                 page.version = row_version(answer->relayed.version);
                                 page.rows = rows_of(answer->relayed.rows);
                                 page.reason = answer->relayed.reason;
                             }
                             done(then, page);
                         });
}

void flow_entry::serve_commit(const wire::flow_relayed_commit& asked,
                              std::function<void(const wire::flow_message&)> reply)
{
    if (table_away_) {
        reply({}); // an empty message: the sender treats the outcome as unknown and retries
        return;
    }
    direct_.commit(from_wire(asked), [this, reply = std::move(reply)](instant then, const store_result& result) {
        record_table_answer(then, reached(result), result.reason);
        reply(reply_with(result));
    });
}

void flow_entry::serve_read(const wire::flow_relayed_read& asked, std::function<void(const wire::flow_message&)> reply)
{
    if (table_away_) {
        reply({});
        return;
    }
    const store_range range{asked.table, asked.part, asked.from_key, asked.to_key};
    direct_.read(range, [this, reply = std::move(reply)](instant then, const store_page& page) {
        record_table_answer(then, page.reached, page.reason);
        reply(reply_with(page));
    });
}

} // namespace skylarkhub
