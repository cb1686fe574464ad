#include "daemon_requests_p.h"

#include <absl/hash/hash.h>

#include <algorithm>

#include "daemon_answers_p.h"
#include "daemon_api_p.h"

namespace skylarkhub {

request_router::request_router(data_centre_id own, incarnation_id self, request_edges edges)
    : own_(std::move(own)), self_(std::move(self)), edges_(std::move(edges))
{}

std::shared_ptr<service_gate> request_router::ensure(const service_id& service)
{
    absl::MutexLock lock(&mutex_);
    auto& gate = gates_[service];
    if (!gate) {
        const std::uint64_t seed = absl::HashOf(self_.str(), service.str());
        gate = std::make_shared<service_gate>(service, own_, self_, edges_, seed);
        gate->post(entries_);
        if (stopping_) {
            gate->post(gate_stop_planned{});
        }
    }
    return gate;
}

std::vector<std::shared_ptr<service_gate>> request_router::all() const
{
    absl::MutexLock lock(&mutex_);
    std::vector<std::shared_ptr<service_gate>> out;
    out.reserve(gates_.size());
    for (const auto& [service, gate] : gates_) {
        out.push_back(gate);
    }
    return out;
}

void request_router::serve(const service_id& service, http_request request, http_reply reply)
{
    std::shared_ptr<service_gate> gate;
    {
        absl::MutexLock lock(&mutex_);
        const auto found = gates_.find(service);
        if (found != gates_.end()) {
            gate = found->second;
        }
    }
    if (!gate) {
        reply(answer_without_gate(service));
        return;
    }
    gate->serve(request_number(next_number_.fetch_add(1)), std::move(request), std::move(reply));
}

http_response request_router::answer_without_gate(const service_id& service) const
{
    const auto rules = edges_.rules(service);
    if (!rules) {
        return answer_without_settings();
    }
    if (rules->named) {
        return answer_not_done(503, "unavailable", "", "no target of " + service.str() + " is known yet");
    }
    return answer_not_done(404, "unknown_service", "service", "no service named " + service.str());
}

void request_router::see_targets(target_source source, const std::map<service_id, std::vector<seen_target>>& targets)
{
    for (const auto& [service, list] : targets) {
        ensure(service);
    }
    std::map<service_id, std::shared_ptr<service_gate>> gates;
    {
        absl::MutexLock lock(&mutex_);
        gates = gates_;
    }
    for (const auto& [service, gate] : gates) {
        const auto found = targets.find(service);
        gate->post(targets_seen{source, found == targets.end() ? std::vector<seen_target>() : found->second});
    }
}

void request_router::see_services(const std::vector<service_id>& services)
{
    for (const service_id& service : services) {
        ensure(service);
    }
}

void request_router::see_entries(const entries_seen& entries)
{
    {
        absl::MutexLock lock(&mutex_);
        entries_ = entries;
    }
    for (const auto& gate : all()) {
        gate->post(entries);
    }
}

void request_router::tick()
{
    for (const auto& gate : all()) {
        gate->post(gate_tick{});
    }
}

void request_router::plan_stop()
{
    {
        absl::MutexLock lock(&mutex_);
        stopping_ = true;
    }
    for (const auto& gate : all()) {
        gate->post(gate_stop_planned{});
    }
}

bool request_router::drained() const
{
    const auto gates = all();
    return std::all_of(gates.begin(), gates.end(), [](const auto& gate) { return gate->drained(); });
}

void request_router::refresh_settings()
{
    for (const auto& gate : all()) {
        gate->refresh_settings();
    }
}

std::map<service_id, gate_stats> request_router::stats() const
{
    std::map<service_id, std::shared_ptr<service_gate>> gates;
    {
        absl::MutexLock lock(&mutex_);
        gates = gates_;
    }
    std::map<service_id, gate_stats> out;
    for (const auto& [service, gate] : gates) {
        out.emplace(service, gate->stats());
    }
    return out;
}

} // namespace skylarkhub
