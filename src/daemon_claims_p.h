// Durable claims of keyed requests that must not run twice: written to the table before any byte leaves for a target.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "platform_client_p.h"
#include "request_gate_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

struct claim_key {
    team_id team;
    std::string key;
    std::string fingerprint;
};
struct recorded_answer {
    int status = 0;
    std::string body;
    bool kept = true; // false: the answer was too large to keep, only its status is known
};
struct claim_reply {
    claim_outcome outcome = claim_outcome::unreachable;
    row_version version; // of our claim, when claimed
    std::optional<recorded_answer> answer;
    std::string reason;
};

class claim_store {
public:
    // `alive` tells whether an incarnation is believed to be running.
    claim_store(platform_client& platform, incarnation_id self, std::function<bool(const incarnation_id&)> alive);

    // Ends within `time_left`; `done` runs once on another thread. One `attempt` string names one try of one request.
    void claim(const claim_key& key, const std::string& attempt, duration time_left,
               std::function<void(claim_reply)> done);

    // Keeps the answer for the caller's own retries. Best effort: without it a retry is told that the outcome is
    // unknown.
    void record(const claim_key& key, row_version version, const recorded_answer& answer);

    // The claimed request certainly did not run: the same key may be claimed again. Written without a version check
    // when the claim's own outcome was unreachable, so that a claim still on its way finds the row taken.
    void release(const claim_key& key, std::optional<row_version> version);

private:
    void claim_from(const claim_key& key, const std::string& attempt, row_version version, duration time_left,
                    int tries, std::function<void(claim_reply)> done);
    claim_reply read_conflict(const claim_key& key, const table_row& row) const;

    platform_client& platform_;
    const incarnation_id self_;
    const std::function<bool(const incarnation_id&)> alive_;
};

} // namespace skylarkhub
