// Obtains the operator's configuration from the table, or from a peer while the table does not supply it.
#include <algorithm>

#include "flow_entry_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

// Returns how long ago `at` was, for the log.
std::string age_ms(instant now, std::optional<instant> at)
{
    return at ? std::to_string((now - *at) / 1ms) : "not_known";
}

} // namespace

void flow_entry::watch_operator(instant now)
{
    const operator_feed::call call = operator_feed_.next_call(now);
    edges_.watch_operator(call.after, call.wait, [this, call](instant then, const operator_update& page) {
        if (!page.reached) {
            ++operator_failures_;
            ++stats_.config_looks_unanswered;
            edges_.after(operator_retry, [this](instant again) { watch_operator(again); });
            return;
        }
        operator_failures_ = 0;
        table_answered_ = then;
        const std::optional<instant> complete_at = operator_feed_.take(call, then, page);
        if (!page.history_compacted) {
            on_evacuations_changed(then, evacuations_.apply(page.evacuations, page.version, complete_at), "table");
        }
        if (page.config) {
            apply_config(then, *page.config, page.config_text, page.config_row, "table");
        }
        update_config_usable(then);
        watch_operator(then);
    });
}

// Versions only increase: a late answer of the table or an outdated peer must not restore an older one.
void flow_entry::apply_config(instant now, flow_config config, std::string text, row_version row, const char* from)
{
    if (config_ && config.version <= config_->version) {
        config_row_ = config.version == config_->version ? std::max(config_row_, row) : config_row_;
        return;
    }
    const duration behind = behind_since_ ? now - *behind_since_ : duration(0);
    edges_.note(log_level::info, "config", "in_force",
                {{"version", std::to_string(config.version.value())},
                 {"queues", std::to_string(config.queues.size())},
                 {"bytes", std::to_string(text.size())},
                 {"behind_ms", std::to_string(behind / std::chrono::milliseconds(1))},
                 {"from", from}});
    config_ = std::move(config);
    config_text_ = std::move(text);
    config_row_ = row;
    config_checksum_ = config_checksum(config_text_);
    if (copy_.version() <= config_->version) {
        copy_.clear();
    }
    behind_since_.reset();
    update_config_usable(now);
}

// Versions only increase, so what a peer has reported remains true when the peer is no longer heard.
settings_version flow_entry::newest_config_version() const
{
    return std::max(config_version(), newest_reported_);
}

void flow_entry::update_peer_config(instant now, peer& p, settings_version version)
{
    p.config = version;
    if (version != config_unreadable_) {
        newest_reported_ = std::max(newest_reported_, version);
    }
    update_config_usable(now);
    if (!behind_since_ || *behind_since_ != now) {
        return;
    }
    edges_.note(log_level::info, "config", "behind",
                {{"version", std::to_string(config_version().value())},
                 {"newest", std::to_string(version.value())},
                 {"heard_from", p.identity.entry.str()}});
}

// Decides whether the configuration is recent enough to accept jobs by. After a start it must be the newest version
// that the table or a peer has reported, because callers must not see versions decrease over a restart. An older one is
// used only while the table is unreachable and nobody has reported a newer one.
void flow_entry::update_config_usable(instant now)
{
    const bool newest = newest_config_version() <= config_version();
    if (newest) {
        behind_since_.reset();
        copy_sources_.clear();
    }
    else if (!behind_since_) {
        behind_since_ = now;
    }
    const bool asked_enough = operator_feed_.complete_at() || now - started_at_ >= config_start_timeout;
    config_was_newest_ = config_was_newest_ || (config_ && newest && asked_enough);
    const bool behind_for_long = behind_since_ && now - *behind_since_ >= max_config_behind;
    config_usable_ = config_.has_value() && config_was_newest_ && !behind_for_long;
}

// --- copies from peers ---

// Requests the next piece of a newer configuration from one peer at a time. The table is preferred: it has the newest
// version by definition, and a copy during its answer would share the link with it.
void flow_entry::fetch_newer_config(instant now)
{
    update_config_usable(now);
    if (!behind_since_ || copying_ || now < next_piece_) {
        return;
    }
    const bool table_gives = operator_failures_ == 0 && !table_away_;
    if (table_gives && now - *behind_since_ < config_table_preference) {
        return;
    }
    std::vector<config_sources::source> sources;
    for (const auto& [id, p] : peers_) {
        if (is_live(p, now) && p.config > config_version() && p.config != config_unreadable_) {
            sources.push_back({id, p.config, p.identity.data_centre == self_.data_centre});
        }
    }
    if (const auto source = copy_sources_.pick(self_.entry, sources)) {
        ask_for_config(now, *source);
    }
}

void flow_entry::ask_for_config(instant now, const entry_id& source)
{
    copying_ = true;
    wire::flow_config_ask ask;
    ask.entry = self_.entry.str();
    ask.version = copy_.version().value();
    ask.offset = copy_.offset();
    wire::flow_message message;
    message.__set_config_ask(ask);
    edges_.send_message(peers_.at(source).identity.address, message,
                        [this, source, now](instant then, const std::optional<wire::flow_message>& answer) {
                            copying_ = false;
                            on_config_piece(then, source, then - now, answer);
                        });
}

