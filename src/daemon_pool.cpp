#include "daemon_pool_p.h"

namespace skylarkhub {

namespace {

// A busy strand gives the thread back after this many pieces of work, so that others get their turn.
constexpr int pieces_per_turn = 16;

} // namespace

work_pool::work_pool(int threads)
{
    threads_.reserve(static_cast<std::size_t>(threads));
    for (int i = 0; i < threads; ++i) {
        threads_.emplace_back([this] { run(); });
    }
}

work_pool::~work_pool()
{
    stop();
}

void work_pool::post(std::function<void()> work)
{
    absl::MutexLock lock(&mutex_);
    if (!stopping_) {
        waiting_.push_back(std::move(work));
    }
}

void work_pool::stop()
{
    {
        absl::MutexLock lock(&mutex_);
        stopping_ = true;
    }
    for (std::thread& thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void work_pool::run()
{
    while (true) {
        std::function<void()> work;
        {
            absl::MutexLock lock(&mutex_);
            const auto ready = [this]()
                                   ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return stopping_ || !waiting_.empty(); };
            mutex_.Await(absl::Condition(&ready));
            if (waiting_.empty()) {
                return;
            }
            work = std::move(waiting_.front());
            waiting_.pop_front();
        }
        work();
    }
}

void strand::post(std::function<void()> work)
{
    {
        absl::MutexLock lock(&shared_->mutex);
        shared_->waiting.push_back(std::move(work));
        if (shared_->scheduled) {
            return;
        }
        shared_->scheduled = true;
    }
    shared_->pool.post([s = shared_] { run_some(s); });
}

void strand::run_some(const std::shared_ptr<shared>& s)
{
    for (int i = 0; i < pieces_per_turn; ++i) {
        std::function<void()> work;
        {
            absl::MutexLock lock(&s->mutex);
            if (s->waiting.empty()) {
                s->scheduled = false;
                return;
            }
            work = std::move(s->waiting.front());
            s->waiting.pop_front();
        }
        work();
    }
    s->pool.post([s] { run_some(s); });
}

} // namespace skylarkhub
