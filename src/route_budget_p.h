// A budget that is a share of the requests: retries and hedges may not multiply load when everything fails at once.
#pragma once

#include <algorithm>

#include "config.h"

namespace skylarkhub {

// Each request saves up `share`, each extra send spends one whole. Sends stay below `share` of the requests plus the
// burst, whatever fails, so an overload cannot feed on its own retries.
class send_budget {
public:
    explicit send_budget(double share) : share_(share) {}

    void change_share(double share) { share_ = share; }
    void earn() { saved_ = std::min(saved_ + share_, config::budget_burst); }
    bool spend()
    {
        if (saved_ < 1) {
            return false;
        }
        saved_ -= 1;
        return true;
    }

private:
    double share_;
    double saved_ = config::budget_burst;
};

} // namespace skylarkhub
