#include "peer_channel_p.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstring>
#include <deque>
#include <thread>
#include <vector>

#include "platform_timer_p.h"

namespace skylarkhub {

namespace {

constexpr std::size_t length_bytes = sizeof(std::uint32_t);

timeval to_timeval(duration d)
{
    const auto us = std::max<std::int64_t>(0, d.count());
    return {us / 1'000'000, us % 1'000'000};
}

struct event_deleter {
    void operator()(event* e) const { event_free(e); }
    void operator()(event_base* b) const { event_base_free(b); }
    void operator()(bufferevent* b) const { bufferevent_free(b); }
};

} // namespace

struct peer_channel::engine {
    struct connection;

    struct call {
        engine* owner = nullptr;
        peer_channel::message message;
        std::function<void(peer_frame_result)> done;
        instant deadline{};
        std::string refusal; // why it must not be sent at all
        std::unique_ptr<event, event_deleter> timer;
        connection* carrier = nullptr; // empty while it waits
    };

    // Carries one call at a time, so an answer can only be that call's; one that timed out closes its connection, so a
    // late answer cannot be taken for the next call's.
    struct connection {
        engine* owner = nullptr;
        net_address to;
        std::unique_ptr<bufferevent, event_deleter> stream;
        std::unique_ptr<call> current;
        bool connected = false;
    };

    struct peer {
        std::vector<std::unique_ptr<connection>> connections;
        std::deque<std::unique_ptr<call>> waiting;
    };

    explicit engine(limits given) : l(given), base(event_base_new()), wake_up(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        wake_event.reset(event_new(base.get(), wake_up, EV_READ | EV_PERSIST, &on_wake_up, this));
        event_add(wake_event.get(), nullptr);
        thread = std::thread([this] { run(); });
    }

    ~engine()
    {
        {
            absl::MutexLock lock(&mutex);
            stopping = true;
        }
        wake();
        thread.join();
        wake_event.reset();
        close(wake_up);
    }
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    // --- of any thread ---

    void send(std::unique_ptr<call> c)
    {
        {
            absl::MutexLock lock(&mutex);
            if (open_calls >= l.calls_most) {
                refuse(*c, "too many calls to peers are open");
            }
            ++open_calls;
            begun.push_back(std::move(c));
        }
        wake();
    }

    static void refuse(call& c, std::string reason)
    {
        c.refusal = std::move(reason);
        c.message.frame = std::string();
    }

    void wake() const
    {
        const std::uint64_t one = 1;
        // Fails only when the counter is full, and then the thread is awake already.
        [[maybe_unused]] const auto written = write(wake_up, &one, sizeof one);
    }

    // --- of the channel's thread only ---

    void run()
    {
        // Writing to a connection that the peer has closed raises SIGPIPE in the thread that writes.
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGPIPE);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        event_base_loop(base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
        abandon_all();
    }

    static void on_wake_up(evutil_socket_t fd, short events, void* context)
    {
        static_cast<void>(events);
        auto& self = *static_cast<engine*>(context);
        std::uint64_t count = 0;
        [[maybe_unused]] const auto taken = read(fd, &count, sizeof count);
        std::deque<std::unique_ptr<call>> starting;
        {
            absl::MutexLock lock(&self.mutex);
            if (self.stopping) {
                event_base_loopbreak(self.base.get());
                return;
            }
            starting.swap(self.begun);
        }
        for (auto& c : starting) {
            self.start(std::move(c));
        }
    }

    void start(std::unique_ptr<call> c)
    {
        if (!c->refusal.empty()) {
            std::string reason = std::move(c->refusal);
            finish(std::move(c), {.reason = std::move(reason)});
            return;
        }
        c->owner = this;
        c->timer.reset(event_new(base.get(), -1, 0, &on_deadline, c.get()));
        const timeval left = to_timeval(c->deadline - read_clock());
        event_add(c->timer.get(), &left);
        const net_address to = c->message.to;
        peers[to].waiting.push_back(std::move(c));
        serve_waiting(to);
    }

    void finish(std::unique_ptr<call> c, peer_frame_result result)
    {
        c->timer.reset();
        {
            absl::MutexLock lock(&mutex);
            --open_calls;
            ++counts.calls;
            counts.failed += result.answered ? 0 : 1;
        }
        c->done(std::move(result));
    }

    static void on_deadline(evutil_socket_t fd, short events, void* context)
    {
        static_cast<void>(fd);
        static_cast<void>(events);
        auto& c = *static_cast<call*>(context);
        engine& self = *c.owner;
        if (c.carrier != nullptr) {
            self.drop(*c.carrier, c.carrier->connected ? "no answer in time" : "no connection in time");
            return;
        }
        const net_address to = c.message.to;
        auto& waiting = self.peers[to].waiting;
        const auto found = std::find_if(waiting.begin(), waiting.end(), [&](const auto& w) { return w.get() == &c; });
        std::unique_ptr<call> ended = std::move(*found);
        waiting.erase(found);
        self.finish(std::move(ended), {.reason = "no connection was free in time"});
        self.forget_if_unused(to);
    }

