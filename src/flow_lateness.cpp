#include "flow_lateness_p.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace skylarkhub {

namespace {

using namespace std::chrono_literals;

// One long event makes one step of ten a second late; a second tells it from a queue that stays.
constexpr double smoothing_s = 1.0;
// Of one step: a freeze of seconds counts as a full queue, and is forgotten within seconds.
constexpr duration late_most = 2s;
// From here on a level is in force. A quiet entry of 0.07 of a core is 10 to 40 ms late, at times, for reading the list
// of workers. At 100 ms every start comes that much later. At 300 ms looks at loads that swing within seconds mislead.
// At 700 ms an answer that is waited for 900 ms, hold_timeout, is about to be taken for none, which would bring more
// work at the worst moment; a lease of 6 s, renewed with each exchange, has room for it still.
constexpr std::array<duration, 4> enter_at{0ms, 100ms, 300ms, 700ms};
// Left at half of it, one level at a time and not before it was so this long: what was left out comes back as load.
constexpr duration calm_time = 2s;
constexpr std::array<const char*, 4> names{"none", "looks", "filling", "exchanges"};

} // namespace

const char* name_of(flow_shed level)
{
    return names[static_cast<std::size_t>(level)];
}

bool flow_lateness::note(instant due, instant now)
{
    const duration sample = std::clamp<duration>(now - due, duration(0), late_most);
    const double elapsed = std::chrono::duration<double>(std::max<duration>(now - noted_, duration(0))).count();
    const double part = 1 - std::exp(-elapsed / smoothing_s);
    const bool first = noted_ == instant{};
    noted_ = now;
    if (first) {
        uncalm_ = now;
        return false; // nothing to smooth over yet
    }
    late_ += duration(static_cast<std::int64_t>(part * static_cast<double>((sample - late_).count())));
    const auto before = static_cast<std::size_t>(level_);
    std::size_t level = before;
    while (level + 1 < enter_at.size() && late_ >= enter_at[level + 1]) {
        ++level;
    }
    if (late_ * 2 >= enter_at[level] || level != before) {
        uncalm_ = now;
    }
    if (level > 0 && now - uncalm_ >= calm_time) {
        --level;
        uncalm_ = now;
    }
    level_ = static_cast<flow_shed>(level);
    return level != before;
}

} // namespace skylarkhub
