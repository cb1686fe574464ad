#include "worker_delay_p.h"

#include <absl/time/clock.h>

#include <utility>

namespace skylarkhub::standin {

delay_queue::delay_queue() : thread_([this] { run(); }) {}

delay_queue::~delay_queue()
{
    {
        absl::MutexLock lock(&mutex_);
        stopping_ = true;
        changed_.Signal();
    }
    thread_.join();
}

void delay_queue::run_later(absl::Duration delay, std::function<void()> work)
{
    absl::MutexLock lock(&mutex_);
    const auto added = waiting_.emplace(absl::Now() + delay, std::move(work));
    if (added == waiting_.begin()) {
        changed_.Signal();
    }
}

void delay_queue::run()
{
    absl::MutexLock lock(&mutex_);
    while (!stopping_) {
        const auto first = waiting_.begin();
        if (first == waiting_.end()) {
            changed_.Wait(&mutex_);
            continue;
        }
        if (first->first > absl::Now()) {
            changed_.WaitWithDeadline(&mutex_, first->first);
            continue;
        }
        const std::function<void()> work = std::move(first->second);
        waiting_.erase(first);
        mutex_.Unlock();
        work();
        mutex_.Lock();
    }
}

} // namespace skylarkhub::standin
