// Interference between filling work (background tasks on idle processors) and the serving tasks on the same worker,
// learned for each pair of images from the tail latencies that serving tasks report.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace skylarkhub {

// The utilization of a serving task is the share of its capacity in use, derived from its tail latency: a queue with
// the tail latency `idle` when unloaded has the tail latency idle / (1 - utilization). Beside filling work, utilization
// = load * (1 + sum over filling images f of coefficient(s, f) * share(f)) for the serving image s. `load` is the same
// for all tasks of a job; share(f) is the share of the worker's processors that tasks of f use. The sum is called the
// pressure. A few pairs of images interfere many times more than the others, and these pairs differ from one serving
// image to the next.
class interference_model {
public:
    // Index of an image, assigned on first use. Filling images beyond filling_most share the last index.
    int serving_index(const std::string& image);
    int filling_index(const std::string& image);
    static constexpr int filling_most = 24;

    // Tail latencies (`tail`) are relative to the target. note_tail records a sample, from which the tail latency of an
    // idle task is estimated.
    void note_tail(int serving, double tail);
    double utilization(int serving, double tail) const;
    // The load that follows from a utilization beside filling work with these shares, and the reliability of that
    // estimate, 0 to 1.
    double estimate_load(int serving, double utilization, const std::vector<double>& shares) const;
    double load_weight(int serving, double utilization, const std::vector<double>& shares) const;
    // Adds a sample. `load`: of the serving task's job at that time; `shares`: by filling index, missing ones are 0.
    void learn(int serving, double utilization, double load, const std::vector<double>& shares);
    // Computes the coefficients from the samples; called about once a second.
    void refit();

    // The highest pressure at which a serving task with this load stays within its latency target.
    double tolerable_pressure(int serving, double load) const;
    double pressure(int serving, const std::vector<double>& shares) const;

    double interference_coefficient(int serving, int filling) const;
    int serving_count() const { return static_cast<int>(serving_.size()); }
    const std::string& serving_name(int serving) const { return serving_[static_cast<std::size_t>(serving)].name; }
    const std::string& filling_name(int filling) const { return filling_names_[static_cast<std::size_t>(filling)]; }
    int filling_count() const { return static_cast<int>(filling_names_.size()); }

    // Coefficients by "SERVING|FILLING" of the pairs with enough samples, for other cells.
    std::map<std::string, double> learned() const;
    // Takes a coefficient from another cell as the prior for a pair.
    void seed_coefficient(const std::string& pair, double interference_coefficient);

private:
    struct fit {
        std::string name;
        int samples = 0;
        double least_tail = 0;        // lowest tail latency so far, relative to the target; 0: none
        std::vector<double> moments;  // matrix of the sums of products of load * shares, by rows
        std::vector<double> products; // sums of load * shares * (utilization - load)
        std::vector<double> start;    // prior coefficients, which prevail while there are few samples
        std::vector<double> interference_coefficient;
    };
    double idle_tail(const fit& f) const;
    fit make_fit(const std::string& name) const;

    std::vector<fit> serving_;
    std::vector<std::string> filling_names_;
};

// The highest pressure that the tasks of a serving image tolerate within their latency target.
struct serving_tolerance {
    int serving = 0;
    double tolerated_pressure = 0;
};
// Chooses the pace of filling work, in percent by filling image, that keeps the pressure on every serving image within
// its tolerance. `shares`: processors that the tasks of each filling image would use at full pace. Images with the
// least interference are served first, so that as much work as possible continues.
std::vector<int> choose_paces(const interference_model& model, const std::vector<serving_tolerance>& serving,
                              const std::vector<double>& shares);

} // namespace skylarkhub
