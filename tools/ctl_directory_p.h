// A directory of settings files: defaults.json, data_centre/NAME.json, team/NAME.json, and versions.json, where `apply`
// records the version on which each document is based.
#pragma once

#include <string>
#include <vector>

#include "settings_plan_p.h"

namespace skylarkhub::ctl {

// Reads what is there. Files that have no place in a tree are told as problems, by file name.
settings_directory read_directory(const std::string& path, std::vector<settings_problem>& problems);

// Every mistake of the documents, with the file as `document`. Without defaults.json the checks between documents are
// left out, since a team's directory need not hold the site's defaults; `checked_between` tells.
std::vector<settings_problem> check_documents(const std::string& path, const settings_directory& directory,
                                              const settings_directory& surroundings, bool& checked_between);

// False when the file cannot be written.
bool write_versions(const std::string& path, const std::map<std::string, settings_version>& versions);

} // namespace skylarkhub::ctl
