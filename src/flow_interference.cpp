#include "flow_interference_p.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace skylarkhub {

namespace {

constexpr int matrix_width = interference_model::filling_most;
constexpr double coefficient_default = 1.5;   // of a pair without samples
constexpr double ridge = 0.02;                // (load * share)^2: weight of the prior coefficients
constexpr double memory = 0.985;              // factor of the samples' weight at each refit
constexpr int samples_to_publish = 30;        // of a serving image before other cells get its coefficients
constexpr double idle_tail_default = 1 / 4.5; // share of the target, before the first sample
// An idle tail latency is estimated below the lowest sample, since no sampled task is fully idle.
constexpr double idle_share_of_least = 0.8;
// Share of the target. Lower estimates are unreliable, since tail latencies are reported in whole milliseconds.
constexpr double idle_tail_least = 1 / 12.0;
constexpr double idle_tail_most = 1 / 2.0; // share of the target; more would exclude all filling work
// Share of the capacity. Above it the tail latency reflects a backlog, not the load.
constexpr double utilization_most = 0.95;
constexpr double tail_wanted = 0.95; // share of the target: a margin, since samples are rounded and late
// Limit also beside an idle serving task, since its load returns within seconds.
constexpr double tolerable_pressure_most = 2.5;
constexpr double load_least = 0.05;
constexpr double load_most = 0.9;

// Index of an element of the matrix fit::moments.
std::size_t matrix_index(int row, int column)
{
    return static_cast<std::size_t>(row) * static_cast<std::size_t>(matrix_width) + static_cast<std::size_t>(column);
}

// Solves a x = b by Cholesky decomposition; `a` is symmetric positive definite with n rows.
std::vector<double> solve(std::vector<double> a, std::vector<double> b, int n)
{
    const auto at = [n](int row, int column) {
        return static_cast<std::size_t>(row) * static_cast<std::size_t>(n) + static_cast<std::size_t>(column);
    };
    for (int j = 0; j < n; ++j) {
        for (int k = 0; k < j; ++k) {
            a[at(j, j)] -= a[at(j, k)] * a[at(j, k)];
        }
        a[at(j, j)] = std::sqrt(std::max(a[at(j, j)], 1e-9));
        for (int i = j + 1; i < n; ++i) {
            for (int k = 0; k < j; ++k) {
                a[at(i, j)] -= a[at(i, k)] * a[at(j, k)];
            }
            a[at(i, j)] /= a[at(j, j)];
        }
    }
    for (int i = 0; i < n; ++i) {
        for (int k = 0; k < i; ++k) {
            b[static_cast<std::size_t>(i)] -= a[at(i, k)] * b[static_cast<std::size_t>(k)];
        }
        b[static_cast<std::size_t>(i)] /= a[at(i, i)];
    }
    for (int i = n - 1; i >= 0; --i) {
        for (int k = i + 1; k < n; ++k) {
            b[static_cast<std::size_t>(i)] -= a[at(k, i)] * b[static_cast<std::size_t>(k)];
        }
        b[static_cast<std::size_t>(i)] /= a[at(i, i)];
    }
    return b;
}

} // namespace

interference_model::fit interference_model::make_fit(const std::string& name) const
{
    fit f;
    f.name = name;
    f.moments.assign(matrix_index(matrix_width, 0), 0);
    f.products.assign(matrix_width, 0);
    f.start.assign(filling_most, coefficient_default);
    f.interference_coefficient = f.start;
    return f;
}

double interference_model::idle_tail(const fit& f) const
{
    return f.least_tail == 0 ? idle_tail_default
                             : std::clamp(idle_share_of_least * f.least_tail, idle_tail_least, idle_tail_most);
}

void interference_model::note_tail(int serving, double tail)
{
    fit& f = serving_[static_cast<std::size_t>(serving)];
    f.least_tail = f.least_tail == 0 ? tail : std::min(f.least_tail, tail);
}

double interference_model::utilization(int serving, double tail) const
{
    return std::clamp(1 - idle_tail(serving_[static_cast<std::size_t>(serving)]) / tail, 0.0, utilization_most);
}

double interference_model::pressure(int serving, const std::vector<double>& shares) const
{
    const fit& f = serving_[static_cast<std::size_t>(serving)];
    double sum = 0;
    for (std::size_t i = 0; i < std::min(shares.size(), f.interference_coefficient.size()); ++i) {
        sum += f.interference_coefficient[i] * shares[i];
    }
    return sum;
}

double interference_model::estimate_load(int serving, double utilization, const std::vector<double>& shares) const
{
    return std::clamp(utilization / (1 + pressure(serving, shares)), load_least, load_most);
}

// The correction for filling work may be wrong by its own size, so the weight falls with the pressure. A task with a
// backlog gives no information on the load.
double interference_model::load_weight(int serving, double utilization, const std::vector<double>& shares) const
{
    if (utilization >= utilization_most) {
        return 0;
    }
    const double error_factor = 1 + 4 * pressure(serving, shares);
    return 1 / (error_factor * error_factor);
}

double interference_model::tolerable_pressure(int serving, double load) const
{
    const double utilization_wanted = 1 - idle_tail(serving_[static_cast<std::size_t>(serving)]) / tail_wanted;
    return std::clamp(utilization_wanted / std::clamp(load, load_least, load_most) - 1, 0.0, tolerable_pressure_most);
}

int interference_model::serving_index(const std::string& image)
{
    const auto at = std::find_if(serving_.begin(), serving_.end(), [&](const fit& f) { return f.name == image; });
    if (at != serving_.end()) {
        return static_cast<int>(at - serving_.begin());
    }
    serving_.push_back(make_fit(image));
    return static_cast<int>(serving_.size()) - 1;
}

