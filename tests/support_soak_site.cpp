#include "support_soak_site.h"

#include <absl/strings/str_replace.h>
#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "settings_path.h"

namespace skylarkhub::tests {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

// The last parts of addresses, and ports, on a network of the process's own.
constexpr int table_host = 1;
constexpr int first_entry_host = 10;
constexpr int first_worker_host = 100;
constexpr int table_port = 8200;  // the first entry's door; its link stands at the entry's address
constexpr int worker_port = 8300; // a worker's own; its link has the next one

constexpr duration stop_most = 6s; // what a planned stop may take

// Two soaks at a time have process ids, and so networks, of their own. 127.0.x is left to everything else.
std::string pick_network()
{
    const int pid = getpid();
    return fmt::format("127.{}.{}", 1 + pid / 250 % 250, pid % 250);
}

std::string data_centre_of(int number, int data_centres)
{
    return fmt::format("dc{}", number % data_centres);
}

json make_config()
{
    const json route{{"name", "queue"},
                     {"host", soak_host},
                     {"path-prefix", soak_prefix},
                     {"service", "service"},
                     {"priority", 1},
                     {"max-attempts", soak_attempts_most},
                     {"slack-factor", 2},
                     {"target-latency-ms", 1000}};
    return {{"version", 1},
            {"routes", {route}},
            {"services", {{{"name", "service"}, {"preconditions", false}}}},
            {"limits", {{"max-body-bytes", 1 << 20}}}};
}

std::string read_template()
{
    const char* const source = std::getenv("SKYLARKHUB_SOURCE");
    const std::string path = fmt::format("{}/deploy/settings.json.tmpl", source == nullptr ? "." : source);
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error(path + " cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

soak_site::soak_site(std::uint64_t seed, const soak_size& size, soak_checks& checks)
    : size_(size),
      checks_(checks),
      network_(pick_network()),
      folder_(make_folder()),
      table_(seed),
      workers_(seed + 1, table_,
               [&checks](instant now, const standin::worker_sight& sight) { checks.note_sight(now, sight); }),
      entries_(static_cast<std::size_t>(size.entries))
{
    table_.put("op", "config", make_config().dump());
    for (int i = 0; i < size.workers; ++i) {
        const std::string host = fmt::format("{}.{}", network_, first_worker_host + i);
        const net_address listens(fmt::format("{}:{}", host, worker_port));
        const net_address listed(fmt::format("{}:{}", host, worker_port + 1));
        worker_links_.push_back(links_.add(listed, listens));
        const std::string data_centre = data_centre_of(i, size.data_centres);
        workers_.add({listens, listed, data_centre, fmt::format("{}-rack{}", data_centre, i / 3), soak_worker_room});
    }
    for (int i = 0; i < size.entries; ++i) {
        const net_address door(fmt::format("{}.{}:{}", network_, table_host, table_port + i));
        entry_slot& e = entries_[static_cast<std::size_t>(i)];
        e.door = table_.open_door(door);
        e.link = links_.add(address_of(i, table_port), door);
        start_entry(i);
    }
}

soak_site::~soak_site()
{
    entries_.clear();
}

void soak_site::remove_folder() const
{
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

net_address soak_site::address_of(int entry, int port) const
{
    return net_address(fmt::format("{}.{}:{}", network_, first_entry_host + entry, port));
}

void soak_site::set_evacuated(int data_centre, bool evacuated)
{
    const std::string key = "evacuate/" + data_centre_of(data_centre, size_.data_centres);
    if (evacuated) {
        table_.put("op", key, "{}");
    }
    else {
        table_.remove("op", key);
    }
    std::vector<int> places;
    for (int i = data_centre; i < size_.workers; i += size_.data_centres) {
        places.push_back(i);
    }
    checks_.note_evacuation(read_clock(), places, evacuated);
}

// Fills the project's own template in, as the platform does at every start.
std::string soak_site::render_settings(int entry) const
{
    const std::string ip = fmt::format("{}.{}", network_, first_entry_host + entry);
    const std::map<std::string, json> values{
        {"node-name", fmt::format("entry-{}", entry)},
        {"zone", data_centre_of(entry, size_.data_centres)},
        {"ip", ip},
        {"listen-addrs.front", callers_address(entry).str()},
        {"listen-addrs.ready-addr", readiness_address(entry).str()},
        {"port-range.0", peers_port},
        {"platform.address", address_of(entry, table_port).str()},
        {"recommendation", nullptr},
        {"cloud-api.address", nullptr},
        {"limits.cores", 1},
        {"limits.cpu-share", 1},
        {"limits.memory-mb", size_.machine.memory_mib},
        {"limits.max-fds", size_.machine.descriptors},
        {"platform.row-bytes", standin::row_bytes_most},
    };
    std::string text = read_template();
    for (const auto& [name, value] : values) {
        const std::string plain = value.is_string() ? value.get<std::string>() : value.dump();
        text = absl::StrReplaceAll(text, {{"{{" + name + "|json}}", value.dump()}, {"{{" + name + "}}", plain}});
    }
    return text;
}

void soak_site::start_entry(int number)
{
    entry_slot& e = entries_.at(static_cast<std::size_t>(number));
    const std::filesystem::path settings = folder_ / fmt::format("entry-{}.json", number);
    std::ofstream(settings) << render_settings(number);
    e.process = std::make_unique<child>(
        folder_, fmt::format("entry-{}-{}", number, ++e.lives), "skylarkhubd", std::vector<std::string>{"--platform"},
        std::vector<std::string>{fmt::format("{}={}", platform::settings_path_variable, settings.string())});
    e.frozen = e.killed = e.leaving = false;
    e.kill_at = e.start_at = instant::max();
}

void soak_site::freeze(int number)
{
    entry_slot& e = entries_.at(static_cast<std::size_t>(number));
    if (e.process) {
        e.process->signal(SIGSTOP);
        e.frozen = true;
    }
}

void soak_site::thaw(int number)
{
    entry_slot& e = entries_.at(static_cast<std::size_t>(number));
    if (e.process) {
        e.process->signal(SIGCONT);
        e.frozen = false;
    }
}

void soak_site::kill(int number, duration down)
{
    entry_slot& e = entries_.at(static_cast<std::size_t>(number));
    if (e.process) {
        e.process->signal(SIGKILL);
        e.killed = true;
        e.down = down;
    }
}

void soak_site::stop(int number, duration down)
{
    entry_slot& e = entries_.at(static_cast<std::size_t>(number));
    if (e.process && !e.leaving) {
        e.process->signal(SIGTERM);
        e.leaving = true;
        e.kill_at = read_clock() + stop_most;
        e.down = down;
    }
}

void soak_site::take_end(entry_slot& e, int number, instant now)
{
    const int status = e.process->wait_end();
    e.process.reset();
    e.start_at = now + e.down;
    if (!e.killed && !(e.leaving && status == 0)) {
        checks_.report(
            fmt::format("entry {} has ended by itself, status {} (log entry-{}-{})", number, status, number, e.lives));
    }
}

bool soak_site::look(instant now)
{
    bool impaired = false;
    for (int i = 0; i < entry_count(); ++i) {
        entry_slot& e = entries_[static_cast<std::size_t>(i)];
        if (e.process && !e.process->running()) {
            take_end(e, i, now);
        }
        if (e.process && now >= e.kill_at) {
            kill(i, e.down);
            e.kill_at = instant::max();
        }
        if (!e.process && now >= e.start_at) {
            start_entry(i);
            impaired = true;
        }
        impaired = impaired || !e.process || e.frozen || e.killed || e.leaving;
    }
    return impaired;
}

} // namespace skylarkhub::tests
