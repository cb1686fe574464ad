#include "ctl_directory_p.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "ctl_p.h"

namespace skylarkhub::ctl {

namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr const char* versions_file = "versions.json";

std::map<std::string, settings_version> read_versions(const fs::path& file, std::vector<settings_problem>& problems)
{
    std::map<std::string, settings_version> versions;
    const json value = json::parse(read_file(file.string()), nullptr, false);
    if (!value.is_object()) {
        problems.push_back({file.string(), "", "is not a JSON object"});
        return versions;
    }
    for (const auto& [path, version] : value.items()) {
        if (!parse_settings_path(path) || !version.is_number_unsigned()) {
            problems.push_back({file.string(), path, "must be a subtree with a version"});
            continue;
        }
        versions.emplace(path, settings_version(version.get<std::int64_t>()));
    }
    return versions;
}

std::string file_of(const std::string& directory, const std::string& path)
{
    return (fs::path(directory) / (path + ".json")).string();
}

} // namespace

settings_directory read_directory(const std::string& path, std::vector<settings_problem>& problems)
{
    settings_directory result;
    std::error_code error;
    if (!fs::is_directory(path, error)) {
        throw usage_error{path + ": is not a directory"};
    }
    for (auto at = fs::recursive_directory_iterator(path, error); at != fs::recursive_directory_iterator(); ++at) {
        const bool hidden = at->path().filename().string().starts_with(".");
        if (hidden && at->is_directory()) {
            at.disable_recursion_pending();
        }
        if (hidden || !at->is_regular_file() || at->path().extension() != ".json") {
            continue;
        }
        const std::string name = fs::relative(at->path(), path).generic_string();
        const std::string subtree = name.substr(0, name.size() - std::string_view(".json").size());
        if (name == versions_file) {
            result.versions = read_versions(at->path(), problems);
        }
        else if (parse_settings_path(subtree)) {
            result.documents.emplace(subtree, read_file(at->path().string()));
        }
        else {
            problems.push_back({at->path().string(), "",
                                "is no subtree; files are defaults.json, data_centre/NAME.json "
                                "and team/NAME.json"});
        }
    }
    return result;
}

std::vector<settings_problem> check_documents(const std::string& path, const settings_directory& directory,
                                              const settings_directory& surroundings, bool& checked_between)
{
    std::map<std::string, std::string> documents = directory.documents;
    documents.insert(surroundings.documents.begin(), surroundings.documents.end());
    checked_between = documents.contains("defaults");
    std::vector<settings_problem> problems;
    if (checked_between) {
        problems = check_settings(documents);
    }
    else {
        for (const auto& [name, document] : documents) {
            const std::vector<settings_problem> found = check_subtree(name, document);
            problems.insert(problems.end(), found.begin(), found.end());
        }
    }
    std::erase_if(problems, [&](const settings_problem& p) { return !directory.documents.contains(p.document); });
    for (settings_problem& problem : problems) {
        problem.document = file_of(path, problem.document);
    }
    return problems;
}

bool write_versions(const std::string& path, const std::map<std::string, settings_version>& versions)
{
    json value = json::object();
    for (const auto& [subtree, version] : versions) {
        value[subtree] = version.value();
    }
    // Renamed into place, so that a stop halfway leaves the old file whole.
    const fs::path file = fs::path(path) / versions_file;
    const fs::path fresh = file.string() + ".new";
    {
        std::ofstream out(fresh);
        out << value.dump(2) << '\n';
        if (!out.flush()) {
            return false;
        }
    }
    std::error_code error;
    fs::rename(fresh, file, error);
    return !error;
}

} // namespace skylarkhub::ctl
