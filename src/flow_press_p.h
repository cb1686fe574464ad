// How filling work disturbs the serving tasks beside it: learned per pair of images from what serving tasks measure.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace skylarkhub {

// A log-linear model of the tail latency of a serving task of image s beside filling work:
//   ln(tail / target) = base(s) + sum over filling images f of press(s, f) * share(f)
// with share(f) the part of the worker's processors that tasks of f use. Fitted by ridge regression over what was
// measured, with a memory of a minute or so. Measured with nothing slowed: the model explains half of the variance of
// ln(tail) with shares smoothed over 0.8 s; most pairs press 0 to 2, one to three of nine press 5 to 12, and which
// these are differs from one serving image to the next. So it has to be learned, on every installation anew.
class interference_model {
public:
    // Small numbers for image names, given on first sight; filling images beyond filling_most share the last one.
    int serving_index(const std::string& image);
    int filling_index(const std::string& image);
    static constexpr int filling_most = 24;

    // `shares` by filling index; missing ones are 0.
    void learn(int serving, double log_tail, const std::vector<double>& shares);
    // Makes what was learned count; once a second or so.
    void refit();

    double press(int serving, int filling) const;
    double base(int serving) const;
    int serving_count() const { return static_cast<int>(serving_.size()); }
    const std::string& serving_name(int serving) const { return serving_[static_cast<std::size_t>(serving)].name; }
    const std::string& filling_name(int filling) const { return filling_names_[static_cast<std::size_t>(filling)]; }
    int filling_count() const { return static_cast<int>(filling_names_.size()); }

    // For other cells: presses by "SERVING|FILLING", of the pairs that were measured enough.
    std::map<std::string, double> learned() const;
    // What another cell has learned: the starting point for pairs not measured here.
    void hint(const std::string& pair, double press);

private:
    struct fit {
        std::string name;
        int samples = 0;
        std::vector<double> moments;  // of (shares, 1) with themselves, row by row
        std::vector<double> products; // of (shares, 1) with ln(tail)
        std::vector<double> start;    // what the fit is drawn towards where little was measured
        std::vector<double> press;
        double base = -0.9;
    };
    fit make_fit(const std::string& name) const;

    std::vector<fit> serving_;
    std::vector<std::string> filling_names_;
};

// The pace of filling work, in percent by filling image, that keeps the pressure on every serving image within what it
// bears. `shares`: what the tasks of each filling image would use at full pace. The images that press least go first,
// so that as much work as possible goes on.
struct serving_bearing {
    int serving = 0;
    double bears = 0; // of sum press * share
};
std::vector<int> choose_paces(const interference_model& model, const std::vector<serving_bearing>& serving,
                              const std::vector<double>& shares);

} // namespace skylarkhub
