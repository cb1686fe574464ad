#include "support_calls_faults.h"

#include <array>

namespace skylarkhub::test {

using namespace std::chrono_literals;

namespace {

constexpr duration short_time = 1s;
constexpr duration long_time = 10s;

const auto all_faults = std::to_array<call_fault_case>({
    {"kill", [](call_world& w, const call_moment& m) { w.kill(m.entry, short_time); }},
    {"freeze", [](call_world& w, const call_moment& m) { w.freeze(m.entry, long_time); }},
    {"freeze for a moment", [](call_world& w, const call_moment& m) { w.freeze(m.entry, short_time); }},
    {"planned stop", [](call_world& w, const call_moment& m) { w.stop_by_plan(m.entry); }},
    {"target lost", [](call_world& w, const call_moment& m) { w.lose_target(m.target, long_time); }},
    {"target restarted", [](call_world& w, const call_moment& m) { w.lose_target(m.target, 0s); }},
    {"target stalls", [](call_world& w, const call_moment& m) { w.stall_target(m.target, long_time); }},
    {"target leaves", [](call_world& w, const call_moment& m) { w.leave(m.target, long_time); }},
    {"claims down", [](call_world& w, const call_moment&) { w.stop_claims(long_time); }},
    {"list stale", [](call_world& w, const call_moment&) { w.freeze_lists(long_time); }},
    {"connection refused", [](call_world& w, const call_moment&) { w.fault_exchange(call_fault::refused_connection); }},
    {"answer lost", [](call_world& w, const call_moment&) { w.fault_exchange(call_fault::answer_lost); }},
    {"answer late", [](call_world& w, const call_moment&) { w.fault_exchange(call_fault::answer_late); }},
    {"answer crossed", [](call_world& w, const call_moment&) { w.fault_exchange(call_fault::answer_crossed); }},
    {"answer cut short", [](call_world& w, const call_moment&) { w.fault_exchange(call_fault::answer_cut); }},
    {"effect late", [](call_world& w, const call_moment&) { w.fault_exchange(call_fault::effect_late); }},
});

} // namespace

std::span<const call_fault_case> call_faults()
{
    return all_faults;
}

} // namespace skylarkhub::test
