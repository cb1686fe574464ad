// What operators see of jobs: the parts of one job, told by the owners of its cells, put together. Pure.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

#include "peer_types.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// One cell's part of a job; `running` is what the owner's workers report, 0 when only the table was asked.
struct job_part {
    std::string cell;
    wire::job_row row;
    std::int32_t running = 0;
};

// The parts as text, for another entry, and back; parts that cannot be read are left out.
std::string format_parts(const std::vector<job_part>& parts);
std::vector<job_part> parse_parts(const std::string& text);

// JOB of docs/PROTOCOLS.md from its parts, at least one; with the tasks one by one when `whole`.
nlohmann::json format_job(const std::vector<job_part>& parts, bool whole);

} // namespace skylarkhub