    // Gives waiting calls of one peer to its idle connections, or opens new ones as far as the limits allow.
    void serve_waiting(const net_address& to)
    {
        while (true) {
            const auto found = peers.find(to);
            if (found == peers.end() || found->second.waiting.empty()) {
                break;
            }
            connection* const carrier = find_carrier(found->second, to);
            if (carrier == nullptr) {
                break;
            }
            std::unique_ptr<call> c = std::move(found->second.waiting.front());
            found->second.waiting.pop_front();
            carry(*carrier, std::move(c));
        }
        forget_if_unused(to);
    }

    connection* find_carrier(peer& p, const net_address& to)
    {
        for (const auto& c : p.connections) {
            if (!c->current) {
                return c.get();
            }
        }
        if (p.connections.size() >= l.connections_each) {
            return nullptr;
        }
        if (connection_count >= l.connections_most && !close_an_idle_one()) {
            return nullptr;
        }
        return open(p, to);
    }

    connection* open(peer& p, const net_address& to)
    {
        auto c = std::make_unique<connection>();
        c->owner = this;
        c->to = to;
        c->stream.reset(bufferevent_socket_new(base.get(), -1, BEV_OPT_CLOSE_ON_FREE));
        bufferevent_setcb(c->stream.get(), &on_readable, &on_written, &on_event, c.get());
        // The stream stops reading at the mark, so an answer without end cannot fill memory.
        bufferevent_setwatermark(c->stream.get(), EV_READ, 0, bytes_most() + length_bytes);
        bufferevent_enable(c->stream.get(), EV_READ | EV_WRITE);
        p.connections.push_back(std::move(c));
        ++connection_count;
        return p.connections.back().get();
    }

    void carry(connection& on, std::unique_ptr<call> c)
    {
        c->carrier = &on;
        const std::string frame = std::move(c->message.frame);
        on.current = std::move(c);
        bufferevent_set_timeouts(on.stream.get(), nullptr, nullptr);
        const std::uint32_t length = htonl(static_cast<std::uint32_t>(frame.size()));
        bufferevent_write(on.stream.get(), &length, length_bytes);
        bufferevent_write(on.stream.get(), frame.data(), frame.size());
        bytes_out.fetch_add(static_cast<std::int64_t>(frame.size() + length_bytes), std::memory_order_relaxed);
        if (!on.connected) {
            connect(on);
        }
    }

    void connect(connection& on)
    {
        connects.fetch_add(1, std::memory_order_relaxed);
        sockaddr_in address{};
        int size = sizeof address;
        const bool parsed =
            evutil_parse_sockaddr_port(on.to.str().c_str(), reinterpret_cast<sockaddr*>(&address), &size) == 0;
        if (!parsed) {
            drop(on, "not an address of the form IP:port: " + on.to.str());
            return;
        }
        if (bufferevent_socket_connect(on.stream.get(), reinterpret_cast<sockaddr*>(&address), size) != 0) {
            drop(on, std::strerror(errno));
        }
    }

    static void on_event(bufferevent* stream, short events, void* context)
    {
        auto& on = *static_cast<connection*>(context);
        if ((events & BEV_EVENT_CONNECTED) != 0) {
            constexpr int yes = 1;
            setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
            on.connected = true;
            return;
        }
        const bool error = (events & BEV_EVENT_ERROR) != 0;
        on.owner->drop(on, error ? evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()) : "connection was closed");
    }

    static void on_written(bufferevent* stream, void* context)
    {
        auto& on = *static_cast<connection*>(context);
        const bool all_left = evbuffer_get_length(bufferevent_get_output(stream)) == 0;
        if (on.connected && on.current && on.current->message.one_way && all_left) {
            on.owner->conclude(on, {.answered = true, .may_have_arrived = true});
        }
    }

    static void on_readable(bufferevent* stream, void* context)
    {
        auto& on = *static_cast<connection*>(context);
        engine& self = *on.owner;
        evbuffer* const input = bufferevent_get_input(stream);
        const std::size_t held = evbuffer_get_length(input);
        if (!on.current || on.current->message.one_way) {
            self.drop(on, "peer sent what nobody asked for");
            return;
        }
        if (held < length_bytes) {
            return;
        }
        std::uint32_t length = 0;
        evbuffer_copyout(input, &length, length_bytes);
        length = ntohl(length);
        if (length > self.bytes_most()) {
            self.drop(on, "peer's answer is larger than the limit");
            return;
        }
        if (held < length_bytes + length) {
            return;
        }
        peer_frame_result result{.answered = true, .may_have_arrived = true, .frame = std::string(length, '\0')};
        evbuffer_drain(input, length_bytes);
        evbuffer_remove(input, result.frame.data(), length);
        self.bytes_in.fetch_add(static_cast<std::int64_t>(length + length_bytes), std::memory_order_relaxed);
        self.conclude(on, std::move(result));
    }

