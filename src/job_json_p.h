// Jobs as operators write them: JSON to job_spec and back, unknown fields refused, every error at once. Pure.
#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

#include "job_accept_p.h"

namespace skylarkhub {

// Empty when anything is wrong, with one error per field.
std::optional<job_spec> parse_job(const std::string& text, std::vector<field_error>* errors);
std::optional<job_spec> parse_job(const nlohmann::json& json, const std::string& path,
                                  std::vector<field_error>* errors);

nlohmann::json format_job_spec(const job_spec& spec);

} // namespace skylarkhub
