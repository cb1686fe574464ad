#include "platform_settle_p.h"

#include <algorithm>

#include "platform_wire_p.h"

namespace skylarkhub {

namespace {

// The last part of the deadline is kept for moving the witness; before it the transaction is sent again instead.
constexpr int bar_part = 4;
// Of the time left, the longest wait between two tries that settle.
constexpr int wait_part = 4;

std::optional<std::size_t> find_witness(const table_transaction& transaction)
{
    for (std::size_t i = 0; i < transaction.checks.size(); ++i) {
        for (const table_write& write : transaction.writes) {
            if (write.key == transaction.checks[i].key && write.value) {
                return i;
            }
        }
    }
    return std::nullopt;
}

bool is_bar(const table_row& unwrapped)
{
    return !unwrapped.value && unwrapped.version != row_version(0);
}

const table_row* find_row(const std::vector<table_row>& rows, const std::string& key)
{
    const auto found = std::find_if(rows.begin(), rows.end(), [&](const table_row& row) { return row.key == key; });
    return found == rows.end() ? nullptr : &*found;
}

} // namespace

std::string check_settleable(const table_transaction& transaction)
{
    return find_witness(transaction) ? "" : "no row is both checked and written, so a lost answer could not be settled";
}

bool lift_checks(table_transaction& transaction, const std::vector<table_row>& rows)
{
    table_transaction lifted = transaction;
    for (const table_row& stored : rows) {
        const auto check = std::find_if(lifted.checks.begin(), lifted.checks.end(),
                                        [&](const table_check& c) { return c.key == stored.key; });
        if (check == lifted.checks.end() || check->version != row_version(0) || !is_bar(unwrap_row(stored))) {
            return false;
        }
        check->version = stored.version;
    }
    transaction = std::move(lifted);
    return !rows.empty();
}

settlement::settlement(table_transaction transaction, instant now, duration deadline)
    : transaction_(std::move(transaction)),
      witness_(find_witness(transaction_).value_or(0)),
      resend_until_(now + deadline - deadline / bar_part),
      deadline_(now + deadline)
{}

settle_step settlement::next(instant now) const
{
    if (result_) {
        return settle_done{*result_};
    }
    if (now >= deadline_) {
        return settle_done{late_result()};
    }
    if (now < not_before_) {
        return settle_wait{std::min(not_before_, deadline_)};
    }
    switch (phase_) {
    case phase::send:
        return settle_commit{wrap_transaction(transaction_)};
    case phase::bar:
        return settle_commit{bar()};
    case phase::look:
        return settle_read{witness().key};
    case phase::prove:
        break;
    }
    return settle_read{transaction_.writes[prove_at_].key};
}

void settlement::started()
{
    if (phase_ == phase::send) {
        ++pending_;
        return;
    }
    read_back_ = true;
}

void settlement::committed(instant now, const table_result& answer, table_random& random)
{
    if (phase_ == phase::bar) {
        bar_sent(now, answer, random);
        return;
    }
    sent(now, answer, random);
}

void settlement::sent(instant now, const table_result& answer, table_random& random)
{
    if (answer.outcome != table_outcome::unknown) {
        --pending_;
    }
    switch (answer.outcome) {
    case table_outcome::applied:
        rows_ = answer.rows;
        finish(table_outcome::applied, "");
        return;
    case table_outcome::conflict:
        if (!copy_pending() && lift_checks(transaction_, answer.rows)) {
            return;
        }
        conflict_ = true;
        rows_ = unwrap_rows(answer.rows);
        if (!copy_pending()) {
            finish(table_outcome::conflict, "a check failed");
            return;
        }
        // The failed check may pass again for a pending copy when it asked for an absent row; moving the witness
        // settles it whichever check it was.
        must_bar_ = true;
        phase_ = phase::look;
        if (const table_row* row = find_row(answer.rows, witness().key)) {
            classify(now, *row);
        }
        return;
    case table_outcome::refused:
    case table_outcome::unknown:
        not_before_ = now + wait(now, random);
        phase_ = copy_pending() ? phase::look : phase::send;
        return;
    }
}

void settlement::bar_sent(instant now, const table_result& answer, table_random& random)
{
    switch (answer.outcome) {
    case table_outcome::applied:
        finish_not_applied();
        return;
    case table_outcome::conflict:
        phase_ = phase::look;
        if (const table_row* row = find_row(answer.rows, witness().key)) {
            classify(now, *row);
        }
        return;
    case table_outcome::refused:
    case table_outcome::unknown:
        not_before_ = now + wait(now, random);
        phase_ = phase::look;
        return;
    }
}

void settlement::read(instant now, const std::optional<table_row>& row, table_random& random)
{
    if (!row) {
        not_before_ = now + wait(now, random);
        return;
    }
    if (phase_ == phase::look) {
        classify(now, *row);
        return;
    }
    take_proof(*row);
    ++prove_at_;
    prove_next();
}

void settlement::classify(instant now, const table_row& stored)
{
    if (stored.version == witness().version) {
        prior_ = stored;
        const bool late = must_bar_ || now >= resend_until_;
        must_bar_ = late;
        phase_ = late ? phase::bar : phase::send;
        return;
    }
    if (never_applied(stored)) {
        finish_not_applied();
        return;
    }
    take_proof(stored);
    phase_ = phase::prove;
    prove_at_ = 0;
    prove_next();
}

bool settlement::never_applied(const table_row& stored) const
{
    const stored_parts parts = split_stored(stored.value);
    if (parts.value && parts.operation == transaction_.operation) {
        return false;
    }
    if (parts.replaced == witness().version) {
        return true;
    }
    // Nobody else writes the same bytes under the same operation: only a tombstone does.
    if (prior_ && prior_->value && prior_->value == stored.value) {
        return true;
    }
    return witness().version == row_version(0) && is_bar(unwrap_row(stored));
}

void settlement::take_proof(const table_row& stored)
{
    table_row row = unwrap_row(stored);
    if (!row.value || row.operation != transaction_.operation) {
        return;
    }
    if (!proved_) {
        rows_.clear();
    }
    proved_ = true;
    rows_.push_back({.key = row.key, .version = row.version, .operation = row.operation});
}

void settlement::prove_next()
{
    const auto& writes = transaction_.writes;
    const auto needless = [&](const table_write& write) {
        return !write.value || (proved_ && find_row(rows_, write.key) != nullptr);
    };
    while (prove_at_ < writes.size() && needless(writes[prove_at_])) {
        ++prove_at_;
    }
    if (prove_at_ < writes.size()) {
        return;
    }
    if (proved_) {
        finish(table_outcome::applied, "");
        return;
    }
    finish(table_outcome::unknown, "others have written over every row that could tell");
}

// While a copy may be pending the tries grow denser towards the deadline, for each may make the outcome certain.
duration settlement::wait(instant now, table_random& random)
{
    const duration backoff = backoff_.next(random);
    const duration most = std::max(config::table_backoff_first, (deadline_ - now) / wait_part);
    return copy_pending() ? std::min(backoff, most) : backoff;
}

void settlement::give_up(std::string reason)
{
    if (!copy_pending()) {
        finish(table_outcome::refused, std::move(reason));
    }
}

void settlement::finish(table_outcome outcome, std::string reason)
{
    result_ = result_of(outcome, std::move(reason));
}

void settlement::finish_not_applied()
{
    barred_ = true;
    pending_ = 0;
    if (conflict_) {
        finish(table_outcome::conflict, "a check failed");
        return;
    }
    finish(table_outcome::refused, "the answer was lost and the row was then kept from taking the write");
}

table_result settlement::late_result() const
{
    if (proved_) {
        return result_of(table_outcome::applied, "");
    }
    if (copy_pending()) {
        return result_of(table_outcome::unknown, "the answer was lost and the table could not be asked in time");
    }
    return result_of(table_outcome::refused, "the table did not take the write in time");
}

table_result settlement::result_of(table_outcome outcome, std::string reason) const
{
    const bool with_rows = outcome == table_outcome::applied || outcome == table_outcome::conflict;
    return {transaction_.operation, outcome, with_rows ? rows_ : std::vector<table_row>(), std::move(reason)};
}

table_transaction settlement::bar() const
{
    const std::string value = prior_->value.value_or(stored_bar(transaction_.operation));
    return {operation_id(transaction_.operation.str() + "!bar"), {witness()}, {{witness().key, value}}};
}

} // namespace skylarkhub
