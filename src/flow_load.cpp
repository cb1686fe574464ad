#include "flow_load_p.h"

#include <algorithm>
#include <cmath>

namespace skylarkhub {

namespace {

constexpr double pi = 3.14159265358979323846;
constexpr double load_least = 0.05;
constexpr double load_most = 0.9;
constexpr double load_default = 0.5;    // of a job without samples
constexpr double period_least_s = 4;    // a shorter period is over before a change of pace takes effect
constexpr double period_ratio = 1.06;   // of neighbouring candidates: close enough to stay in phase over memory_s
constexpr double memory_s = 15;         // decay time of a sinusoid's samples: one or two periods
constexpr double line_memory_s = 0.5;   // decay time of the line's samples
constexpr double line_ahead_most_s = 1; // the line is not extrapolated further than this
constexpr double line_ridge = 0.3;      // weight * s^2: keeps the line level while there are few samples
constexpr double amplitude_ridge = 0.5; // weight: keeps the amplitude small while there are few samples
constexpr double level_ridge = 0.2;     // weight: keeps the level near load_default while there are few samples
constexpr double score_memory = 0.999;  // factor of the former errors at each sample
constexpr double scored_least = 150;    // samples for a reliable period
constexpr double explained_least = 0.5; // share of the variance that a period has to explain

} // namespace

const std::array<double, load_forecast::candidates>& load_forecast::periods()
{
    static const auto all = [] {
        std::array<double, candidates> out{};
        for (std::size_t i = 0; i < candidates; ++i) {
            out[i] = period_least_s * std::pow(period_ratio, static_cast<double>(i));
        }
        return out;
    }();
    return all;
}

load_forecast::phase load_forecast::phase_at(double time, double period)
{
    const double angle = 2 * pi * time / period;
    return {std::cos(angle), std::sin(angle)};
}

void load_forecast::sinusoid::add(double kept, const phase& now, double load, double weight)
{
    const std::array<double, 6> squares{1, now.cos, now.sin, now.cos * now.cos, now.cos * now.sin, now.sin * now.sin};
    for (std::size_t i = 0; i < squares.size(); ++i) {
        moments[i] = kept * moments[i] + weight * squares[i];
    }
    const std::array<double, 3> row{1, now.cos, now.sin};
    for (std::size_t i = 0; i < row.size(); ++i) {
        products[i] = kept * products[i] + weight * load * row[i];
    }
    // Solves the three normal equations by Cramer's rule.
    const double a = moments[0] + level_ridge;
    const double b = moments[1];
    const double c = moments[2];
    const double d = moments[3] + amplitude_ridge;
    const double e = moments[4];
    const double f = moments[5] + amplitude_ridge;
    const double x = products[0] + level_ridge * load_default;
    const double y = products[1];
    const double z = products[2];
    const double inverse = 1 / (a * (d * f - e * e) - b * (b * f - c * e) + c * (b * e - c * d));
    solution[0] = (x * (d * f - e * e) - b * (y * f - e * z) + c * (y * e - d * z)) * inverse;
    solution[1] = (a * (y * f - e * z) - x * (b * f - c * e) + c * (b * z - c * y)) * inverse;
    solution[2] = (a * (d * z - y * e) - b * (b * z - c * y) + x * (b * e - c * d)) * inverse;
}

void load_forecast::line::add(double elapsed, double new_load, double new_weight)
{
    const double kept = std::exp(-elapsed / line_memory_s);
    age_squared = kept * (age_squared + 2 * elapsed * age + elapsed * elapsed * weight);
    age_load = kept * (age_load + elapsed * load);
    age = kept * (age + elapsed * weight);
    weight = kept * weight + new_weight;
    load = kept * load + new_weight * new_load;
}

double load_forecast::line::predict(double seconds) const
{
    if (weight < 1e-6) {
        return load_default;
    }
    const double mean_age = age / weight;
    const double slope = (age_load - mean_age * load) / (age_squared - mean_age * age + line_ridge);
    return load / weight - slope * (mean_age + std::clamp(seconds, 0.0, line_ahead_most_s));
}

void load_forecast::add(const job_id& job, double time, double load, double weight)
{
    job_load& known = jobs_[job];
    const bool first = known.samples == 0;
    const double elapsed = first ? 0 : std::max(0.0, time - known.time);
    const double kept = std::exp(-elapsed / memory_s);
    if (!first) {
        scored_weight_ = score_memory * scored_weight_ + weight;
        mean_ = score_memory * mean_ + weight * load;
        square_ = score_memory * square_ + weight * load * load;
    }
    if (time != phases_at_) {
        phases_at_ = time;
        for (std::size_t i = 0; i < candidates; ++i) {
            phases_[i] = phase_at(time, periods()[i]);
        }
    }
    for (std::size_t i = 0; i < candidates; ++i) {
        const phase& now = phases_[i];
        sinusoid& fit = known.sinusoids[i];
        if (!first) {
            // Scores the prediction before the sample becomes part of the fit.
            const double error = load - fit.at(now);
            errors_[i] = score_memory * errors_[i] + weight * error * error;
        }
        fit.add(kept, now, load, weight);
    }
    best_ = static_cast<std::size_t>(std::min_element(errors_.begin(), errors_.end()) - errors_.begin());
    known.recent.add(elapsed, load, weight);
    known.time = std::max(known.time, time);
    known.samples += weight;
}

double load_forecast::period() const
{
    if (scored_weight_ < scored_least * 0.5) {
        return 0;
    }
    const double mean = mean_ / scored_weight_;
    const double variance = square_ / scored_weight_ - mean * mean;
    return errors_[best_] / scored_weight_ < (1 - explained_least) * variance ? periods()[best_] : 0;
}

double load_forecast::at(const job_id& job, double time) const
{
    const auto known = jobs_.find(job);
    if (known == jobs_.end()) {
        return load_default;
    }
    const double fitted_period = period();
    double load = 0;
    if (fitted_period > 0) {
        load = known->second.sinusoids[best_].at(phase_at(time, fitted_period));
    }
    else {
        load = known->second.recent.predict(time - known->second.time);
    }
    return std::clamp(load, load_least, load_most);
}

} // namespace skylarkhub
