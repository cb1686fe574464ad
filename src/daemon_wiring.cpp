// How the parts of an entry reach each other.
#include <algorithm>

#include "daemon_app_p.h"
#include "daemon_clock_p.h"
#include "log_line_p.h"

namespace skylarkhub {

namespace {

constexpr duration peer_timeout = std::chrono::milliseconds(500);

} // namespace

cell_edges daemon_app::make_cell_edges()
{
    const auto ask = [this](const incarnation_id& deputy, const wire::hold_request& request,
                            std::function<void(bool)> done) {
        const auto found = members_->find(deputy);
        if (!found) {
            done(false);
            return;
        }
        peers_.hold(found->peer_address, request, peer_timeout,
                    [deputy, done = std::move(done)](const peer_result<wire::hold_reply>& result) {
                        // A promise counts only from the very incarnation that was named.
                        done(result.answer && result.answer->promised && result.answer->incarnation == deputy.str());
                    });
    };
    return {platform_, control_http_, pool_, ask};
}

request_edges daemon_app::make_request_edges()
{
    return {target_http_, *claims_, [this](const service_id& service) { return rules_of(service); },
            [this](const request_record& r) { record(r); }};
}

standing_edges daemon_app::make_standing_edges()
{
    const auto live = [this] {
        std::vector<incarnation_id> out{self_};
        for (const member& peer : members_->peers()) {
            if (peer.state == member_state::live) {
                out.push_back(peer.incarnation);
            }
        }
        return out;
    };
    const auto accepted = [this](const std::vector<cell_part>& parts) {
        for (const cell_part& part : parts) {
            hint_owner(part.cell);
        }
    };
    const auto counted = [this](const team_id& team, bool run, std::int64_t missed) {
        watch_counts more;
        more.run = run ? 1 : 0;
        more.missed = missed;
        more.due = more.run + more.missed;
        absl::MutexLock lock(&burn_mutex_);
        burn_.add_watches(team, more);
    };
    return {platform_, [this] { return cells_->rooms(); }, live, accepted, counted};
}

job_edges daemon_app::make_job_edges()
{
    const auto gather = [this](const std::string& what, std::function<void(std::vector<gathered_part>)> done) {
        gather_parts(peers_, members_->peers(), what, std::move(done));
    };
    const auto hint = [this](const cell_id& cell) { hint_owner(cell); };
    return {platform_, *cells_, *settings_keeper_, *standing_, settings_.data_centre, hint, gather};
}

// The owner looks into its inbox now rather than at its next round; nothing depends on the hint arriving.
void daemon_app::hint_owner(const cell_id& cell)
{
    const auto host = cells_->find(cell);
    if (host && host->role() == cell_role::owning) {
        host->post(cell_inbox_hinted{});
        return;
    }
    std::string owner = host ? host->owner().str() : std::string();
    for (const wire::cell_news& news : cells_->all_news()) {
        if (news.summary.cell == cell.str()) {
            owner = news.summary.owner;
        }
    }
    const auto found = members_->find(incarnation_id(owner));
    if (found) {
        peers_.inbox_hint(found->peer_address, cell, peer_timeout, [](const auto&) {});
    }
}

peer_handlers daemon_app::make_peer_handlers()
{
    peer_handlers handlers;
    handlers.probe = [this](const wire::probe_request& request) {
        if (!members_) {
            throw std::runtime_error("starting");
        }
        return members_->answer_probe(request);
    };
    handlers.hold = [this](const wire::hold_request& request) {
        const auto host = cells_->find(cell_id(request.cell));
        if (host) {
            return host->hold(request);
        }
        wire::hold_reply reply;
        reply.__set_incarnation(self_.str());
        reply.__set_reason("cell is not known here");
        return reply;
    };
    handlers.tell_cells = [this](const std::string& sender, const std::vector<wire::cell_news>& news) {
        static_cast<void>(sender);
        see_cell_news(news);
    };
    handlers.inbox_hint = [this](const cell_id& cell) {
        const auto host = cells_->find(cell);
        if (host) {
            host->post(cell_inbox_hinted{});
        }
    };
    handlers.push_settings = [this](const wire::settings_push& push) { return settings_keeper_->take_push(push); };
    handlers.pull_settings = [this](std::int64_t newer_than) { return settings_keeper_->newer_than(newer_than); };
    handlers.report = [this](const std::string& what) -> std::string {
        if (what == "burn") {
            return format_report(own_report()).dump();
        }
        return jobs_->own_parts(what);
    };
    return handlers;
}

} // namespace skylarkhub
