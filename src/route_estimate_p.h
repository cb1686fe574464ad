// Estimates of service times, in microseconds.
#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <cmath>

#include "config.h"

namespace skylarkhub {

// A mean that weighs new answers more and, without new ones, falls back to what is believed of the whole service: an
// old bad figure must not keep a target out of use for ever, since a target that gets no work gives no new figures.
class service_time {
public:
    void learn(instant now, double micros, double believed)
    {
        const double before = at(now, believed);
        if (now - learnt_ > config::service_time_memory / 2) {
            count_ = config::service_time_prior;
        }
        count_ += 1;
        mean_ = before + std::max(config::service_time_gain, 1.0 / count_) * (micros - before);
        learnt_ = now;
        known_ = true;
    }
    double at(instant now, double believed) const
    {
        if (!known_) {
            return believed;
        }
        const double age = static_cast<double>((now - learnt_).count());
        const double memory = static_cast<double>(config::service_time_memory.count());
        return age < memory / 100 ? mean_ : believed + (mean_ - believed) * std::exp(-age / memory);
    }

private:
    double mean_ = 0;
    instant learnt_{};
    int count_ = config::service_time_prior;
    bool known_ = false;
};

// One quantile over the last full window of answers, so that it follows the load; 0 before the first window is full.
class recent_quantile {
public:
    explicit recent_quantile(double probability) : probability_(probability), window_(fresh()) {}

    void learn(double micros)
    {
        window_(micros);
        count_ += 1;
        if (count_ >= config::quantile_window) {
            last_ = boost::accumulators::p_square_quantile(window_);
            window_ = fresh();
            count_ = 0;
        }
    }
    double value() const { return last_; }

private:
    using accumulator =
        boost::accumulators::accumulator_set<double,
                                             boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
    accumulator fresh() const { return accumulator(boost::accumulators::quantile_probability = probability_); }

    double probability_;
    accumulator window_;
    int count_ = 0;
    double last_ = 0;
};

} // namespace skylarkhub
