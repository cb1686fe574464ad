// How loaded the serving tasks of each job will be a moment from now.
#pragma once

#include <array>
#include <map>
#include <vector>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// Loads swing within seconds, each job's at its own moments. Looks arrive late and what is decided from them holds for
// a while, so a load that is only smoothed is behind, and filling work runs on where the next moment bears none. A
// swing of fitted period, phase and height is followed instead. The period is common to the jobs of a cell and found
// among candidates by how well each foretells the next look; where no swing explains at least half of what loads vary
// by, a line through the recent past is used.
class load_forecast {
public:
    // `time` in seconds, rising; `weight` 0 to 1.
    void add(const job_id& job, double time, double load, double weight);
    // Of a job never looked at: what a service that nothing is known of may have.
    double at(const job_id& job, double time) const;
    // Seconds; 0 while the loads do not swing as far as is known.
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

    // load = level + a * cos + b * sin, by least squares with forgetting.
    struct swing {
        std::array<double, 6> moments{}; // of (1, cos, sin): 11, 1c, 1s, cc, cs, ss
        std::array<double, 3> products{};
        std::array<double, 3> solution{};
        void add(double kept, const phase& now, double load, double weight);
        double at(const phase& p) const { return solution[0] + solution[1] * p.cos + solution[2] * p.sin; }
    };
    // A line through the recent past.
    struct line {
        double weight = 0;
        double age = 0;
        double age_squared = 0;
        double load = 0;
        double age_load = 0;
        void add(double elapsed, double load, double weight);
        double ahead(double seconds) const;
    };
    struct job_load {
        double time = 0;
        double looks = 0;
        line recent;
        std::array<swing, candidates> swings{};
    };
    std::map<job_id, job_load> jobs_;
    double phases_at_ = -1; // all looks of one exchange with a worker share their time
    std::array<phase, candidates> phases_{};
    std::array<double, candidates> errors_{}; // of each period's forecasts
    double judged_ = 0;
    double mean_ = 0;   // of loads
    double square_ = 0; // of loads
    std::size_t best_ = 0;
};

} // namespace skylarkhub
