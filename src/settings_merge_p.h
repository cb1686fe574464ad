// Levels of the settings tree laid over one another, the most general first.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "settings.pb.h"
#include "settings_parse_p.h"

namespace skylarkhub::detail {

using settings_levels = std::vector<const settings::subtree*>;
using parsed_subtrees = std::map<std::string, const settings::subtree*, std::less<>>;

// What holds where the tree says nothing. Work that does not say otherwise runs at most once and in one place: a kind
// that forgot to say so must not be retried.
const settings::subtree& built_in_settings();
const settings::work_kind& built_in_kind();

settings::work_kind merge_kind(const settings_levels& levels, const std::string& name);
settings::service_class merge_service(const settings_levels& levels, const std::string& name);
settings::team_quota merge_quota(const settings_levels& levels);
settings::request_limits merge_requests(const settings_levels& levels);

// Mistakes between documents that are each right on their own.
std::vector<settings_problem> check_between(const parsed_subtrees& subtrees);

} // namespace skylarkhub::detail
