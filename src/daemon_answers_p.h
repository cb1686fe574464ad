// Answers that several of the operators' calls share (docs/PROTOCOLS.md, "An entry, towards operators: bodies").
#pragma once

#include <string>
#include <vector>

#include "daemon_api_p.h"
#include "job_accept_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// Longest wait for the table to settle one change.
inline constexpr duration settle_time = std::chrono::seconds(4);

// An error that says nothing was done; a 503 also says when to come back.
http_response answer_not_done(int status, const std::string& error, const std::string& field,
                              const std::string& reason);

// To a request that needs the settings, while they were not read.
http_response answer_without_settings();

// Every mistake at once.
http_response answer_problems(int status, const std::vector<field_error>& errors);

// What an outcome of the table other than applied and conflict means for the caller.
http_response answer_table_failure(const table_result& result);

// The bearer token and the operation key that a change came with; empty when absent.
std::string read_token(const http_request& request);
std::string read_operation_key(const http_request& request);

} // namespace skylarkhub
