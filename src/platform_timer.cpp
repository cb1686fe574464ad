#include "platform_timer_p.h"

#include <absl/time/time.h>

#include <ctime>

namespace skylarkhub {

// Not std::chrono::steady_clock, which stands still while the instance is suspended: an owner that wakes would hold its
// leases and its renewal for fresh, and act beside the one that has followed it.
instant read_clock()
{
    timespec at{};
    clock_gettime(CLOCK_BOOTTIME, &at);
    return instant(
        std::chrono::duration_cast<duration>(std::chrono::seconds(at.tv_sec) + std::chrono::nanoseconds(at.tv_nsec)));
}

platform_timer::platform_timer() : thread_([this] { run(); }) {}

platform_timer::~platform_timer()
{
    {
        absl::MutexLock lock(&mutex_);
        stopping_ = true;
        changed_.Signal();
    }
    thread_.join();
}

void platform_timer::run_at(instant due, std::function<void()> work)
{
    absl::MutexLock lock(&mutex_);
    const bool first = waiting_.empty() || due < waiting_.begin()->first;
    waiting_.emplace(due, std::move(work));
    if (first) {
        changed_.Signal();
    }
}

void platform_timer::run()
{
    absl::MutexLock lock(&mutex_);
    while (!stopping_) {
        if (waiting_.empty()) {
            changed_.Wait(&mutex_);
            continue;
        }
        const duration left = waiting_.begin()->first - read_clock();
        if (left > duration::zero()) {
            changed_.WaitWithTimeout(&mutex_, absl::Microseconds(left.count()));
            continue;
        }
        auto next = waiting_.extract(waiting_.begin());
        mutex_.Unlock();
        next.mapped()();
        next.mapped() = nullptr;
        mutex_.Lock();
    }
}

} // namespace skylarkhub
