// Runs functions at a later time, all on one thread: a request that takes 5 ms holds no thread for it.
#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <map>
#include <thread>

namespace skylarkhub::standin {

class delay_queue {
public:
    delay_queue();
    ~delay_queue(); // what is still waiting is dropped
    delay_queue(const delay_queue&) = delete;
    delay_queue& operator=(const delay_queue&) = delete;

    // Runs `work` once, `delay` from now; it must not block.
    void run_later(absl::Duration delay, std::function<void()> work);

private:
    void run();

    absl::Mutex mutex_;
    absl::CondVar changed_;
    std::multimap<absl::Time, std::function<void()>> waiting_ ABSL_GUARDED_BY(mutex_);
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::thread thread_;
};

} // namespace skylarkhub::standin
