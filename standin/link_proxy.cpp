#include "link_proxy_p.h"

#include <absl/strings/numbers.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>

#include "platform_timer_p.h"

namespace skylarkhub::standin {

namespace {

using namespace std::chrono_literals;

constexpr int look_ms = 3; // bytes that are delayed leave this much late at most
constexpr int backlog = 128;
constexpr std::size_t held_most = 1 << 20; // bytes of one way, then its sender has to wait
constexpr std::size_t read_most = 64 << 10;

sockaddr_in to_sockaddr(const net_address& address)
{
    const std::string& text = address.str();
    const std::size_t colon = text.rfind(':');
    sockaddr_in out{};
    int port = 0;
    out.sin_family = AF_INET;
    if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port) ||
        inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr) != 1) {
        throw std::runtime_error("no address: " + text);
    }
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    return out;
}

void prepare(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    fcntl(fd, F_SETFL, O_NONBLOCK);
}

void close_by_reset(int fd)
{
    const linger at_once{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close(fd);
}

} // namespace

link_proxy::link_proxy() : thread_([this] { run(); }) {}

link_proxy::~link_proxy()
{
    stopping_ = true;
    thread_.join();
    absl::MutexLock lock(&mutex_);
    for (connection& c : connections_) {
        close_both(c, true);
    }
    for (const link& l : links_) {
        close(l.listener);
    }
}

int link_proxy::add(const net_address& listens, const net_address& leads_to)
{
    const sockaddr_in address = to_sockaddr(listens);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd, backlog) != 0) {
        close(fd);
        throw std::runtime_error("cannot listen on " + listens.str());
    }
    absl::MutexLock lock(&mutex_);
    links_.push_back({fd, leads_to, {}});
    return static_cast<int>(links_.size()) - 1;
}

void link_proxy::set_faults(int number, const link_faults& faults)
{
    absl::MutexLock lock(&mutex_);
    links_.at(static_cast<std::size_t>(number)).faults = faults;
}

void link_proxy::reset(int number)
{
    absl::MutexLock lock(&mutex_);
    for (connection& c : connections_) {
        c.broken = c.broken || c.link == number;
    }
}

void link_proxy::silence(int number)
{
    absl::MutexLock lock(&mutex_);
    for (connection& c : connections_) {
        c.silent = c.silent || c.link == number;
    }
}

void link_proxy::close_both(connection& c, bool reset)
{
    for (const int fd : {c.up.from, c.up.to}) {
        if (reset) {
            close_by_reset(fd);
        }
        else {
            close(fd);
        }
    }
}

void link_proxy::accept_on(std::size_t number) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const link& l = links_[number];
    while (true) {
        const int client = accept4(l.listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
            return;
        }
        const sockaddr_in address = to_sockaddr(l.leads_to);
        const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (l.faults.refuses || connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            close_by_reset(client);
            close(server);
            continue;
        }
        prepare(client);
        prepare(server);
        connection& c = connections_.emplace_back();
        c.link = static_cast<int>(number);
        c.up.from = c.down.to = client;
        c.up.to = c.down.from = server;
    }
}

void link_proxy::read_from(way& w, duration delay)
{
    std::array<char, read_most> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recv
    while (!w.from_closed && w.bytes < held_most) {
        const ssize_t got = recv(w.from, buffer.data(), buffer.size(), 0);
        if (got > 0) {
            w.waiting.push_back({read_clock() + delay, std::string(buffer.data(), static_cast<std::size_t>(got))});
            w.bytes += static_cast<std::size_t>(got);
            continue;
        }
        w.from_closed = got == 0 || (errno != EAGAIN && errno != EINTR);
        return;
    }
}

void link_proxy::write_to(connection& c, way& w, bool held)
{
    while (!held && !w.waiting.empty() && w.waiting.front().due <= read_clock()) {
        std::string& bytes = w.waiting.front().bytes;
        const ssize_t sent = send(w.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0) {
            c.broken = c.broken || (errno != EAGAIN && errno != EINTR);
            return;
        }
        w.bytes -= static_cast<std::size_t>(sent);
        bytes.erase(0, static_cast<std::size_t>(sent));
        if (!bytes.empty()) {
            return;
        }
        w.waiting.pop_front();
    }
    if (w.from_closed && w.waiting.empty() && !held && !w.over) {
        shutdown(w.to, SHUT_WR);
        w.over = true;
    }
}

void link_proxy::step(connection& c) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const link_faults& faults = links_[static_cast<std::size_t>(c.link)].faults;
    read_from(c.up, faults.delay);
    read_from(c.down, faults.delay);
    write_to(c, c.up, faults.to_server_held || c.silent);
    write_to(c, c.down, faults.to_client_held || c.silent);
}

void link_proxy::run()
{
    while (!stopping_) {
        std::vector<pollfd> sockets;
        {
            absl::MutexLock lock(&mutex_);
            for (std::size_t i = 0; i < links_.size(); ++i) {
                accept_on(i);
            }
            for (auto c = connections_.begin(); c != connections_.end();) {
                step(*c);
                // A silent connection is put away once its client has gone.
                const bool over = (c->up.over && c->down.over) || (c->silent && c->up.from_closed);
                if (over || c->broken) {
                    close_both(*c, c->broken);
                    c = connections_.erase(c);
                    continue;
                }
                ++c;
            }
            for (const link& l : links_) {
                sockets.push_back({l.listener, POLLIN, 0});
            }
            for (const connection& c : connections_) {
                for (const way* const w : {&c.up, &c.down}) {
                    if (!w->from_closed && w->bytes < held_most) {
                        sockets.push_back({w->from, POLLIN, 0});
                    }
                }
            }
        }
        poll(sockets.data(), sockets.size(), look_ms);
    }
}

} // namespace skylarkhub::standin
