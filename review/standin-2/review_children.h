// The entries that a script starts: processes of their own, with the settings that the platform would render.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::review {

struct entry_place {
    std::string name;
    std::string zone;
    std::string ip;
    net_address table; // the table's address, as the entry is told it
    net_address callers() const { return net_address(ip + ":8161"); }
    net_address readiness() const { return net_address(ip + ":8167"); }
};

class entries {
public:
    // `folder`: for settings and logs; `program`: as the deploy file names it; `settings_template`: the deploy file's.
    entries(std::string folder, std::string program, const std::string& settings_template);
    ~entries();
    entries(const entries&) = delete;
    entries& operator=(const entries&) = delete;

    int start(const entry_place& place);
    const entry_place& place(int number) const { return places_.at(static_cast<std::size_t>(number)); }
    int count() const { return static_cast<int>(places_.size()); }
    void signal(int number, int signal_number) const;
    // Kills the process and starts it again with the settings that it had.
    void restart(int number, duration down);
    // What the process holds in memory; 0 when it has gone.
    std::int64_t memory_bytes(int number) const;
    // Whether the process is still there.
    bool lives(int number) const;

private:
    std::string render(const entry_place& place) const;
    pid_t spawn(const entry_place& place) const;

    std::string folder_;
    std::string program_;
    std::string template_;
    std::vector<entry_place> places_;
    std::vector<pid_t> processes_;
};

} // namespace skylarkhub::review
