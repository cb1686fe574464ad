// Forecast of the load of serving tasks, by job, for the next second or so.
#pragma once

#include <array>
#include <map>
#include <vector>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// Loads are periodic within seconds, with a phase of their own for each job. Samples arrive late and decisions based on
// them stay in force for a while, so a smoothed load lags, and filling work (background tasks on idle processors) would
// run on while the load of serving tasks rises. Instead a sinusoid is fitted to the samples of each job. Its period is
// common to all jobs of a cell: the candidate that predicts the next samples best. If no period explains at least half
// of the variance of the loads, a line through the recent samples is used.
class load_forecast {
public:
    // Adds a sample of the load of a job. `time` in seconds, not decreasing; `weight` 0 to 1.
    void add(const job_id& job, double time, double load, double weight);
    // Expected load of a job at `time`; without samples a load that an unknown service may have.
    double at(const job_id& job, double time) const;
    // Period of the loads in seconds; 0 while no period is known to fit.
    double period() const;
    void forget(const job_id& job) { jobs_.erase(job); }
    void clear() { jobs_.clear(); }

private:
    static constexpr std::size_t candidates = 42;
    struct phase {
        double cos = 0;
        double sin = 0;
    };
    static phase phase_at(double time, double period);
    static const std::array<double, candidates>& periods();

    // Fit of load = level + a * cos + b * sin by least squares; older samples lose weight exponentially.
    struct sinusoid {
        std::array<double, 6> moments{};  // sums of the products of (1, cos, sin): 11, 1c, 1s, cc, cs, ss
        std::array<double, 3> products{}; // sums of load * (1, cos, sin)
        std::array<double, 3> solution{}; // level, a, b
        void add(double kept, const phase& now, double load, double weight);
        double at(const phase& p) const { return solution[0] + solution[1] * p.cos + solution[2] * p.sin; }
    };
    // Weighted line through the recent samples: sums of weight, age, age squared, load, and age times load.
    struct line {
        double weight = 0;
        double age = 0;
        double age_squared = 0;
        double load = 0;
        double age_load = 0;
        void add(double elapsed, double load, double weight);
        double predict(double seconds) const;
    };
    struct job_load {
        double time = 0;    // of the newest sample
        double samples = 0; // sum of weights
        line recent;
        std::array<sinusoid, candidates> sinusoids{}; // by candidate period
    };
    std::map<job_id, job_load> jobs_;
    // Cache of the phases at phases_at_, since all samples from one exchange with a worker share their time.
    double phases_at_ = -1;
    std::array<phase, candidates> phases_{};
    std::array<double, candidates> errors_{}; // sum of squared forecast errors, by candidate period
    double scored_weight_ = 0;                // sum of the weights of the samples in errors_, mean_ and square_
    double mean_ = 0;                         // weighted sum of loads
    double square_ = 0;                       // weighted sum of squared loads
    std::size_t best_ = 0;                    // index of the period with the least error
};

} // namespace skylarkhub
