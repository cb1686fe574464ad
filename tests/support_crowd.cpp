#include "support_crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace skylarkhub::tests {

namespace {

using namespace std::chrono_literals;

constexpr auto poll_interval = 5ms;
constexpr auto quiet_most = 3s; // without a byte sent by any client
constexpr auto watch_interval = 50ms;

sockaddr_in parse_address(const net_address& address)
{
    const std::string& text = address.str();
    const auto colon = text.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    std::uint16_t port = 0;
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    out.sin_port = htons(port);
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr) != 1) {
        throw std::runtime_error("not an address: " + text);
    }
    return out;
}

} // namespace

process_use read_use(pid_t process)
{
    process_use use;
    std::ifstream status(fmt::format("/proc/{}/status", process));
    std::string word;
    while (status >> word) {
        if (word == "VmHWM:") {
            constexpr std::int64_t kib_per_mib = 1024;
            status >> use.memory_mib;
            use.memory_mib /= kib_per_mib;
        }
    }
    std::error_code gone; // a descriptor may be closed while it is looked at
    for (const auto& file : std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", process), gone)) {
        use.sockets += std::filesystem::read_symlink(file, gone).string().rfind("socket:", 0) == 0 ? 1 : 0;
    }
    return use;
}

crowd::crowd(const crowd_plan& plan) : plan_(plan)
{
    const sockaddr_in address = parse_address(plan.to);
    for (int i = 0; i < plan.clients; ++i) {
        client c;
        c.socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (c.socket < 0 || connect(c.socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            throw std::runtime_error(fmt::format("client {} cannot connect to {}", i, plan.to.str()));
        }
        fcntl(c.socket, F_SETFL, O_NONBLOCK);
        clients_.push_back(c);
    }
}

crowd::~crowd()
{
    for (const client& c : clients_) {
        if (c.socket >= 0) {
            close(c.socket);
        }
    }
}

const std::string& crowd::part(int number) const
{
    if (number == 0) {
        return plan_.head;
    }
    return number <= plan_.pieces ? plan_.piece : plan_.tail;
}

// True if at least a byte has left.
bool crowd::send_some(client& c)
{
    bool moved = false;
    while (c.socket >= 0 && c.parts_sent < plan_.pieces + 2) {
        const std::string& bytes = part(c.parts_sent);
        if (c.sent == bytes.size()) {
            ++c.parts_sent;
            c.sent = 0;
            continue;
        }
        const ssize_t done = send(c.socket, bytes.data() + c.sent, bytes.size() - c.sent, MSG_NOSIGNAL);
        if (done <= 0) {
            if (errno != EAGAIN && errno != EINTR) {
                close(c.socket);
                c.socket = -1;
            }
            break;
        }
        c.sent += static_cast<std::size_t>(done);
        moved = true;
    }
    return moved;
}

void crowd::send_all(pid_t watched, process_use& use)
{
    auto moved_at = std::chrono::steady_clock::now();
    auto watched_at = moved_at;
    while (std::chrono::steady_clock::now() < moved_at + quiet_most) {
        bool moved = false;
        for (client& c : clients_) {
            moved = send_some(c) || moved;
        }
        const auto now = std::chrono::steady_clock::now();
        if (moved) {
            moved_at = now;
        }
        else {
            std::this_thread::sleep_for(poll_interval);
        }
        if (now >= watched_at + watch_interval) {
            const process_use seen = read_use(watched);
            use.memory_mib = std::max(use.memory_mib, seen.memory_mib);
            use.sockets = std::max(use.sockets, seen.sockets);
            watched_at = now;
        }
    }
}

} // namespace skylarkhub::tests
