#include "support_fake_target.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>
#include <stdexcept>

namespace skylarkhub::test {

namespace {

const std::string head_end = "\r\n\r\n";

std::string find_header(const std::string& request, const std::string& name)
{
    const auto at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

// Bytes of the first whole request in `buffer`, 0 when there is none yet.
std::size_t whole_request(const std::string& buffer)
{
    const auto end = buffer.find(head_end);
    if (end == std::string::npos) {
        return 0;
    }
    const std::string length = find_header(buffer.substr(0, end + 2), "Content-Length");
    std::size_t body = 0;
    std::from_chars(length.data(), length.data() + length.size(), body);
    const std::size_t size = end + head_end.size() + body;
    return buffer.size() >= size ? size : 0;
}

std::string fill_in(std::string bytes, const std::string& id)
{
    const std::string mark = "{id}";
    for (auto at = bytes.find(mark); at != std::string::npos; at = bytes.find(mark, at + id.size())) {
        bytes.replace(at, mark.size(), id);
    }
    return bytes;
}

void reset_on_close(int connection)
{
    const linger at_once{1, 0};
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

} // namespace

std::string whole_answer(const std::string& body, const std::string& id, const std::string& more_headers)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n" + more_headers +
           "Content-Length: " + std::to_string(body.size()) + head_end + body;
}

std::string refusal(const std::string& id_line)
{
    return "HTTP/1.1 503 Service Unavailable\r\nDid-Not-Run: true\r\n" + id_line + "Content-Length: 0" + head_end;
}

fake_target::fake_target(script s, bool accepts) : script_(std::move(s)), listener_(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(listener_, generic, size) != 0 || listen(listener_, 16) != 0) {
        throw std::runtime_error("fake target cannot listen");
    }
    getsockname(listener_, generic, &size);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    if (accepts) {
        accepter_ = std::thread([this] { accept_all(); });
    }
}

fake_target::~fake_target()
{
    shutdown(listener_, SHUT_RDWR);
    if (accepter_.joinable()) {
        accepter_.join();
    }
    close(listener_);
    std::vector<std::thread> threads;
    {
        absl::MutexLock lock(&mutex_);
        for (const int connection : open_) {
            shutdown(connection, SHUT_RDWR);
        }
        threads.swap(threads_);
    }
    for (std::thread& t : threads) {
        t.join();
    }
    absl::MutexLock lock(&mutex_);
    for (const int connection : open_) {
        close(connection);
    }
}

net_address fake_target::address() const
{
    return net_address(address_);
}

int fake_target::requests_read() const
{
    absl::MutexLock lock(&mutex_);
    return requests_;
}

int fake_target::connections() const
{
    absl::MutexLock lock(&mutex_);
    return static_cast<int>(open_.size());
}

std::string fake_target::last_request() const
{
    absl::MutexLock lock(&mutex_);
    return last_request_;
}

void fake_target::accept_all()
{
    while (true) {
        const int connection = accept(listener_, nullptr, nullptr);
        if (connection < 0) {
            return;
        }
        absl::MutexLock lock(&mutex_);
        open_.push_back(connection);
        threads_.emplace_back([this, connection] { serve(connection); });
    }
}

void fake_target::serve(int connection)
{
    std::string buffer;
    std::string chunk(4096, '\0');
    while (true) {
        const ssize_t got = recv(connection, chunk.data(), chunk.size(), 0);
        if (got <= 0) {
            return;
        }
        buffer.append(chunk, 0, static_cast<std::size_t>(got));
        while (const std::size_t size = whole_request(buffer)) {
            const std::string request = buffer.substr(0, size);
            buffer.erase(0, size);
            if (!answer(connection, request)) {
                return;
            }
        }
    }
}

// False when the connection is not to be read any more. The descriptor stays open until the end of the test, so that no
// other connection gets its number.
bool fake_target::answer(int connection, const std::string& request)
{
    int number = 0;
    {
        absl::MutexLock lock(&mutex_);
        number = ++requests_;
        last_request_ = request;
    }
    const fake_answer planned = script_(number);
    if (planned.bytes) {
        const std::string bytes = fill_in(*planned.bytes, find_header(request, "Request-Id"));
        send_slowly(connection, bytes, planned.body_gap);
    }
    if (planned.after == after_answer::close) {
        shutdown(connection, SHUT_RDWR);
    }
    if (planned.after == after_answer::reset) {
        reset_on_close(connection);
        const int nowhere = socket(AF_INET, SOCK_STREAM, 0);
        dup2(nowhere, connection); // closes the connection and keeps its number taken
        close(nowhere);
    }
    return planned.after == after_answer::keep;
}

void fake_target::send_slowly(int connection, const std::string& bytes, duration gap)
{
    const std::size_t head = gap > duration(0) ? bytes.find(head_end) + head_end.size() : bytes.size();
    send(connection, bytes.data(), head, MSG_NOSIGNAL);
    for (std::size_t at = head; at < bytes.size(); ++at) {
        std::this_thread::sleep_for(gap);
        send(connection, &bytes[at], 1, MSG_NOSIGNAL);
    }
}

} // namespace skylarkhub::test
