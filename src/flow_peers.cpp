// Exchanges hellos with the other entries: which of them are live, which cells each owns, and which configuration each
// has.
#include <algorithm>

#include "flow_entry_p.h"
#include "flow_limits_p.h"
#include "flow_row_read_p.h"
#include "log_line_p.h"
#include "row_codec_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

entry_identity identity_of(const wire::flow_entry_row& row)
{
    return {entry_id(row.entry), incarnation_id(row.incarnation), net_address(row.address),
            data_centre_id(row.data_centre), row.cores > 0 ? row.cores : 1};
}

wire::flow_entry_row row_of(const entry_identity& identity)
{
    wire::flow_entry_row row;
    row.entry = identity.entry.str();
    row.incarnation = identity.incarnation.str();
    row.address = identity.address.str();
    row.data_centre = identity.data_centre.str();
    row.cores = identity.cores;
    return row;
}

} // namespace

void flow_entry::register_self()
{
    store_transaction t;
    t.puts.push_back({entry_key(self_.entry), encode_compact(row_of(self_))});
    edges_.commit(std::move(t), [this](instant, const store_result& result) {
        if (result.outcome != table_outcome::applied) {
            edges_.after(register_retry, [this](instant) { register_self(); });
        }
    });
}

void flow_entry::read_entries(instant now)
{
    next_entries_read_ =
        now + (now - started_at_ < 5 * entries_interval_start ? entries_interval_start : entries_interval);
    edges_.read({entries_table, shared_part, "", ""}, [this](instant then, const store_page& page) {
        if (!page.reached) {
            return;
        }
        for (const store_row& row : page.rows) {
            const auto decoded = read_flow_row<wire::flow_entry_row>(edges_, row);
            if (decoded) {
                add_peer(*decoded);
            }
        }
        if (then - started_at_ < 2 * entries_interval_start) {
            send_hellos(then, true);
        }
    });
}

void flow_entry::add_peer(const wire::flow_entry_row& row)
{
    if (row.entry == self_.entry.str() || row.entry.empty()) {
        return;
    }
    const auto [at, added] = peers_.try_emplace(entry_id(row.entry));
    peer& p = at->second;
    if (!added && p.hello_received) {
        return; // the peer's own hello is more recent than the row
    }
    p.identity = identity_of(row);
}

bool flow_entry::is_live(const peer& p, instant now) const
{
    return p.hello_received && now - p.last_hello_at < peer_timeout_of(peers_.size() + 1);
}

wire::flow_hello flow_entry::hello(instant now, bool with_members)
{
    wire::flow_hello h;
    h.sender = row_of(self_);
    h.leaving = stopping_;
    h.config_version = config_version().value();
    h.table_away = table_away_;
    refresh_own_counts(now);
    h.sent_ms = std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch()).count();
    h.evacuations = evacuations_.report(now);
    h.table_silent_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now - table_answered_).count();
    for (const auto& [id, cell] : cells_) {
        if (cell->owns()) {
            h.cells.push_back(cell->cached_news(now));
            add_pending_count(now, h.cells.back());
        }
    }
    h.job_bytes_left = std::max<std::int64_t>(own_job_bytes_left(now), 0);
    if (with_members) {
        h.members = live_members(now);
    }
    return h;
}

std::vector<wire::flow_entry_row> flow_entry::live_members(instant now) const
{
    std::vector<wire::flow_entry_row> members;
    for (const auto& [id, p] : peers_) {
        if (is_live(p, now)) {
            members.push_back(row_of(p.identity));
        }
    }
    return members;
}

void flow_entry::send_hellos(instant now, bool everyone)
{
    std::vector<entry_id> receivers;
    for (const auto& [id, p] : peers_) {
        // An exchange informs both sides, so only one of two entries that know each other starts it.
        if (everyone || !is_live(p, now) || self_.entry < id) {
            receivers.push_back(id);
        }
    }
    if (receivers.empty()) {
        return;
    }
    const auto next = std::upper_bound(receivers.begin(), receivers.end(), members_told_);
    members_told_ = next == receivers.end() ? receivers.front() : *next;
    wire::flow_message message;
    message.__set_hello(hello(now, false));
    for (const entry_id& id : receivers) {
        peer& p = peers_.at(id);
        message.hello.members = id == members_told_ ? live_members(now) : std::vector<wire::flow_entry_row>();
        set_echo(now, p, message.hello);
        send_message(now, p, message);
    }
}

// Failure: a hello is delayed by a partition or by an entry that was suspended. Symptom: its content counts as new on
// arrival and replaces newer news. So a hello contains the send time of the last hello that its sender received from
// the receiver, and how long ago that was; the receiver derives the earliest time at which the hello can have been
// sent.
void flow_entry::set_echo(instant now, const peer& p, wire::flow_hello& hello)
{
    hello.echo_ms = p.sent_ms;
    hello.echo_ago_ms = std::chrono::floor<std::chrono::milliseconds>(now - p.last_hello_at).count();
}

// Returns the earliest time at which `hello` can have been sent, or nothing if its sender had not received a hello of
// this entry since the entry started.
std::optional<instant> flow_entry::earliest_send_time(instant now, const wire::flow_hello& hello) const
{
    const instant sent{std::chrono::milliseconds(hello.echo_ms + hello.echo_ago_ms)};
    const bool of_this_life = instant{std::chrono::milliseconds(hello.echo_ms + 1)} > started_at_ && sent <= now;
    return of_this_life ? std::optional(sent) : std::nullopt;
}

