// The operator's configuration: how an entry learns of it, and what it knows of newer ones.
#include <algorithm>

#include "flow_entry_p.h"
#include "flow_limits_p.h"
#include "log_line_p.h"

namespace skylarkhub {

using namespace flow_limits;

void flow_entry::watch_operator()
{
    edges_.watch_operator(operator_seen_, operator_wait, [this](instant then, const operator_page& page) {
        if (page.reached) {
            table_answered_ = then;
            operator_seen_ = page.history_gone ? row_version(0) : std::max(operator_seen_, page.version);
            if (page.config) {
                take_config(then, *page.config, page.config_text, "table");
            }
            watch_operator();
            return;
        }
        ++stats_.config_looks_unanswered;
        edges_.after(operator_retry, [this](instant) { watch_operator(); });
    });
}

// Versions only rise: a late answer of the table or a peer that is behind must not bring an older one back.
void flow_entry::take_config(instant now, flow_config config, std::string text, const char* from)
{
    if (config_ && config.version <= config_->version) {
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
    if (newest_config(now) <= config_->version) {
        behind_since_.reset();
    }
    tell_peers(now, false);
}

settings_version flow_entry::newest_config(instant now) const
{
    settings_version newest = config_version();
    for (const auto& [id, p] : peers_) {
        if (heard(p, now)) {
            newest = std::max(newest, p.config);
        }
    }
    return newest;
}

void flow_entry::note_config(instant now, peer& p, settings_version version)
{
    p.config = version;
    if (version <= config_version() || behind_since_) {
        return;
    }
    behind_since_ = now;
    edges_.note(log_level::info, "config", "behind",
                {{"version", std::to_string(config_version().value())},
                 {"newest", std::to_string(version.value())},
                 {"heard_from", p.identity.entry.str()}});
}

// At most one line a second: callers may ask for such a queue as often as they like.
void flow_entry::note_unknown_queue(instant now, const caller_request& request)
{
    ++stats_.unknown_queues;
    if (now < next_unknown_queue_line_) {
        return;
    }
    next_unknown_queue_line_ = now + unknown_queue_log_interval;
    edges_.note(log_level::info, "config", "unknown_queue",
                {{"host", request.host},
                 {"path", request.path},
                 {"version", std::to_string(config_version().value())},
                 {"newest", std::to_string(newest_config(now).value())}});
}

} // namespace skylarkhub
