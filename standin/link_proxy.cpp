#include "link_proxy_p.h"

#include <absl/strings/numbers.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>

#include "platform_timer_p.h"

namespace skylarkhub::standin {

namespace {

constexpr duration look_interval = std::chrono::milliseconds(2); // what passes is late by this much at most
constexpr int backlog = 128;
constexpr std::size_t read_most = 64 << 10; // at a time

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
    for (const connection& c : connections_) {
        close_both(c);
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

void link_proxy::close_both(const connection& c)
{
    for (const int fd : {c.up.from, c.up.to}) {
        if (c.broken) {
            close_by_reset(fd);
        }
        else {
            close(fd);
        }
    }
}

void link_proxy::accept_on(int number) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const link& l = links_[static_cast<std::size_t>(number)];
    const sockaddr_in address = to_sockaddr(l.leads_to);
    for (int client = 0; (client = accept4(l.listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
        const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (l.faults.refuses || connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            close_by_reset(client);
            close(server);
            continue;
        }
        prepare(client);
        prepare(server);
        connection& c = connections_.emplace_back();
        c.link = number;
        c.up.from = c.down.to = client;
        c.up.to = c.down.from = server;
    }
}

void link_proxy::read_from(way& w, duration delay)
{
    std::array<char, read_most> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recv
    while (!w.closed) {
        const ssize_t got = recv(w.from, buffer.data(), buffer.size(), 0);
        if (got <= 0) {
            w.closed = got == 0 || (errno != EAGAIN && errno != EINTR);
            return;
        }
        w.waiting.emplace_back(read_clock() + delay, std::string(buffer.data(), static_cast<std::size_t>(got)));
    }
}

void link_proxy::write_to(connection& c, way& w, bool held)
{
    while (!held && !w.waiting.empty() && w.waiting.front().first <= read_clock()) {
        std::string& bytes = w.waiting.front().second;
        const ssize_t sent = send(w.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0) {
            c.broken = c.broken || (errno != EAGAIN && errno != EINTR);
            return;
        }
        bytes.erase(0, static_cast<std::size_t>(sent));
        if (bytes.empty()) {
            w.waiting.pop_front();
        }
    }
    if (w.closed && w.waiting.empty() && !held && !w.over) {
        shutdown(w.to, SHUT_WR);
        w.over = true;
    }
}

// False once the connection is over. A silent one is, once its client has gone.
bool link_proxy::step(connection& c) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const link_faults& faults = links_[static_cast<std::size_t>(c.link)].faults;
    read_from(c.up, faults.delay);
    read_from(c.down, faults.delay);
    write_to(c, c.up, faults.to_server_held || c.silent);
    write_to(c, c.down, faults.to_client_held || c.silent);
    return !c.broken && !(c.up.over && c.down.over) && !(c.silent && c.up.closed);
}

void link_proxy::run()
{
    while (!stopping_) {
        {
            absl::MutexLock lock(&mutex_);
            for (std::size_t i = 0; i < links_.size(); ++i) {
                accept_on(static_cast<int>(i));
            }
            for (auto c = connections_.begin(); c != connections_.end();) {
                if (step(*c)) {
                    ++c;
                    continue;
                }
                close_both(*c);
                c = connections_.erase(c);
            }
        }
        std::this_thread::sleep_for(look_interval);
    }
}

} // namespace skylarkhub::standin
