// Promises to operators: settings that were accepted, and due times of standing work.
#include <fmt/format.h>

#include <map>
#include <set>

#include "history_p.h"

namespace skylarkhub::detail {

namespace {

using entry_path = std::pair<entry_id, std::string>;

struct settings_watch {
    std::map<std::string, std::pair<settings_version, operation_id>> accepted; // newest of each path
    std::map<entry_path, settings_version> in_force;
    // When the entry must have the newest version of the path at the latest; absent when it has it.
    std::map<entry_path, std::pair<wall_time, settings_version>> owed;
    std::set<entry_id> here;
    std::set<entry_path> told; // one violation for each lag is enough
};

void owe(settings_watch& watch, const entry_id& entry, const std::string& path, wall_time by)
{
    const settings_version newest = watch.accepted[path].first;
    if (watch.here.contains(entry) && watch.in_force[{entry, path}] < newest) {
        watch.owed.try_emplace({entry, path}, by, newest);
    }
}

void find_overdue(settings_watch& watch, wall_time now, violations& found)
{
    for (const auto& [place, due] : watch.owed) {
        if (now > due.first && watch.told.insert(place).second) {
            found.push_back({{},
                             due.first,
                             fmt::format("{} has version {} of {}, not the accepted {}", place.first.str(),
                                         watch.in_force[place].value(), place.second, due.second.value())});
        }
    }
}

void note_accepted(settings_watch& watch, const settings_accepted& e, wall_time at, const history_limits& limits,
                   violations& found)
{
    auto& [version, operation] = watch.accepted[e.path];
    if (e.version == version && e.operation != operation) {
        found.push_back({{},
                         at,
                         fmt::format("version {} of {} was accepted from {} and from {}", version.value(), e.path,
                                     operation.str(), e.operation.str())});
    }
    if (e.version > version) {
        version = e.version;
        operation = e.operation;
        for (const entry_id& entry : watch.here) {
            owe(watch, entry, e.path, at + limits.settings);
        }
    }
}

void note_in_force(settings_watch& watch, const settings_in_force& e, wall_time at, const history_limits& limits,
                   violations& found)
{
    const entry_path place(e.entry, e.path);
    settings_version& version = watch.in_force[place];
    if (e.version < version) {
        found.push_back({{},
                         at,
                         fmt::format("{} went back from version {} of {} to {}", e.entry.str(), version.value(), e.path,
                                     e.version.value())});
    }
    version = e.version;
    const auto owed = watch.owed.find(place);
    if (owed != watch.owed.end() && version >= owed->second.second) {
        watch.owed.erase(owed);
        watch.told.erase(place);
        owe(watch, e.entry, e.path, at + limits.settings);
    }
}

void note_back(settings_watch& watch, const entry_back& e, wall_time at, const history_limits& limits)
{
    watch.here.insert(e.entry);
    for (const auto& [path, newest] : watch.accepted) {
        if (e.fresh) {
            watch.in_force.erase({e.entry, path});
        }
        owe(watch, e.entry, path, at + limits.settings);
    }
}

struct standing_life {
    wall_time first_due;
    duration period{0};
    wall_time until = wall_time::max();
    std::map<wall_time, std::set<job_id>> ran;
    std::set<wall_time> missed;
};

void check_due_times(const std::string& name, const standing_life& life, wall_time last, violations& found)
{
    if (life.period <= duration::zero()) {
        return;
    }
    for (wall_time due = life.first_due; due <= std::min(last, life.until); due += life.period) {
        if (!life.ran.contains(due) && !life.missed.contains(due)) {
            found.push_back({{}, due, name + " neither ran nor was told as missed"});
        }
    }
}

} // namespace

violations check_settings(const history& h, const history_limits& limits)
{
    violations found;
    settings_watch watch;
    each_event(
        h,
        [&](wall_time at, const settings_accepted& e) {
            find_overdue(watch, at, found);
            note_accepted(watch, e, at, limits, found);
        },
        [&](wall_time at, const settings_in_force& e) {
            find_overdue(watch, at, found);
            note_in_force(watch, e, at, limits, found);
        },
        [&](wall_time at, const entry_away& e) {
            find_overdue(watch, at, found);
            watch.here.erase(e.entry);
            std::erase_if(watch.owed, [&](const auto& o) { return o.first.first == e.entry; });
        },
        [&](wall_time at, const entry_back& e) { note_back(watch, e, at, limits); });
    find_overdue(watch, h.end(), found);
    return found;
}

violations check_standing(const history& h, const history_limits& limits)
{
    violations found;
    std::map<std::string, standing_life> lives;
    each_event(
        h,
        [&](wall_time, const standing_set& e) {
            lives[e.name].first_due = e.first_due;
            lives[e.name].period = e.period;
        },
        [&](wall_time at, const standing_removed& e) { lives[e.name].until = at; },
        [&](wall_time at, const standing_ran& e) {
            std::set<job_id>& jobs = lives[e.name].ran[e.due];
            jobs.insert(e.job);
            if (jobs.size() > 1) {
                found.push_back({{},
                                 at,
                                 fmt::format("one due time of {} ran as {} and as {}", e.name, jobs.begin()->str(),
                                             jobs.rbegin()->str())});
            }
        },
        [&](wall_time, const standing_missed& e) { lives[e.name].missed.insert(e.due); });
    for (const auto& [name, life] : lives) {
        check_due_times(name, life, h.end() - limits.standing, found);
    }
    return found;
}

} // namespace skylarkhub::detail
