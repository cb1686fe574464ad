// How much filling work disturbs the serving tasks beside it: learned from what serving tasks measure, per image.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <utility>
#include <vector>

namespace skylarkhub {

// Share of one worker's processors that tasks of an image use.
using image_share = std::pair<std::string, double>;

// An image that presses harder is kept away from serving tasks: a third of a worker raises a tail by half its target.
inline constexpr double hard_pressure = 1.5;

// A linear model of the tail latency of serving tasks, as a share of their target:
//   tail = base + sum over images of pressure(image) * share(image)
// fitted by normalised least mean squares as measurements come in. A few images press many times harder than the rest,
// and which they are is new on every installation, so it has to be learned within seconds from what each worker shows.
class pressure_model {
public:
    // One look at a worker: the worst tail there, and what filled beside it.
    void learn(double tail_share, const std::vector<image_share>& shares);

    // What another cell has learned, for images not seen here yet.
    void hint(const std::string& image, double pressure) { pressures_.try_emplace(image, pressure); }

    double pressure(const std::string& image) const;
    // What was learned of each image so far.
    const absl::flat_hash_map<std::string, double>& pressures() const { return pressures_; }
    double base() const { return base_; }
    double predict(const std::vector<image_share>& shares) const;

private:
    absl::flat_hash_map<std::string, double> pressures_;
    double base_ = 0.45;
};

} // namespace skylarkhub
