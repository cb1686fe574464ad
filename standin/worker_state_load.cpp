#include "worker_state_load_p.h"

#include <boost/crc.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace skylarkhub::standin {

namespace {

constexpr duration run_time_unknown = std::chrono::seconds(10);
constexpr double coefficient_most = 3;
constexpr double idle_sensitivity = 0.2; // what a neighbour does to a service that is hardly used

// 0 to 1, the same in every process; absl's hash differs from one process to the next.
double draw_stable(const std::string& text)
{
    boost::crc_32_type crc;
    crc.process_bytes(text.data(), text.size());
    return static_cast<double>(crc.checksum()) / static_cast<double>(std::numeric_limits<std::uint32_t>::max());
}

double draw_factor(const task_id& task, const char* what, double size_error, std::uint64_t seed)
{
    const double exponent = 2 * draw_stable(fmt::format("{} {} {}", seed, what, task.job.str())) - 1;
    return std::pow(1 + size_error, exponent);
}

std::int64_t scale(std::int64_t value, double factor)
{
    return std::llround(static_cast<double>(value) * factor);
}

// The payload is the team's own text; whatever in it is no number from 0 is left alone.
void take_number(const nlohmann::json& payload, const char* key, double& value)
{
    const auto found = payload.find(key);
    if (found != payload.end() && found->is_number() && found->get<double>() >= 0) {
        value = std::min(found->get<double>(), 1e12);
    }
}

void take_number(const nlohmann::json& payload, const char* key, std::int64_t& value)
{
    auto number = static_cast<double>(value);
    take_number(payload, key, number);
    value = std::llround(number);
}

} // namespace

task_load read_load(const task_id& task, const job_spec& spec, double size_error, std::uint64_t seed)
{
    task_load load;
    load.used = spec.declared;
    load.used.cpu_millis = scale(spec.declared.cpu_millis, draw_factor(task, "cpu", size_error, seed));
    load.used.memory_mib = scale(spec.declared.memory_mib, draw_factor(task, "memory", size_error, seed));
    const duration declared = spec.run_time.count() > 0 ? spec.run_time : run_time_unknown;
    load.run_time = duration(scale(declared.count(), draw_factor(task, "run_time", size_error, seed)));
    const nlohmann::json payload = nlohmann::json::parse(spec.payload, nullptr, false);
    if (!payload.is_object()) {
        return load;
    }
    take_number(payload, "cpu_millis", load.used.cpu_millis);
    take_number(payload, "memory_mib", load.used.memory_mib);
    take_number(payload, "fail_at", load.fail_at);
    take_number(payload, "service_ms", load.service_ms);
    take_number(payload, "pressure", load.pressure);
    double run_time_ms = static_cast<double>(load.run_time.count()) / 1000;
    take_number(payload, "run_time_ms", run_time_ms);
    load.run_time = duration(std::llround(run_time_ms * 1000));
    return load;
}

double slowdown_of(const service_id& service, double load, const std::vector<neighbour>& neighbours, double noise)
{
    double pressed = 0;
    for (const neighbour& n : neighbours) {
        const double draw = draw_stable(service.str() + " beside " + n.kind.str());
        pressed += coefficient_most * draw * draw * n.pressure * n.cpu_share;
    }
    const double sensitivity = idle_sensitivity + (1 - idle_sensitivity) * std::clamp(load, 0.0, 1.0);
    return 1 + sensitivity * pressed + noise;
}

double round_share(double share)
{
    return std::floor(share * 1e4) / 1e4;
}

} // namespace skylarkhub::standin
