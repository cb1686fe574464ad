// Threads of the daemon. Work that must run one at a time goes through a strand; strands share the pool's threads.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace skylarkhub {

class work_pool {
public:
    explicit work_pool(int threads);
    ~work_pool();
    work_pool(const work_pool&) = delete;
    work_pool& operator=(const work_pool&) = delete;

    void post(std::function<void()> work);

    // Runs what was posted before, then ends the threads; later posts are dropped.
    void stop();

private:
    void run();

    absl::Mutex mutex_;
    std::deque<std::function<void()>> waiting_ ABSL_GUARDED_BY(mutex_);
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::vector<std::thread> threads_;
};

// Runs what is posted to it in order and never two at once. May be dropped while work is waiting: that work still runs.
class strand {
public:
    explicit strand(work_pool& pool) : shared_(std::make_shared<shared>(pool)) {}

    void post(std::function<void()> work);

private:
    struct shared {
        explicit shared(work_pool& p) : pool(p) {}
        work_pool& pool;
        absl::Mutex mutex;
        std::deque<std::function<void()>> waiting ABSL_GUARDED_BY(mutex);
        bool scheduled ABSL_GUARDED_BY(mutex) = false;
    };
    static void run_some(const std::shared_ptr<shared>& s);

    std::shared_ptr<shared> shared_;
};

} // namespace skylarkhub
