#include "support_links.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace skylarkhub::test {

namespace {

constexpr duration link_step = std::chrono::milliseconds(5);

} // namespace

std::int64_t shared_links::send(int from, int to, std::size_t bytes, std::function<void()> arrived)
{
    transfers_.emplace(++last_, transfer{from, to, static_cast<double>(bytes), std::move(arrived)});
    if (!std::exchange(advancing_, true)) {
        later_(link_step, [this] { advance(); });
    }
    return last_;
}

void shared_links::give_up(std::int64_t transfer)
{
    transfers_.erase(transfer);
}

double shared_links::bytes_to(int to) const
{
    const auto at = bytes_to_.find(to);
    return at == bytes_to_.end() ? 0 : at->second;
}

void shared_links::advance()
{
    std::map<int, int> out;
    std::map<int, int> in;
    for (const auto& [id, t] : transfers_) {
        ++out[t.from];
        ++in[t.to];
    }
    const double step_bytes = bytes_per_s_ * std::chrono::duration<double>(link_step).count();
    std::vector<std::function<void()>> arrived;
    for (auto at = transfers_.begin(); at != transfers_.end();) {
        transfer& t = at->second;
        const int sharers = std::max(t.from == wide ? 1 : out[t.from], t.to == wide ? 1 : in[t.to]);
        const double moved = std::min(t.left, step_bytes / sharers);
        t.left -= moved;
        bytes_to_[t.to] += moved;
        if (t.left > 0) {
            ++at;
            continue;
        }
        arrived.push_back(std::move(t.arrived));
        at = transfers_.erase(at);
    }
    for (const auto& what : arrived) {
        what();
    }
    advancing_ = !transfers_.empty();
    if (advancing_) {
        later_(link_step, [this] { advance(); });
    }
}

} // namespace skylarkhub::test
