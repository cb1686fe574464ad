// Detection of runs that fall behind because their worker became slow or stopped making progress.
#pragma once

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// Progress of a run, sampled in each exchange with its worker.
class run_progress {
public:
    // Adds a sample. `held_back`: the run is slowed on purpose, so that missing progress means nothing.
    void note(instant now, std::int32_t percent, bool held_back);

    // The run has made no progress for at least 1300 ms, although it was not slowed on purpose.
    bool stalled(instant now) const;
    // At its recent speed the rest of the run takes longer than a restart on a healthy worker; `estimate`: run time
    // there.
    bool slower_than_restart(instant now, duration estimate) const;

private:
    struct sample {
        instant at{};
        std::int32_t percent = 0;
    };
    bool begun_ = false; // there is a sample
    instant moved_{};    // time of the newest sample with progress, or with the run slowed on purpose
    sample newest_;
    sample recent_;      // one to two speed windows old: start of the interval that the speed is measured over
    sample next_recent_; // at most one speed window old: the next value of recent_
};

} // namespace skylarkhub
