// Runs functions at given times of the entry's monotonic clock, on one thread of its own.
#pragma once

#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <thread>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// The entry's monotonic clock. Goes on while the process is stopped and while the instance is suspended, so an entry
// that was frozen sees that time has passed.
instant read_clock();

class platform_timer {
public:
    platform_timer();
    ~platform_timer(); // drops what has not run yet
    platform_timer(const platform_timer&) = delete;
    platform_timer& operator=(const platform_timer&) = delete;

    // `work` must not block; it may call run_at.
    void run_at(instant due, std::function<void()> work);

private:
    void run();

    absl::Mutex mutex_;
    absl::CondVar changed_;
    std::multimap<instant, std::function<void()>> waiting_ ABSL_GUARDED_BY(mutex_);
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::thread thread_;
};

} // namespace skylarkhub
