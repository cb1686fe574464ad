// How long an owner may go on without the table, and what its deputies promise it.
#include <algorithm>

#include "cell_state_p.h"

namespace skylarkhub::detail {

namespace {

// Whether the row in the table may be the one of the unsettled write.
bool may_have_written(const cell_state& s)
{
    return s.commit.maybe_applied || s.commit.phase == commit_phase::sent;
}

// Deputies to ask: those of the row in the table, which may be either of two while a write is unsettled.
std::vector<incarnation_id> named_deputies(const cell_state& s)
{
    std::vector<std::string> names = s.seen.row.deputies;
    if (may_have_written(s)) {
        names.insert(names.end(), s.commit.row.deputies.begin(), s.commit.row.deputies.end());
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return {names.begin(), names.end()};
}

// Without any deputy anybody may take the cell after T_hold, so nobody's promise can stretch it.
bool promised_by(const cell_state& s, const std::vector<std::string>& deputies)
{
    return !deputies.empty() && std::all_of(deputies.begin(), deputies.end(), [&](const std::string& deputy) {
        const auto found = s.hold.promised_to_us.find(incarnation_id(deputy));
        return found != s.hold.promised_to_us.end() && s.now < found->second;
    });
}

// Each of the rows that may be in force must be promised for, not the deputies of both together: one that names nobody
// would vanish behind one that names somebody, and whoever takes by it has promised nothing.
bool all_promised(const cell_state& s)
{
    return promised_by(s, s.seen.row.deputies) && (!may_have_written(s) || promised_by(s, s.commit.row.deputies));
}

// An owner past half of its hold asks its deputies; sooner would cost messages at every slow commit.
bool needs_promises(const cell_state& s)
{
    return owns(s) && s.now - s.hold.renewed > s.settings.hold / 2;
}

void order_checkpoints(cell_state& s)
{
    for (auto& [id, worker] : s.workers) {
        for (ledger_entry& entry : worker.ledger.entries()) {
            entry.checkpoint_wanted = entry.checkpoint_wanted || (!entry.persistent && may_run(entry));
        }
        wake_worker(s, id);
    }
}

} // namespace

duration certainly(const cell_state& s, duration d)
{
    const auto drift = duration(static_cast<std::int64_t>(static_cast<double>(d.count()) * config::clock_drift));
    return d + drift + s.settings.drift_margin;
}

bool holds(const cell_state& s)
{
    if (!owns(s) || !s.hold.ever_renewed) {
        return false;
    }
    // Past T_orphan anybody may take the cell, also somebody who has promised nothing.
    const duration unrenewed = s.now - s.hold.renewed;
    if (unrenewed >= s.settings.orphan - s.settings.drift_margin) {
        return false;
    }
    return unrenewed < s.settings.hold || all_promised(s);
}

void note_renewed(cell_state& s, instant sent)
{
    s.hold.renewed = s.hold.ever_renewed ? std::max(s.hold.renewed, sent) : sent;
    s.hold.ever_renewed = true;
    s.checkpoints_asked = false;
}

// Runs before anything else of an event. A process that was stopped for a while and runs on must not act on what it
// held before: its first look at the clock ends the hold, and nothing is sent until a renewal has succeeded.
void check_hold(cell_state& s)
{
    const bool held = holds(s);
    if (owns(s) && held != s.held) {
        notice(s, held ? "cell_held" : "cell_unheld", s.id.str());
        s.place_wanted = s.place_wanted || held;
    }
    s.held = held;
}

void ask_deputies(cell_state& s)
{
    if (!needs_promises(s)) {
        return;
    }
    const duration left = s.settings.hold - (s.now - s.hold.renewed);
    const bool ending = left < s.settings.lease_renew_interval + s.settings.drift_margin && !all_promised(s);
    if (ending && s.held && !s.checkpoints_asked) {
        s.checkpoints_asked = true;
        order_checkpoints(s);
    }
    if (s.now < s.hold.next_ask) {
        return;
    }
    s.hold.next_ask = s.now + s.settings.promise / 5;
    for (const incarnation_id& deputy : named_deputies(s)) {
        s.out->emplace_back(ask_hold{deputy, s.epoch, s.settings.promise});
    }
}

// A deputy counts its promise from receiving the question, the owner from having asked: the owner's always ends first.
void on_hold_asked(cell_state& s, const cell_hold_asked& event)
{
    answer_hold answer{event.owner, event.epoch, false, ""};
    const skylarkhub::epoch known(s.seen.present ? s.seen.row.epoch : 0);
    if (s.role != cell_role::watching || s.commit.phase != commit_phase::idle) {
        answer.reason = "taking the cell or owning it";
    }
    else if (event.epoch < known || (event.epoch == known && event.owner.str() != s.seen.row.owner)) {
        answer.reason = "a newer owner is known";
    }
    else {
        answer.promised = true;
        s.hold.promised_by_us = std::max(s.hold.promised_by_us, s.now + certainly(s, event.promise));
    }
    s.out->emplace_back(std::move(answer));
}

void on_hold_answered(cell_state& s, const cell_hold_answered& event)
{
    if (!owns(s) || event.epoch != s.epoch || !event.promised) {
        return;
    }
    instant& until = s.hold.promised_to_us[event.deputy];
    until = std::max(until, event.asked + event.promise);
    check_hold(s);
}

} // namespace skylarkhub::detail