void flow_entry::on_config_piece(instant now, const entry_id& source, duration took,
                                 const std::optional<wire::flow_message>& answer)
{
    const auto result = answer ? copy_.take(answer->config_piece) : config_copy::result::refused;
    switch (result) {
    case config_copy::result::whole:
        apply_copied_config(now);
        return;
    case config_copy::result::more:
        copy_sources_.served(source);
        // Pauses as long as the piece took, so that a copy uses at most half of the narrower link.
        next_piece_ = now + took;
        break;
    case config_copy::result::damaged:
        edges_.note(log_level::error, "config", "copy_damaged", {{"heard_from", source.str()}});
        [[fallthrough]];
    case config_copy::result::refused:
        ++stats_.config_pieces_refused;
        copy_sources_.not_served(source);
        next_piece_ = now + config_ask_pause;
        break;
    }
    edges_.after(next_piece_ - now, [this](instant then) { fetch_newer_config(then); });
}

void flow_entry::apply_copied_config(instant now)
{
    const settings_version version = copy_.version();
    std::string text = copy_.text();
    copy_.clear();
    auto parsed = edges_.parse_config(text);
    if (!parsed || parsed->version != version) {
        edges_.note(log_level::error, "config", "copy_unreadable", {{"version", std::to_string(version.value())}});
        config_unreadable_ = version;
        newest_reported_ = config_version(); // hellos report the other versions again
        return;
    }
    apply_config(now, std::move(*parsed), std::move(text), row_version(0), "peer");
}

// --- the table's word on request ---

void flow_entry::confirm_config(instant now, instant give_up, const config_checks::answer& done)
{
    const bool asked =
        (!table_away_ || relay_peer()) && config_checks_.add(now, std::min(give_up, now + config_check_timeout), done);
    if (!asked) {
        done(now, false);
        return;
    }
    send_config_check(now);
}

// A transaction that only checks the row's version: the table answers with the row if it has another version. Unlike
// the watch it needs no history, and unlike a read it returns the text only if it is new.
void flow_entry::send_config_check(instant now)
{
    if (!config_checks_.begin(now)) {
        return;
    }
    ++stats_.config_checks;
    store_transaction t;
    t.checks.push_back({edges_.config_key, config_row_});
    edges_.commit(std::move(t), [this](instant then, const store_result& result) { on_config_checked(then, result); });
}

void flow_entry::on_config_checked(instant now, const store_result& result)
{
    const bool changed = result.outcome == table_outcome::conflict && !result.rows.empty();
    const bool confirmed =
        changed ? take_config_row(now, result.rows.front()) : result.outcome == table_outcome::applied;
    for (const config_checks::answer& done : config_checks_.end(now, confirmed)) {
        done(now, confirmed);
    }
    send_config_check(now);
}

bool flow_entry::take_config_row(instant now, const store_row& row)
{
    auto parsed = edges_.parse_config(row.value);
    if (!parsed) {
        edges_.note(log_level::error, "config", "row_unreadable", {{"row", std::to_string(row.version.value())}});
        return false;
    }
    const settings_version version = parsed->version;
    apply_config(now, std::move(*parsed), row.value, row.version, "check");
    return version >= config_version();
}

void flow_entry::give_up_config_checks(instant now)
{
    for (const config_checks::answer& done : config_checks_.give_up(now)) {
        done(now, false);
    }
}

wire::flow_message flow_entry::serve_config(instant now, const wire::flow_config_ask& ask)
{
    wire::flow_message answer;
    if (!config_ || !copy_readers_.admit(now, entry_id(ask.entry))) {
        answer.__set_config_piece({});
        return answer;
    }
    answer.__set_config_piece(make_config_piece(ask, config_version(), config_text_, config_checksum_));
    stats_.config_copies += answer.config_piece.offset == 0 ? 1 : 0;
    stats_.config_bytes += static_cast<std::int64_t>(answer.config_piece.bytes.size());
    return answer;
}

// Logs at most one line a second, since callers may request unknown queues at any rate.
void flow_entry::log_unknown_queue(instant now, const caller_request& request, bool refused, duration waited)
{
    ++stats_.unknown_queues;
    if (now < next_unknown_queue_line_) {
        return;
    }
    next_unknown_queue_line_ = now + unknown_queue_log_interval;
    std::optional<instant> last_hello_at;
    for (const auto& [id, p] : peers_) {
        if (p.hello_received) {
            last_hello_at = std::max(last_hello_at.value_or(p.last_hello_at), p.last_hello_at);
        }
    }
    edges_.note(log_level::info, "config", "unknown_queue",
                {{"host", request.host},
                 {"path", request.path},
                 {"version", std::to_string(config_version().value())},
                 {"newest", std::to_string(newest_config_version().value())},
                 {"answer", refused ? "unknown" : "retry_later"},
                 {"asked_ms", std::to_string(waited / 1ms)},
                 {"newest_at_ago_ms", age_ms(now, operator_feed_.config_complete_at())},
                 {"peer_heard_ago_ms", age_ms(now, last_hello_at)}});
}

} // namespace skylarkhub