    // The call on this connection has ended well; the connection serves the next one.
    void conclude(connection& on, peer_frame_result result)
    {
        std::unique_ptr<call> ended = std::move(on.current);
        const timeval idle = to_timeval(l.idle);
        bufferevent_set_timeouts(on.stream.get(), &idle, nullptr);
        const net_address to = on.to;
        serve_waiting(to);
        serve_starved();
        finish(std::move(ended), std::move(result));
    }

    // Closes a connection; a call on it fails.
    void drop(connection& on, std::string reason)
    {
        const net_address to = on.to;
        peer& p = peers[to];
        const auto found =
            std::find_if(p.connections.begin(), p.connections.end(), [&](const auto& c) { return c.get() == &on; });
        const std::unique_ptr<connection> dropped = std::move(*found);
        p.connections.erase(found);
        --connection_count;
        std::unique_ptr<call> ended = std::move(dropped->current);
        serve_waiting(to);
        serve_starved();
        if (ended) {
            finish(std::move(ended), {.may_have_arrived = dropped->connected, .reason = std::move(reason)});
        }
    }

    bool close_an_idle_one()
    {
        for (auto& [to, p] : peers) {
            const auto idle =
                std::find_if(p.connections.begin(), p.connections.end(), [](const auto& c) { return !c->current; });
            if (idle != p.connections.end()) {
                p.connections.erase(idle);
                --connection_count;
                return true;
            }
        }
        return false;
    }

    // Calls that wait because all connections together were at their limit.
    void serve_starved()
    {
        if (connection_count + 1 < l.connections_most) {
            return;
        }
        std::vector<net_address> starved;
        for (const auto& [to, p] : peers) {
            if (!p.waiting.empty()) {
                starved.push_back(to);
            }
        }
        for (const auto& to : starved) {
            serve_waiting(to);
        }
    }

    void forget_if_unused(const net_address& to)
    {
        const auto found = peers.find(to);
        if (found != peers.end() && found->second.connections.empty() && found->second.waiting.empty()) {
            peers.erase(found);
        }
    }

    void abandon_all()
    {
        const std::string reason = "client is stopping";
        for (auto& [to, p] : peers) {
            for (auto& on : p.connections) {
                if (on->current) {
                    finish(std::move(on->current), {.may_have_arrived = on->connected, .reason = reason});
                }
            }
            for (auto& c : p.waiting) {
                finish(std::move(c), {.reason = reason});
            }
        }
        peers.clear();
        std::deque<std::unique_ptr<call>> never_started;
        {
            absl::MutexLock lock(&mutex);
            never_started.swap(begun);
        }
        for (auto& c : never_started) {
            finish(std::move(c), {.reason = reason});
        }
    }

    std::size_t bytes_most() const { return static_cast<std::size_t>(l.message_bytes_most); }

    const limits l;
    std::unique_ptr<event_base, event_deleter> base;
    std::unique_ptr<event, event_deleter> wake_event;
    int wake_up;
    absl::flat_hash_map<net_address, peer> peers;
    std::size_t connection_count = 0;
    std::atomic<std::int64_t> connects{0};
    std::atomic<std::int64_t> bytes_in{0};
    std::atomic<std::int64_t> bytes_out{0};

    absl::Mutex mutex;
    std::deque<std::unique_ptr<call>> begun ABSL_GUARDED_BY(mutex);
    std::size_t open_calls ABSL_GUARDED_BY(mutex) = 0;
    stats counts ABSL_GUARDED_BY(mutex);
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread thread;
};

peer_channel::peer_channel(limits l) : engine_(std::make_unique<engine>(l)) {}

peer_channel::~peer_channel() = default;

void peer_channel::send(message m, std::function<void(peer_frame_result)> done)
{
    auto c = std::make_unique<engine::call>();
    c->deadline = read_clock() + m.timeout;
    c->message = std::move(m);
    c->done = std::move(done);
    if (c->message.frame.size() > engine_->bytes_most()) {
        engine::refuse(*c, "message is larger than the limit");
    }
    engine_->send(std::move(c));
}

peer_channel::stats peer_channel::read_stats() const
{
    absl::MutexLock lock(&engine_->mutex);
    stats s = engine_->counts;
    s.connects = engine_->connects.load(std::memory_order_relaxed);
    s.bytes_in = engine_->bytes_in.load(std::memory_order_relaxed);
    s.bytes_out = engine_->bytes_out.load(std::memory_order_relaxed);
    return s;
}

} // namespace skylarkhub
