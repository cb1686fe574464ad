// Runs that fall behind: on a worker that has turned slow, or where tasks stand still.
#pragma once

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// How far a run has come, from the looks at its worker.
class run_progress {
public:
    // `held_back`: it is slowed on purpose, so that it does not get on tells nothing.
    void note(instant now, std::int32_t percent, bool held_back);

    // Nothing has moved for long, though nobody holds it back.
    bool stalled(instant now) const;
    // At its recent speed, what is left takes longer than running the whole task anew on a sound worker.
    bool slower_than_restart(instant now, duration estimate) const;

private:
    struct look {
        instant at{};
        std::int32_t percent = 0;
    };
    bool begun_ = false;
    instant moved_{}; // the newest look that showed it further, or held back
    look newest_;
    look recent_; // one to two speed windows ago: speeds count from here
    look next_recent_;
};

} // namespace skylarkhub
