#include "flow_press_p.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace skylarkhub {

namespace {

constexpr int width = interference_model::filling_most + 1; // the last column is the base
constexpr double start_press = 1.5;                         // of a pair not measured: the median of measured ones
constexpr double start_base = -0.9;                         // a calm serving task is at 0.4 of its target
constexpr double ridge = 0.05;                              // as much as five looks at a tenth of a worker's processors
constexpr double ridge_base = 2.0;                          // as much as two looks
constexpr double memory = 0.985;      // of a refit, once a second: what is a minute old counts for 0.4
constexpr double log_tail_least = -2; // tails beyond these say no more than "far under" and "far over"
constexpr double log_tail_most = 2.5;
constexpr int samples_to_tell = 30; // before others are told

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
    f.press = f.start;
    f.base = start_base;
    return f;
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

void interference_model::learn(int serving, double log_tail, const std::vector<double>& shares)
{
    fit& f = serving_.at(static_cast<std::size_t>(serving));
    const double y = std::clamp(log_tail, log_tail_least, log_tail_most);
    std::vector<double> x(width, 0);
    std::copy_n(shares.begin(), std::min<std::size_t>(shares.size(), filling_most), x.begin());
    x[filling_most] = 1;
    for (int i = 0; i < width; ++i) {
        const double xi = x[static_cast<std::size_t>(i)];
        if (xi == 0) {
            continue;
        }
        for (int j = 0; j < width; ++j) {
            f.moments[cell_of(i, j)] += xi * x[static_cast<std::size_t>(j)];
        }
        f.products[static_cast<std::size_t>(i)] += xi * y;
    }
    ++f.samples;
}

void interference_model::refit()
{
    const int n = filling_count();
    for (fit& f : serving_) {
        if (f.samples == 0) {
            continue;
        }
        // Only the columns in use, the base last.
        std::vector<int> columns(static_cast<std::size_t>(n));
        std::iota(columns.begin(), columns.end(), 0);
        columns.push_back(filling_most);
        const int m = n + 1;
        const auto size = static_cast<std::size_t>(m);
        std::vector<double> a(size * size);
        std::vector<double> b(static_cast<std::size_t>(m));
        for (int i = 0; i < m; ++i) {
            const int ci = columns[static_cast<std::size_t>(i)];
            for (int j = 0; j < m; ++j) {
                a[static_cast<std::size_t>(i) * size + static_cast<std::size_t>(j)] =
                    f.moments[cell_of(ci, columns[static_cast<std::size_t>(j)])];
            }
            const bool base = i == n;
            a[static_cast<std::size_t>(i) * size + static_cast<std::size_t>(i)] += base ? ridge_base : ridge;
            b[static_cast<std::size_t>(i)] =
                f.products[static_cast<std::size_t>(ci)] +
                (base ? ridge_base * start_base : ridge * f.start[static_cast<std::size_t>(i)]);
        }
        const std::vector<double> x = solve(std::move(a), std::move(b), m);
        for (int i = 0; i < n; ++i) {
            f.press[static_cast<std::size_t>(i)] = std::max(0.0, x[static_cast<std::size_t>(i)]);
        }
        f.base = std::clamp(x[static_cast<std::size_t>(n)], -1.5, -0.3);
        for (double& v : f.moments) {
            v *= memory;
        }
        for (double& v : f.products) {
            v *= memory;
        }
    }
}

double interference_model::press(int serving, int filling) const
{
    return serving_[static_cast<std::size_t>(serving)].press[static_cast<std::size_t>(filling)];
}

double interference_model::base(int serving) const
{
    return serving_[static_cast<std::size_t>(serving)].base;
}

std::map<std::string, double> interference_model::learned() const
{
    std::map<std::string, double> out;
    for (const fit& f : serving_) {
        for (int i = 0; f.samples >= samples_to_tell && i < filling_count(); ++i) {
            const auto at = static_cast<std::size_t>(i);
            if (f.moments[cell_of(i, i)] > 4 * ridge) {
                out[f.name + "|" + filling_names_[at]] = f.press[at];
            }
        }
    }
    return out;
}

void interference_model::hint(const std::string& pair, double press)
{
    const auto bar = pair.find('|');
    if (bar == std::string::npos) {
        return;
    }
    const int serving = serving_index(pair.substr(0, bar));
    const int filling = filling_index(pair.substr(bar + 1));
    fit& f = serving_[static_cast<std::size_t>(serving)];
    double& start = f.start[static_cast<std::size_t>(filling)];
    start += 0.3 * (press - start);
    if (f.samples == 0) {
        f.press[static_cast<std::size_t>(filling)] = start;
    }
}

std::vector<int> choose_paces(const interference_model& model, const std::vector<serving_bearing>& serving,
                              const std::vector<double>& shares)
{
    const auto worst_press = [&](int filling) {
        double worst = 0;
        for (const serving_bearing& s : serving) {
            worst = std::max(worst, model.press(s.serving, filling) / std::max(s.bears, 0.05));
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
    for (const serving_bearing& s : serving) {
        left.push_back(s.bears);
    }
    constexpr int pace_grain = 10; // percent; finer steps are not worth an order
    for (const int filling : order) {
        const double share = shares[static_cast<std::size_t>(filling)];
        if (share <= 0) {
            continue;
        }
        double part = 1;
        for (std::size_t s = 0; s < serving.size(); ++s) {
            const double pressure = model.press(serving[s].serving, filling) * share;
            if (pressure > 0) {
                part = std::min(part, std::max(0.0, left[s]) / pressure);
            }
        }
        const int pace = static_cast<int>(part * 100) / pace_grain * pace_grain;
        paces[static_cast<std::size_t>(filling)] = pace;
        for (std::size_t s = 0; s < serving.size(); ++s) {
            left[s] -= model.press(serving[s].serving, filling) * share * pace / 100.0;
        }
    }
    return paces;
}

} // namespace skylarkhub