int interference_model::filling_index(const std::string& image)
{
    const auto at = std::find(filling_names_.begin(), filling_names_.end(), image);
    if (at != filling_names_.end()) {
        return static_cast<int>(at - filling_names_.begin());
    }
    if (filling_count() == filling_most) {
        return filling_most - 1;
    }
    filling_names_.push_back(image);
    return filling_count() - 1;
}

void interference_model::learn(int serving, double utilization, double load, const std::vector<double>& shares)
{
    fit& f = serving_.at(static_cast<std::size_t>(serving));
    const std::size_t n = std::min<std::size_t>(shares.size(), filling_most);
    for (std::size_t i = 0; i < n; ++i) {
        const double xi = load * shares[i];
        if (xi == 0) {
            continue;
        }
        for (std::size_t j = 0; j < n; ++j) {
            f.moments[matrix_index(static_cast<int>(i), static_cast<int>(j))] += xi * load * shares[j];
        }
        f.products[i] += xi * (utilization - load);
    }
    ++f.samples;
}

void interference_model::refit()
{
    const int n = filling_count();
    const auto size = static_cast<std::size_t>(n);
    for (fit& f : serving_) {
        if (f.samples == 0) {
            continue;
        }
        std::vector<double> a(size * size);
        std::vector<double> b(size);
        for (int i = 0; i < n; ++i) {
            const auto row = static_cast<std::size_t>(i);
            for (int j = 0; j < n; ++j) {
                a[row * size + static_cast<std::size_t>(j)] = f.moments[matrix_index(i, j)];
            }
            a[row * size + row] += ridge;
            b[row] = f.products[row] + ridge * f.start[row];
        }
        const std::vector<double> x = solve(std::move(a), std::move(b), n);
        for (std::size_t i = 0; i < size; ++i) {
            f.interference_coefficient[i] = std::max(0.0, x[i]);
        }
        for (double& v : f.moments) {
            v *= memory;
        }
        for (double& v : f.products) {
            v *= memory;
        }
    }
}

double interference_model::interference_coefficient(int serving, int filling) const
{
    return serving_[static_cast<std::size_t>(serving)].interference_coefficient[static_cast<std::size_t>(filling)];
}

std::map<std::string, double> interference_model::learned() const
{
    std::map<std::string, double> out;
    for (const fit& f : serving_) {
        for (int i = 0; f.samples >= samples_to_publish && i < filling_count(); ++i) {
            const auto at = static_cast<std::size_t>(i);
            if (f.moments[matrix_index(i, i)] > 4 * ridge) {
                out[f.name + "|" + filling_names_[at]] = f.interference_coefficient[at];
            }
        }
    }
    return out;
}

void interference_model::seed_coefficient(const std::string& pair, double interference_coefficient)
{
    const auto bar = pair.find('|');
    if (bar == std::string::npos) {
        return;
    }
    const int serving = serving_index(pair.substr(0, bar));
    const int filling = filling_index(pair.substr(bar + 1));
    fit& f = serving_[static_cast<std::size_t>(serving)];
    double& start = f.start[static_cast<std::size_t>(filling)];
    start += 0.3 * (interference_coefficient - start);
    if (f.samples == 0) {
        f.interference_coefficient[static_cast<std::size_t>(filling)] = start;
    }
}

std::vector<int> choose_paces(const interference_model& model, const std::vector<serving_tolerance>& serving,
                              const std::vector<double>& shares)
{
    const auto worst_interference = [&](int filling) {
        double worst = 0;
        for (const serving_tolerance& s : serving) {
            worst = std::max(worst,
                             model.interference_coefficient(s.serving, filling) / std::max(s.tolerated_pressure, 0.05));
        }
        return worst;
    };
    std::vector<int> by_interference(shares.size());
    std::iota(by_interference.begin(), by_interference.end(), 0);
    std::vector<double> interference(shares.size());
    for (std::size_t i = 0; i < shares.size(); ++i) {
        interference[i] = worst_interference(static_cast<int>(i));
    }
    std::sort(by_interference.begin(), by_interference.end(), [&](int a, int b) {
        return interference[static_cast<std::size_t>(a)] < interference[static_cast<std::size_t>(b)];
    });
    std::vector<int> paces(shares.size(), 100);
    std::vector<double> tolerance_left;
    tolerance_left.reserve(serving.size());
    for (const serving_tolerance& s : serving) {
        tolerance_left.push_back(s.tolerated_pressure);
    }
    constexpr int pace_step = 10; // percent; finer steps do not justify an order to the worker
    for (const int filling : by_interference) {
        const double share = shares[static_cast<std::size_t>(filling)];
        if (share <= 0) {
            continue;
        }
        double pace_share = 1;
        for (std::size_t s = 0; s < serving.size(); ++s) {
            const double pressure = model.interference_coefficient(serving[s].serving, filling) * share;
            if (pressure > 0) {
                pace_share = std::min(pace_share, std::max(0.0, tolerance_left[s]) / pressure);
            }
        }
        const int pace = static_cast<int>(pace_share * 100) / pace_step * pace_step;
        paces[static_cast<std::size_t>(filling)] = pace;
        for (std::size_t s = 0; s < serving.size(); ++s) {
            tolerance_left[s] -= model.interference_coefficient(serving[s].serving, filling) * share * pace / 100.0;
        }
    }
    return paces;
}

} // namespace skylarkhub
