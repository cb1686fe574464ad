#include "daemon_claims_p.h"

#include <algorithm>

#include "daemon_clock_p.h"
#include "log_line_p.h"
#include "row_codec_p.h"
#include "row_keys_p.h"

namespace skylarkhub {

namespace {

constexpr std::size_t kept_body_bytes_most = 64 * 1024;
constexpr duration settle_time = std::chrono::seconds(10);
constexpr int claim_tries_most = 3;

wire::request_claim_row make_row(const claim_key& key, const incarnation_id& owner, wire::claim_state_row::type state)
{
    wire::request_claim_row row;
    row.__set_key(key.key);
    row.__set_team(key.team.str());
    row.__set_owner(owner.str());
    row.__set_state(state);
    row.__set_fingerprint(key.fingerprint);
    row.__set_claimed_ms(wall_ms(read_wall_clock()));
    return row;
}

void log_if_lost(const claim_key& key, const char* what, const table_result& result)
{
    if (result.outcome != table_outcome::applied) {
        write_log(log_level::warning, "claim", what, {{"team", key.team.str()}, {"reason", result.reason}});
    }
}

// The incarnation whose claim is still open in this row; invalid when there is none.
incarnation_id read_owner(const table_row& row)
{
    const auto found = row.value ? decode_row<wire::request_claim_row>(*row.value) : std::nullopt;
    if (!found || found->state != wire::claim_state_row::claimed) {
        return {};
    }
    return incarnation_id(found->owner);
}

} // namespace

claim_store::claim_store(platform_client& platform, incarnation_id self,
                         std::function<bool(const incarnation_id&)> alive)
    : platform_(platform), self_(std::move(self)), alive_(std::move(alive))
{}

void claim_store::claim(const claim_key& key, const std::string& attempt, duration time_left,
                        std::function<void(claim_reply)> done)
{
    claim_from(key, attempt, row_version(), time_left, 1, std::move(done));
}

void claim_store::claim_from(const claim_key& key, const std::string& attempt, row_version version, duration time_left,
                             int tries, std::function<void(claim_reply)> done)
{
    const std::string row_key = request_claim_key(key.team, key.key);
    table_transaction transaction;
    transaction.operation = operation_id("claim/" + self_.str() + "/" + attempt + "/" + std::to_string(tries));
    transaction.checks.push_back({row_key, version});
    transaction.writes.push_back({row_key, encode_row(make_row(key, self_, wire::claim_state_row::claimed))});
    platform_.commit_settled(
        table_traffic::work, std::move(transaction), time_left,
        [this, key, attempt, time_left, tries, row_key, done = std::move(done)](const table_result& result) {
            if (result.outcome == table_outcome::applied) {
                const row_version written = result.rows.empty() ? row_version() : result.rows.front().version;
                done({claim_outcome::claimed, written, std::nullopt, {}});
                return;
            }
            if (result.outcome != table_outcome::conflict || result.rows.empty()) {
                done({claim_outcome::unreachable, {}, std::nullopt, result.reason});
                return;
            }
            const table_row& row = result.rows.front();
            claim_reply reply = read_conflict(key, row);
            // The row says that the request did not run: take it over from there.
            if (reply.outcome == claim_outcome::claimed && tries < claim_tries_most) {
                claim_from(key, attempt, row.version, time_left, tries + 1, done);
                return;
            }
            if (reply.outcome == claim_outcome::claimed) {
                reply = {claim_outcome::in_progress, {}, std::nullopt, "claimed by others at the same time"};
            }
            done(std::move(reply));
        });
}

claim_reply claim_store::read_conflict(const claim_key& key, const table_row& row) const
{
    if (!row.value) {
        return {claim_outcome::claimed, row.version, std::nullopt, {}};
    }
    std::string reason;
    const auto found = decode_row<wire::request_claim_row>(*row.value, &reason);
    if (!found) {
        return {claim_outcome::unreachable, {}, std::nullopt, "claim row cannot be read: " + reason};
    }
    if (found->fingerprint != key.fingerprint && found->state != wire::claim_state_row::not_run) {
        return {claim_outcome::mismatch, {}, std::nullopt, "key was used with another body"};
    }
    switch (found->state) {
    case wire::claim_state_row::answered: {
        const bool kept = found->__isset.body;
        return {claim_outcome::answered, row.version, recorded_answer{found->status, found->body, kept}, {}};
    }
    case wire::claim_state_row::not_run:
        return {claim_outcome::claimed, row.version, std::nullopt, {}};
    case wire::claim_state_row::claimed:
        break;
    }
    if (alive_(incarnation_id(found->owner))) {
        return {claim_outcome::in_progress, {}, std::nullopt, "running at " + found->owner};
    }
    return {claim_outcome::owner_lost, {}, std::nullopt, found->owner + " is gone, it may have run"};
}

void claim_store::record(const claim_key& key, row_version version, const recorded_answer& answer)
{
    const std::string row_key = request_claim_key(key.team, key.key);
    wire::request_claim_row row = make_row(key, self_, wire::claim_state_row::answered);
    row.__set_status(answer.status);
    if (answer.body.size() <= kept_body_bytes_most) {
        row.__set_body(answer.body);
    }
    table_transaction transaction;
    transaction.operation = operation_id("answer/" + self_.str() + "/" + row_key);
    transaction.checks.push_back({row_key, version});
    transaction.writes.push_back({row_key, encode_row(row)});
    platform_.commit_settled(table_traffic::work, std::move(transaction), settle_time,
                             [key](const table_result& result) { log_if_lost(key, "answer_not_kept", result); });
}

void claim_store::release(const claim_key& key, std::optional<row_version> version)
{
    const std::string row_key = request_claim_key(key.team, key.key);
    table_transaction transaction;
    transaction.operation = operation_id("release/" + self_.str() + "/" + row_key);
    transaction.checks.push_back({row_key, version.value_or(row_version())});
    transaction.writes.push_back({row_key, encode_row(make_row(key, self_, wire::claim_state_row::not_run))});
    platform_.commit_settled(
        table_traffic::work, std::move(transaction), settle_time, [this, key, version](const table_result& result) {
            // The claim whose answer was lost had taken effect after all: release that one, once.
            const bool own_claim = !version && result.outcome == table_outcome::conflict && !result.rows.empty() &&
                                   read_owner(result.rows.front()) == self_;
            if (own_claim) {
                release(key, result.rows.front().version);
                return;
            }
            log_if_lost(key, "claim_not_released", result);
        });
}

} // namespace skylarkhub
