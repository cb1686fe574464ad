#include "peer_server_p.h"

#include <absl/synchronization/notification.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thrift/TOutput.h>
#include <thrift/concurrency/ThreadFactory.h>
#include <thrift/concurrency/ThreadManager.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TNonblockingServer.h>
#include <thrift/transport/TNonblockingServerSocket.h>
#include <thrift/transport/TSocket.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <stdexcept>
#include <thread>

#include "entry_peer.h"
#include "log_line_p.h"

namespace skylarkhub {

namespace {

namespace concurrency = apache::thrift::concurrency;
namespace protocol = apache::thrift::protocol;
namespace serving = apache::thrift::server;
namespace transport = apache::thrift::transport;

// Hands the calls of the generated interface to the functions given.
class dispatcher : public wire::entry_peerIf {
public:
    explicit dispatcher(peer_handlers handlers) : handlers_(std::move(handlers)) {}

    void probe(wire::probe_reply& reply, const wire::probe_request& request) override
    {
        reply = handlers_.probe(request);
    }
    void hold(wire::hold_reply& reply, const wire::hold_request& request) override { reply = handlers_.hold(request); }
    void tell_cells(const std::string& sender, const std::vector<wire::cell_news>& news) override
    {
        handlers_.tell_cells(sender, news);
    }
    void inbox_hint(const std::string& cell) override { handlers_.inbox_hint(cell_id(cell)); }
    std::int64_t push_settings(const wire::settings_push& push) override { return handlers_.push_settings(push); }
    void pull_settings(wire::settings_push& reply, const std::int64_t newer_than) override
    {
        reply = handlers_.pull_settings(newer_than);
    }
    void report(std::string& reply, const std::string& what) override { reply = handlers_.report(what); }

private:
    peer_handlers handlers_;
};

void log_thrift(const char* text)
{
    write_log(log_level::debug, "peer", "thrift", {{"message", text}});
}

// A caller that vanished without closing would hold its connection for good; the kernel's probes end it in a minute.
void watch_connection(int socket)
{
    constexpr int idle_seconds = 30;
    constexpr int interval_seconds = 10;
    constexpr int probes = 3;
    constexpr int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds, sizeof idle_seconds);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &interval_seconds, sizeof interval_seconds);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

struct host_port {
    std::string host;
    std::uint16_t port = 0;
};

// What the connections of one server hold of messages.
struct held_messages {
    std::int64_t bytes_most = 0;
    std::atomic<std::int64_t> bytes{0};
};

// Counts what it reads of each message, until the next message begins. Failure: many connections each send most of a
// large message and stay open. Symptom: the machine ends the process. Once the connections together hold too much, one
// that goes on sending a large message is closed; short messages still pass.
class metered_socket : public transport::TSocket {
public:
    metered_socket(THRIFT_SOCKET socket, std::shared_ptr<held_messages> held) : TSocket(socket), held_(std::move(held))
    {}
    ~metered_socket() override { release(); }
    metered_socket(const metered_socket&) = delete;
    metered_socket& operator=(const metered_socket&) = delete;

    // The server reads the four bytes of a message's length and the message apart.
    std::uint32_t read(std::uint8_t* buffer, std::uint32_t size) override
    {
        const std::uint32_t got = TSocket::read(buffer, size);
        if (message_left_ == 0) {
            read_length(buffer, got);
        }
        else {
            message_left_ -= std::min<std::int64_t>(got, message_left_);
            hold(got);
        }
        return got;
    }

private:
    void read_length(const std::uint8_t* buffer, std::uint32_t got)
    {
        constexpr int bits_per_byte = 8;
        release();
        for (std::uint32_t i = 0; i < got; ++i) {
            length_ = (length_ << bits_per_byte) | buffer[i];
            if (++length_bytes_ == sizeof length_) {
                message_left_ = length_;
                length_ = 0;
                length_bytes_ = 0;
            }
        }
    }

    void hold(std::uint32_t bytes)
    {
        own_ += bytes;
        if (held_->bytes.fetch_add(bytes) + bytes > held_->bytes_most && own_ > config::peer_short_message_bytes) {
            throw transport::TTransportException(transport::TTransportException::INTERRUPTED,
                                                 "the messages of all connections take too much memory");
        }
    }

    void release()
    {
        held_->bytes.fetch_sub(own_);
        own_ = 0;
    }

