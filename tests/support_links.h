// Links of a few instances, in virtual time: what is under way over one at the same time shares it equally.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::test {

class shared_links {
public:
    // Runs a step after some time.
    using run_later = std::function<void(duration, std::function<void()>)>;
    // Somebody whose link is never the narrow one.
    static constexpr int wide = -1;

    // `bytes_per_s`: of each link, in each direction.
    shared_links(double bytes_per_s, run_later later) : bytes_per_s_(bytes_per_s), later_(std::move(later)) {}

    // `arrived` runs once the last byte is there. Returns the transfer's name.
    std::int64_t send(int from, int to, std::size_t bytes, std::function<void()> arrived);
    // Its remaining bytes leave the link; nothing happens when it has arrived.
    void give_up(std::int64_t transfer);
    // That have arrived at `to` so far, also those of transfers that were given up.
    double bytes_to(int to) const;

private:
    struct transfer {
        int from = wide;
        int to = wide;
        double left = 0;
        std::function<void()> arrived;
    };
    void advance();

    double bytes_per_s_;
    run_later later_;
    std::map<std::int64_t, transfer> transfers_;
    std::map<int, double> bytes_to_;
    std::int64_t last_ = 0;
    bool advancing_ = false;
};

} // namespace skylarkhub::test
