// How late an entry runs, and what it leaves out so that what may not wait is in time.
#pragma once

#include <cstdint>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// What is left out, each with all before it. Never left out: renewals of leases and of cells' rows, stops, writing
// ends.
enum class flow_shed : std::uint8_t {
    none,
    looks,   // measures of tasks are read once a second, runs behind are not looked for, nothing is summed up or hinted
    filling, // waiting filling work is looked at once a second
    exchanges // workers are asked a few times a second, however many ends they have
};
const char* name_of(flow_shed level);

// Takes the entry's regular step, which queues behind everything else the entry has to do, as the measure of its queue.
class flow_lateness {
public:
    // The step that was due then runs now. True when the level has changed.
    bool note(instant due, instant now);
    flow_shed level() const { return level_; }
    // Smoothed.
    duration late() const { return late_; }

private:
    duration late_{0};
    instant noted_{};
    instant uncalm_{}; // when it was last too late for the level below
    flow_shed level_ = flow_shed::none;
};

} // namespace skylarkhub