    std::shared_ptr<held_messages> held_;
    std::int64_t own_ = 0;
    std::uint32_t length_ = 0;
    std::size_t length_bytes_ = 0; // read of it
    std::int64_t message_left_ = 0;
};

class metered_listener : public transport::TNonblockingServerSocket {
public:
    metered_listener(const host_port& at, std::int64_t held_bytes_most) : TNonblockingServerSocket(at.host, at.port)
    {
        held_->bytes_most = held_bytes_most;
    }

protected:
    std::shared_ptr<transport::TSocket> createSocket(THRIFT_SOCKET socket) override
    {
        return std::make_shared<metered_socket>(socket, held_);
    }

private:
    std::shared_ptr<held_messages> held_ = std::make_shared<held_messages>();
};

std::optional<host_port> split_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    host_port parts{text.substr(0, colon), 0};
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, parts.port);
    if (error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return parts;
}

struct base_deleter {
    void operator()(event_base* b) const { event_base_free(b); }
};

void on_looping(evutil_socket_t fd, short events, void* context)
{
    static_cast<void>(fd);
    static_cast<void>(events);
    static_cast<absl::Notification*>(context)->Notify();
}

} // namespace

struct peer_server::engine {
    net_address bound;
    std::unique_ptr<event_base, base_deleter> base; // outlives the server, which only borrows it
    absl::Notification settled;                     // listening and looping, or failed
    std::string failure;
    std::shared_ptr<concurrency::ThreadManager> workers;
    std::shared_ptr<serving::TNonblockingServer> server;
    std::thread thread;

    void prepare(const options& o, const host_port& at, peer_handlers handlers)
    {
        auto listener = std::make_shared<metered_listener>(at, o.held_bytes_most);
        listener->setAcceptCallback(&watch_connection);
        auto processor = std::make_shared<wire::entry_peerProcessor>(std::make_shared<dispatcher>(std::move(handlers)));
        // Without limits a short message can announce a list or string that takes all memory.
        auto protocols = std::make_shared<protocol::TCompactProtocolFactoryT<transport::TMemoryBuffer>>(
            static_cast<std::int32_t>(o.message_bytes_most), config::peer_list_most);
        workers = concurrency::ThreadManager::newSimpleThreadManager(o.threads);
        workers->threadFactory(std::make_shared<concurrency::ThreadFactory>(false));
        workers->start();
        server = std::make_shared<serving::TNonblockingServer>(processor, protocols, listener, workers);
        server->setMaxFrameSize(static_cast<std::size_t>(o.message_bytes_most));
        server->setMaxConnections(o.connections_most);
        server->setOverloadAction(serving::T_OVERLOAD_CLOSE_ON_ACCEPT);
        server->setConnectionStackLimit(o.threads);
        server->setResizeBufferEveryN(1); // a connection that waits keeps no large buffer
        base.reset(event_base_new());
    }

    // Thrift stops a loop only from a thread other than the one that registered its events, and drops a stop() that
    // comes before the loop runs; in both cases the join after it would wait for ever. So this thread registers, and
    // start() waits until the loop has begun.
    void serve()
    {
        event_base_once(base.get(), -1, EV_TIMEOUT, &on_looping, &settled, nullptr);
        try {
            server->registerEvents(base.get());
        }
        catch (const apache::thrift::TException& error) {
            failure = error.what();
            settled.Notify();
            return;
        }
        server->serve();
    }
};

peer_server::peer_server(std::unique_ptr<engine> e) : engine_(std::move(e)) {}

std::unique_ptr<peer_server> peer_server::start(const options& o, peer_handlers handlers, std::string* last_reason)
{
    const auto parts = split_address(o.address.str());
    if (!parts) {
        *last_reason = "not an address of the form IP:port: " + o.address.str();
        return nullptr;
    }
    apache::thrift::GlobalOutput.setOutputFunction(&log_thrift);
    auto e = std::make_unique<engine>();
    e->prepare(o, *parts, std::move(handlers));
    e->thread = std::thread([&running = *e] { running.serve(); });
    e->settled.WaitForNotification();
    if (!e->failure.empty()) {
        e->thread.join();
        e->workers->stop();
        *last_reason = "cannot listen on " + o.address.str() + ": " + e->failure;
        return nullptr;
    }
    e->bound = net_address(parts->host + ":" + std::to_string(e->server->getListenPort()));
    return std::unique_ptr<peer_server>(new peer_server(std::move(e)));
}

peer_server::~peer_server()
{
    stop();
}

net_address peer_server::address() const
{
    return engine_->bound;
}

void peer_server::stop()
{
    if (!engine_->thread.joinable()) {
        return;
    }
    engine_->server->stop();
    engine_->thread.join();
    engine_->workers->stop();
    engine_->server.reset();
}

} // namespace skylarkhub
