#include "flow_press_p.h"

#include <algorithm>

namespace skylarkhub {

namespace {

constexpr double rate = 0.15;         // of learning; a heavy image stands out after about ten looks at it
constexpr double base_rate = 0.01;    // the base hardly moves
constexpr double tail_most = 4.0;     // tails beyond this say no more than "far over"; they would swamp all else
constexpr double pressure_most = 40;  // tails of 4 at a tenth of the processors
constexpr double prior = 1.0;         // of an image not seen yet: a quarter of a worker raises the tail by 0.25
constexpr double least_share = 0.01;  // smaller ones tell nothing

} // namespace

double pressure_model::pressure(const std::string& image) const
{
    const auto at = pressures_.find(image);
    return at == pressures_.end() ? prior : at->second;
}

double pressure_model::predict(const std::vector<image_share>& shares) const
{
    double tail = base_;
    for (const auto& [image, share] : shares) {
        tail += pressure(image) * share;
    }
    return tail;
}

void pressure_model::learn(double tail_share, const std::vector<image_share>& shares)
{
    const double error = std::min(tail_share, tail_most) - predict(shares);
    double norm = 0.02;
    for (const auto& [image, share] : shares) {
        norm += share * share;
    }
    for (const auto& [image, share] : shares) {
        if (share < least_share) {
            continue;
        }
        double& p = pressures_.try_emplace(image, prior).first->second;
        p = std::clamp(p + rate * error * share / norm, 0.0, pressure_most);
    }
    base_ = std::clamp(base_ + base_rate * error, 0.1, 0.8);
}

} // namespace skylarkhub
