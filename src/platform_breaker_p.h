// Holds calls back from a table that fails, and lets single ones through to see whether it is back.
#pragma once

#include <array>

#include "platform_backoff_p.h"
#include "platform_client_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// Without it every caller would send into the outage and wait for its timeout, and the table would come back under the
// load of all their retries at once. While open, an entry sends at most one probe a backoff interval for ownership and
// one for everything else; a probe is an ordinary call. Probes go by time, not one at a time: a probe that hangs in a
// slow table must not keep the next one, and with it the owners, from a table that is back.
class table_breaker {
public:
    bool admits(instant now, table_traffic traffic) const;
    void started(instant now, table_traffic traffic, table_random& random);
    // True when this answer closed it.
    bool succeeded();
    void failed(instant now, table_random& random);

    bool open() const { return open_; }
    // Until a call is let through; 0 when one would be now.
    duration wait(instant now, table_traffic traffic) const;

private:
    enum lane : std::uint8_t { ownership_lane, other_lane, lanes };
    static std::size_t lane_of(table_traffic traffic);

    bool open_ = false;
    int failures_ = 0; // in a row
    std::array<table_backoff, lanes> backoff_;
    std::array<instant, lanes> next_probe_{};
};

} // namespace skylarkhub
