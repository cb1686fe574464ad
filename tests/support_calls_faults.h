// The faults that the request path is struck with; shared by its fault matrix and the random runs.
#pragma once

#include <span>
#include <string_view>

#include "support_calls.h"

namespace skylarkhub::test {

struct call_moment {
    int entry = 0;
    int target = 0;
};
struct call_fault_case {
    std::string_view name;
    void (*strike)(call_world& w, const call_moment& m);
};
std::span<const call_fault_case> call_faults();

} // namespace skylarkhub::test
