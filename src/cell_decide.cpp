// The one way into a cell: an event, then whatever has become due.
#include <utility>

#include "cell_state_p.h"

namespace skylarkhub {

namespace detail {

namespace {

place_settings placement_settings(const cell_settings& settings)
{
    return place_settings{settings.teams, settings.kinds};
}

void take_event(cell_state& s, const cell_event& event)
{
    std::visit(overloaded{
                   [&](const cell_tick& e) { s.wall = e.wall; },
                   [&](const cell_row_seen& e) { on_row_seen(s, e); },
                   [&](const cell_committed& e) { on_committed(s, e); },
                   [&](const cell_jobs_read& e) { on_jobs_read(s, e); },
                   [&](const cell_inbox_read& e) { on_inbox_read(s, e); },
                   [&](const cell_workers_listed& e) { on_workers_listed(s, e); },
                   [&](const cell_worker_answered& e) { on_worker_answered(s, e); },
                   [&](const cell_worker_failed& e) { on_worker_failed(s, e); },
                   [&](const cell_members_seen& e) { s.members = e.live; },
                   [&](const cell_hold_asked& e) { on_hold_asked(s, e); },
                   [&](const cell_hold_answered& e) { on_hold_answered(s, e); },
                   [&](const cell_inbox_hinted&) { s.inbox_hinted = true; },
                   [&](const cell_stop_planned&) { plan_stop(s); },
               },
               event);
}

void do_due(cell_state& s)
{
    check_hold(s);
    watch(s);
    drop_lapsed(s);
    check_accounted(s);
    read_due(s);
    place_due(s);
    ask_deputies(s);
    checkpoint_due(s);
    exchange_due(s);
    commit_due(s);
    finish_stop(s);
}

} // namespace

void notice(cell_state& s, std::string event, std::string detail)
{
    s.out->emplace_back(cell_notice{std::move(event), std::move(detail)});
}

} // namespace detail

cell::cell(cell_id id, incarnation_id self, cell_settings settings) : state_(std::make_unique<state>())
{
    state_->id = std::move(id);
    state_->self = std::move(self);
    state_->placer = std::make_unique<placement>(detail::placement_settings(settings));
    state_->settings = std::move(settings);
}

cell::~cell() = default;
cell::cell(cell&&) noexcept = default;
cell& cell::operator=(cell&&) noexcept = default;

void cell::decide(instant now, const cell_event& event, std::vector<cell_action>& actions)
{
    detail::cell_state& s = *state_;
    if (!s.up) {
        s.up = true;
        s.up_since = now;
        s.now = now;
    }
    s.now = std::max(s.now, now);
    s.out = &actions;
    s.ticking = std::holds_alternative<cell_tick>(event);
    detail::check_hold(s);
    detail::take_event(s, event);
    detail::do_due(s);
    s.out = nullptr;
}

void cell::change_settings(cell_settings settings)
{
    state_->placer->change_settings(detail::placement_settings(settings));
    if (settings.starts != state_->settings.starts) {
        state_->place_wanted = true;
        state_->place_urgent = true;
    }
    state_->settings = std::move(settings);
}

cell_role cell::role() const
{
    return state_->role;
}

skylarkhub::epoch cell::epoch() const
{
    return skylarkhub::epoch(state_->seen.row.epoch);
}

incarnation_id cell::owner() const
{
    return incarnation_id(state_->seen.row.owner);
}

const cell_stats& cell::stats() const
{
    return state_->stats;
}

} // namespace skylarkhub