void flow_entry::send_message(instant now, peer& p, const wire::flow_message& message)
{
    if (p.sending) {
        return;
    }
    p.sending = true;
    edges_.send_message(
        p.identity.address, message,
        [this, id = p.identity.entry, asked = now](instant then, const std::optional<wire::flow_message>& answer) {
            const auto at = peers_.find(id);
            if (at != peers_.end()) {
                at->second.sending = false;
            }
            if (answer) {
                process_message(then, *answer, asked);
                return;
            }
            ++stats_.peers_unanswered;
            if (at != peers_.end() && !is_live(at->second, then) && then - at->second.last_hello_at > peer_retention &&
                then - started_at_ > peer_retention) {
                peers_.erase(at);
            }
        });
}

void flow_entry::on_message(instant now, const wire::flow_message& message,
                            const std::function<void(const wire::flow_message&)>& reply)
{
    if (message.__isset.commit) {
        serve_commit(message.commit, reply);
    }
    else if (message.__isset.lookup) {
        serve_read(message.lookup, reply);
    }
    else if (message.__isset.config_ask) {
        reply(serve_config(now, message.config_ask));
    }
    else if (message.__isset.place_ask) {
        reply(serve_place(now, message.place_ask));
    }
    else if (message.__isset.worker_list_ask) {
        reply(serve_worker_list(now, message.worker_list_ask));
    }
    else {
        reply(process_message(now, message, std::nullopt));
    }
}

wire::flow_message flow_entry::process_message(instant now, const wire::flow_message& message,
                                               std::optional<instant> asked)
{
    wire::flow_message answer;
    if (message.__isset.hello) {
        const bool new_life = on_hello(now, message.hello, asked);
        // The list of all entries is most of a hello's bytes on a large site. Entries that start find it in the table.
        const bool table_silent = std::chrono::milliseconds(message.hello.table_silent_ms) > members_wanted_after;
        answer.__set_hello(hello(now, (new_life && table_silent) || !message.hello.members.empty()));
    }
    for (const wire::flow_row_news& news : message.rows) {
        std::string reason;
        const auto row = decode_compact<wire::flow_job_row>(news.row, &reason);
        if (!row) {
            edges_.note(log_level::error, "peer", "row_unreadable", {{"job", news.job}, {"reason", reason}});
            continue;
        }
        const auto cell = cells_.find(cell_id(news.cell));
        if (cell == cells_.end() ||
            !pass_row_to_cell(now, *cell->second, {cell_id(news.cell), job_id(news.job), news.writer}, *row,
                              row_version(news.version))) {
            answer.unknown_jobs.push_back(news.job);
        }
    }
    for (const wire::flow_state_news& news : message.states) {
        update_job_state(now, job_id(news.job), static_cast<flow_state>(news.state));
    }
    return answer;
}

// Returns whether the sender's incarnation is new to this entry. `asked`: if the hello is an answer, when its request
// was sent.
bool flow_entry::on_hello(instant now, const wire::flow_hello& h, std::optional<instant> asked)
{
    if (h.sender.entry == self_.entry.str()) {
        return false;
    }
    peer& p = peers_[entry_id(h.sender.entry)];
    const bool new_life = !p.hello_received || p.identity.incarnation.str() != h.sender.incarnation;
    if (new_life || p.leaving != h.leaving || !is_live(p, now)) {
        edges_.note(
            log_level::info, "peer", "heard",
            {{"entry", h.sender.entry}, {"incarnation", h.sender.incarnation}, {"leaving", h.leaving ? "yes" : "no"}});
    }
    p.identity = identity_of(h.sender);
    p.last_hello_at = now;
    p.sent_ms = h.sent_ms;
    p.hello_received = true;
    p.leaving = h.leaving;
    p.table_away = h.table_away;
    p.table_answered = now - std::chrono::milliseconds(h.table_silent_ms);
    update_peer_config(now, p, settings_version(h.config_version));
    p.cells = h.cells;
    p.job_bytes_left = h.job_bytes_left;
    const std::optional<instant> earliest_sent = asked ? asked : earliest_send_time(now, h);
    if (earliest_sent) {
        on_evacuations_changed(now, evacuations_.adopt(h.evacuations, *earliest_sent), h.sender.entry);
    }
    for (const wire::flow_cell_news& cell : h.cells) {
        if (earliest_sent) {
            update_pending_count(*earliest_sent, cell);
        }
        assigned_cpu_[cell_id(cell.cell)] = 0;
        for (auto& [id, own] : cells_) {
            own->hint_presses(cell.presses);
        }
    }
    for (const wire::flow_entry_row& member : h.members) {
        add_peer(member);
    }
    return new_life;
}

const flow_entry::peer* flow_entry::find_owner(instant now, const cell_id& cell) const
{
    const peer* best = nullptr;
    std::int64_t best_epoch = 0;
    for (const auto& [id, p] : peers_) {
        if (!is_live(p, now)) {
            continue;
        }
        for (const wire::flow_cell_news& news : p.cells) {
            if (news.cell == cell.str() && news.epoch > best_epoch) {
                best = &p;
                best_epoch = news.epoch;
            }
        }
    }
    return best;
}

cell_candidacy flow_entry::candidacy(instant now, const flow_cell& cell) const
{
    cell_candidacy c;
    c.leaving = stopping_;
    const auto place = cell_places_.find(cell.id());
    c.same_data_centre = place != cell_places_.end() && place->second == self_.data_centre;
    const auto owner = peers_.find(entry_id(cell.row().owner));
    if (owner != peers_.end() && is_live(owner->second, now)) {
        const peer& p = owner->second;
        c.owner_live = p.identity.incarnation.str() == cell.row().incarnation;
        c.owner_leaving = c.owner_live && p.leaving;
        c.owner_restarted = !c.owner_live;
    }
    const auto rank = ranks_.find(cell.id());
    c.rank = rank == ranks_.end() ? 0 : rank->second;
    return c;
}

} // namespace skylarkhub
