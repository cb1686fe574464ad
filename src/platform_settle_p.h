// Carries one transaction through lost answers until its outcome is certain.
//
// A lost answer leaves a copy of the transaction that has taken effect, will later, or never will. What settles it is
// the *witness*: the first row that the transaction both checks and writes. While the witness stands at the checked
// version no copy has taken effect, and once it has moved none will, since no version comes back. So:
//   - the witness carries our operation: applied;
//   - it stands as checked: the transaction is sent again, for whichever copy comes first moves the witness and shuts
//     the others out; late in the deadline the witness is moved by a write that changes nothing but its version (the
//     tombstone), after which no delayed copy can pass, and only then is conflict or refused said;
//   - another operation has replaced exactly the checked version: ours never took effect and never will;
//   - otherwise others have written over it since: any other row that carries our operation still proves it applied,
//     and without one the outcome stays unknown.
//
// An absent witness is checked against version 0, which would come back if the row were written and removed. So the
// tombstone over an absent row is a row that holds its place; it reads as absent at a version other than 0 and stays.
// A caller must not settle on a witness that others may remove meanwhile (a row of an inbox, say): it names a lasting
// row first.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "platform_backoff_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

struct settle_commit {
    table_transaction transaction; // as stored
};
struct settle_read {
    std::string key;
};
struct settle_wait {
    instant until;
};
struct settle_done {
    table_result result;
};
using settle_step = std::variant<settle_commit, settle_read, settle_wait, settle_done>;

// Why a transaction cannot be settled; empty when it can.
std::string check_settleable(const table_transaction& transaction);

// When every failed check asked for an absent row and met a place held, which is absent too, lets the checks name the
// versions in `rows` instead. The answered copy had no effect, so the transaction may be sent again.
bool lift_checks(table_transaction& transaction, const std::vector<table_row>& rows);

class settlement {
public:
    settlement(table_transaction transaction, instant now, duration deadline);

    // What to do now. After a commit or read is sent, `started` is called, and then its event.
    settle_step next(instant now) const;

    void started();
    // The answer to settle_commit, rows as stored.
    void committed(instant now, const table_result& answer, table_random& random);
    // The answer to settle_read, as stored; empty when the read failed.
    void read(instant now, const std::optional<table_row>& row, table_random& random);
    // The table cannot be asked before `until`.
    void held(instant until) { not_before_ = until; }
    // No further try will be admitted in time: ends at once unless a copy may still be pending.
    void give_up(std::string reason);

    bool copy_pending() const { return pending_ > 0; }
    bool read_back() const { return read_back_; }
    bool barred() const { return barred_; }
    instant deadline() const { return deadline_; }

private:
    // send: the transaction itself; look: the witness; bar: the write that moves the witness; prove: the other rows.
    enum class phase : std::uint8_t { send, look, bar, prove };

    void sent(instant now, const table_result& answer, table_random& random);
    void bar_sent(instant now, const table_result& answer, table_random& random);
    void classify(instant now, const table_row& witness);
    void take_proof(const table_row& row);
    void prove_next();
    duration wait(instant now, table_random& random);
    bool never_applied(const table_row& witness) const;
    void finish(table_outcome outcome, std::string reason);
    void finish_not_applied();
    table_result late_result() const;
    table_transaction bar() const;
    const table_check& witness() const { return transaction_.checks[witness_]; }
    table_result result_of(table_outcome outcome, std::string reason) const;

    table_transaction transaction_;
    std::size_t witness_ = 0; // among the checks
    instant resend_until_;
    instant deadline_;
    instant not_before_{};
    table_backoff backoff_;
    phase phase_ = phase::send;
    int pending_ = 0; // copies sent and not known to have had no effect
    bool must_bar_ = false;
    bool read_back_ = false;
    bool barred_ = false;
    std::optional<table_row> prior_; // the witness as stored at the checked version, once seen
    std::size_t prove_at_ = 0;       // among the writes
    bool proved_ = false;
    std::vector<table_row> rows_; // for the result
    bool conflict_ = false;
    std::optional<table_result> result_;
};

} // namespace skylarkhub
