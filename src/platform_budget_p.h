// One entry's share of the platform's reads or writes a second, divided among the kinds of traffic.
#pragma once

#include <array>

#include "platform_client_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

inline constexpr std::size_t table_traffic_kinds = 4;

// Everything that is spent comes out of one common store of tokens, which fills at the rate of the budget. On top of
// that each kind has a guaranteed share, which it may spend when the common store is empty; the others then wait until
// the debt is filled up again. So no load of another kind starves ownership, work or settings, and the sum still keeps
// to the rate. Background traffic has no share and leaves half of the common store to the rest.
class table_budget {
public:
    table_budget(double per_second, duration burst);

    bool admits(instant now, table_traffic traffic);
    // Cost in rows. A call dearer than what is left is let in and paid off afterwards: what the common store does not
    // cover comes out of the kind's own share, so that its next call waits.
    void spend(instant now, table_traffic traffic, double cost);
    // Until `traffic` is let in when nothing else is spent meanwhile.
    duration wait(instant now, table_traffic traffic);
    // Empties the common store, so that a table that came back is met by the rate and not by a saved-up burst.
    void drain(instant now);

private:
    void fill(instant now);

    double per_second_;
    double common_most_;
    double common_;
    std::array<double, table_traffic_kinds> own_{};
    instant filled_{};
};

} // namespace skylarkhub
