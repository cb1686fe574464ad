// A site for a soak: entries as processes of their own, with the settings that the platform would render for them; the
// table, the workers and the links to both as stand-ins within this process. All on addresses of its own on loopback.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "flow_table_p.h"
#include "flow_workers_p.h"
#include "link_proxy_p.h"
#include "support_child.h"
#include "support_soak_checks.h"

namespace skylarkhub::tests {

inline constexpr const char* soak_host = "soak.example";
inline constexpr const char* soak_prefix = "/jobs/";

// What the machine of an entry holds, as its settings say.
struct soak_machine {
    int memory_mib = 260;
    int descriptors = 4100;
};

struct soak_size {
    int entries = 3;
    int workers = 6;
    int data_centres = 1;
    soak_machine machine = {};
};

class soak_site {
public:
    soak_site(std::uint64_t seed, const soak_size& size, soak_checks& checks);
    ~soak_site();
    soak_site(const soak_site&) = delete;
    soak_site& operator=(const soak_site&) = delete;

    int entry_count() const { return static_cast<int>(entries_.size()); }
    int worker_count() const { return size_.workers; }
    net_address callers_address(int entry) const { return address_of(entry, callers_port); }
    net_address readiness_address(int entry) const { return address_of(entry, readiness_port); }
    net_address peers_address(int entry) const { return address_of(entry, peers_port); }
    net_address metrics_address(int entry) const { return address_of(entry, metrics_port); }
    // Null while the entry is down.
    child* process(int entry) { return entries_.at(static_cast<std::size_t>(entry)).process.get(); }

    // --- entries ---
    void freeze(int entry);
    void thaw(int entry);
    // At once, as a loss of power; started again after `down`.
    void kill(int entry, duration down);
    // As planned: SIGTERM, and SIGKILL when it takes too long; started again `down` after its end.
    void stop(int entry, duration down);

    // --- the rest of the site ---
    standin::flow_table& table() { return table_; }
    standin::flow_workers& workers() { return workers_; }
    standin::link_proxy& links() { return links_; }
    int table_door(int entry) const { return entries_.at(static_cast<std::size_t>(entry)).door; }
    int table_link(int entry) const { return entries_.at(static_cast<std::size_t>(entry)).link; }
    int worker_link(int worker) const { return worker_links_.at(static_cast<std::size_t>(worker)); }

    int data_centre_count() const { return size_.data_centres; }
    // Writes or removes the operator's evacuation of a data centre.
    void set_evacuated(int data_centre, bool evacuated);

    // Starts what is due; to be called every few milliseconds. True while some entry is down or on its way out.
    bool look(instant now);
    const std::filesystem::path& folder() const { return folder_; }
    void remove_folder() const;

private:
    static constexpr int callers_port = 8161;
    static constexpr int readiness_port = 8167;
    static constexpr int peers_port = 7720;
    static constexpr int metrics_port = 9464; // as the template of the settings says
    struct entry_slot {
        std::unique_ptr<child> process; // empty while it is down
        int lives = 0;
        int door = 0;
        int link = 0;
        bool frozen = false;
        bool killed = false;
        bool leaving = false;
        instant kill_at = instant::max(); // of one that leaves
        duration down{0};
        instant start_at = instant::max();
    };
    net_address address_of(int entry, int port) const;
    std::string render_settings(int entry) const;
    void start_entry(int entry);
    void take_end(entry_slot& e, int number, instant now);

    soak_size size_;
    soak_checks& checks_;
    std::string network_; // first three parts of all addresses
    std::filesystem::path folder_;
    standin::flow_table table_;
    standin::flow_workers workers_;
    standin::link_proxy links_;
    std::vector<int> worker_links_;
    std::vector<entry_slot> entries_;
};

} // namespace skylarkhub::tests
