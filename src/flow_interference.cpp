#include "flow_interference_p.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace skylarkhub {

namespace {

constexpr int width = interference_model::filling_most;
constexpr double start_press = 1.5;     // busy per load and share, of a pair not looked at
constexpr double ridge = 0.02;          // (load * share)^2: the weight of the starting point
constexpr double memory = 0.985;        // kept at each refit of what was learned
constexpr int samples_to_tell = 30;     // looks before others are told
constexpr double idle_start = 1 / 4.5;  // of the target: the tail of an idle serving task, before one was seen
constexpr double idle_of_least = 0.8;   // of the least tail seen: no look finds a task quite idle
constexpr double idle_least = 1 / 12.0; // of the target; tails come in whole milliseconds, so a low one says little
constexpr double idle_most = 1 / 2.0;   // of the target; else nothing could run beside it
constexpr double busy_most = 0.95;      // of its capacity; beyond it the tail tells of a backlog, not of the load
constexpr double tail_wanted = 0.95;    // of the target: looks are rounded and late
constexpr double bearable_most = 2.5;   // pressure, even on an idle one: its load comes back within seconds
constexpr double load_least = 0.05;
constexpr double load_most = 0.9;
// Where a fit's moments keep the product of two columns.
std::size_t cell_of(int row, int column)
{
    return static_cast<std::size_t>(row) * static_cast<std::size_t>(width) + static_cast<std::size_t>(column);
}

// Solves a x = b for a symmetric positive definite a of n rows (Cholesky); a and b are used up.
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
    f.moments.assign(cell_of(width, 0), 0);
    f.products.assign(width, 0);
    f.start.assign(filling_most, start_press);
    f.interference_coefficient = f.start;
    return f;
}

double interference_model::idle_tail(const fit& f) const
{
    return f.least_tail == 0 ? idle_start : std::clamp(idle_of_least * f.least_tail, idle_least, idle_most);
}

void interference_model::note_tail(int serving, double tail)
{
    fit& f = serving_[static_cast<std::size_t>(serving)];
    f.least_tail = f.least_tail == 0 ? tail : std::min(f.least_tail, tail);
}

double interference_model::utilization(int serving, double tail) const
{
    return std::clamp(1 - idle_tail(serving_[static_cast<std::size_t>(serving)]) / tail, 0.0, busy_most);
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

// What the model takes off for filling work may be wrong by as much again; a backlog tells nothing of the load.
double interference_model::load_weight(int serving, double utilization, const std::vector<double>& shares) const
{
    if (utilization >= busy_most) {
        return 0;
    }
    const double off = 1 + 4 * pressure(serving, shares);
    return 1 / (off * off);
}

double interference_model::tolerable_pressure(int serving, double load) const
{
    const double busy_wanted = 1 - idle_tail(serving_[static_cast<std::size_t>(serving)]) / tail_wanted;
    return std::clamp(busy_wanted / std::clamp(load, load_least, load_most) - 1, 0.0, bearable_most);
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
            f.moments[cell_of(static_cast<int>(i), static_cast<int>(j))] += xi * load * shares[j];
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
                a[row * size + static_cast<std::size_t>(j)] = f.moments[cell_of(i, j)];
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
        for (int i = 0; f.samples >= samples_to_tell && i < filling_count(); ++i) {
            const auto at = static_cast<std::size_t>(i);
            if (f.moments[cell_of(i, i)] > 4 * ridge) {
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
    const auto worst_press = [&](int filling) {
        double worst = 0;
        for (const serving_tolerance& s : serving) {
            worst = std::max(worst,
                             model.interference_coefficient(s.serving, filling) / std::max(s.tolerated_pressure, 0.05));
        }
        return worst;
    };
    std::vector<int> order(shares.size());
    std::iota(order.begin(), order.end(), 0);
    std::vector<double> presses(shares.size());
    for (std::size_t i = 0; i < shares.size(); ++i) {
        presses[i] = worst_press(static_cast<int>(i));
    }
    std::sort(order.begin(), order.end(), [&](int a, int b) {
        return presses[static_cast<std::size_t>(a)] < presses[static_cast<std::size_t>(b)];
    });
    std::vector<int> paces(shares.size(), 100);
    std::vector<double> left;
    left.reserve(serving.size());
    for (const serving_tolerance& s : serving) {
        left.push_back(s.tolerated_pressure);
    }
    constexpr int pace_grain = 10; // percent; finer steps are not worth an order
    for (const int filling : order) {
        const double share = shares[static_cast<std::size_t>(filling)];
        if (share <= 0) {
            continue;
        }
        double part = 1;
        for (std::size_t s = 0; s < serving.size(); ++s) {
            const double pressure = model.interference_coefficient(serving[s].serving, filling) * share;
            if (pressure > 0) {
                part = std::min(part, std::max(0.0, left[s]) / pressure);
            }
        }
        const int pace = static_cast<int>(part * 100) / pace_grain * pace_grain;
        paces[static_cast<std::size_t>(filling)] = pace;
        for (std::size_t s = 0; s < serving.size(); ++s) {
            left[s] -= model.interference_coefficient(serving[s].serving, filling) * share * pace / 100.0;
        }
    }
    return paces;
}

} // namespace skylarkhub
