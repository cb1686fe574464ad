// How filling work disturbs the serving tasks beside it: learned per pair of images from what serving tasks measure.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace skylarkhub {

// How busy a serving task is, from the tail latency it measures: the share of its capacity that its load takes up. A
// queue whose tail is `idle` with nothing to do has a tail of idle / (1 - busy), and beside filling work
// busy = load * (1 + sum over filling images f of press(s, f) * share(f)). `load` is the service's own, the same for
// all tasks of its job; share(f) is the part of the worker's processors that tasks of f use. A few pairs press many
// times more than the others, and which these are differs from one serving image to the next.
class interference_model {
public:
    // Small numbers for image names, given on first sight; filling images beyond filling_most share the last one.
    int serving_index(const std::string& image);
    int filling_index(const std::string& image);
    static constexpr int filling_most = 24;

    // `tail` is a share of the target.
    void note_tail(int serving, double tail);
    double utilization(int serving, double tail) const;
    // The load that a look tells of, beside filling work of these shares; and how far to believe it, 0 to 1.
    double estimate_load(int serving, double utilization, const std::vector<double>& shares) const;
    double load_weight(int serving, double utilization, const std::vector<double>& shares) const;
    // `load`: of the serving task's job at the time of the look. `shares` by filling index; missing ones are 0.
    void learn(int serving, double utilization, double load, const std::vector<double>& shares);
    // Makes what was learned count; once a second or so.
    void refit();

    // The pressure (sum of press * share) beside which a serving task of this load stays within its target.
    double tolerable_pressure(int serving, double load) const;
    double pressure(int serving, const std::vector<double>& shares) const;

    double interference_coefficient(int serving, int filling) const;
    int serving_count() const { return static_cast<int>(serving_.size()); }
    const std::string& serving_name(int serving) const { return serving_[static_cast<std::size_t>(serving)].name; }
    const std::string& filling_name(int filling) const { return filling_names_[static_cast<std::size_t>(filling)]; }
    int filling_count() const { return static_cast<int>(filling_names_.size()); }

    // For other cells: presses by "SERVING|FILLING", of the pairs that were measured enough.
    std::map<std::string, double> learned() const;
    // What another cell has learned: the starting point for pairs not measured here.
    void seed_coefficient(const std::string& pair, double interference_coefficient);

private:
    struct fit {
        std::string name;
        int samples = 0;
        double least_tail = 0;        // seen so far, as a share of the target; 0: none
        std::vector<double> moments;  // of load * shares with themselves, row by row
        std::vector<double> products; // of load * shares with busy - load
        std::vector<double> start;    // what the fit is drawn towards where little was measured
        std::vector<double> interference_coefficient;
    };
    double idle_tail(const fit& f) const;
    fit make_fit(const std::string& name) const;

    std::vector<fit> serving_;
    std::vector<std::string> filling_names_;
};

// The pace of filling work, in percent by filling image, that keeps the pressure on every serving image within what it
// bears. `shares`: what the tasks of each filling image would use at full pace. The images that press least go first,
// so that as much work as possible goes on.
struct serving_tolerance {
    int serving = 0;
    double tolerated_pressure = 0; // of sum press * share
};
std::vector<int> choose_paces(const interference_model& model, const std::vector<serving_tolerance>& serving,
                              const std::vector<double>& shares);

} // namespace skylarkhub
