#include "http_server_p.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/numbers.h>
#include <absl/synchronization/mutex.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <charconv>
#include <cstring>
#include <optional>

#include "base_shares_p.h"
#include "config.h"
#include "http_intake_p.h"
#include "log_line_p.h"
#include "platform_timer_p.h"

namespace skylarkhub {

namespace {

constexpr std::size_t connections_spare = 64; // of the library's own limit, which is never to be reached
constexpr duration full_logged_interval = std::chrono::seconds(1);

std::optional<sockaddr_in> parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc() || stop != end) {
        return std::nullopt;
    }
    address.sin_port = htons(port);
    return address;
}

// With its length, since a value of a query may hold a zero byte.
MHD_Result take_value(void* context, MHD_ValueKind kind, const char* key, std::size_t key_size, const char* value,
                      std::size_t value_size)
{
    auto& fields = *static_cast<http_fields*>(context);
    std::string name(key, key_size);
    if (kind == MHD_HEADER_KIND) {
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    }
    fields.emplace_back(std::move(name), value == nullptr ? std::string() : std::string(value, value_size));
    return MHD_YES;
}

// `last`: the connection ends with this answer, and its caller is told so.
MHD_Result queue_response(MHD_Connection* connection, const http_response& answer, bool last)
{
    MHD_Response* const response = MHD_create_response_from_buffer(
        answer.body.size(), const_cast<char*>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
    for (const auto& [name, value] : answer.headers) {
        MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    if (last) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const MHD_Result result = MHD_queue_response(connection, static_cast<unsigned>(answer.status), response);
    MHD_destroy_response(response);
    return result;
}

// One request from its first line to its answer. The reply may come on another thread while the connection's own thread
// is still in the handler: only a connection that was really suspended is resumed.
struct exchange {
    http_request request;
    bool handed_over = false; // of the connection's thread
    MHD_Connection* connection = nullptr;
    http_link* link = nullptr;
    std::int64_t body_bytes_most = 0;
    std::atomic<std::int64_t>* in_flight = nullptr;

    absl::Mutex mutex;
    std::optional<http_response> answer ABSL_GUARDED_BY(mutex);
    bool answered ABSL_GUARDED_BY(mutex) = false;
    bool suspended ABSL_GUARDED_BY(mutex) = false;
    bool closed ABSL_GUARDED_BY(mutex) = false;

    void reply(http_response response)
    {
        absl::MutexLock lock(&mutex);
        if (answered || closed) {
            return;
        }
        answered = true;
        answer = std::move(response);
        if (suspended) {
            suspended = false;
            MHD_resume_connection(connection);
        }
    }
};

http_response stopping_answer()
{
    return {503, {}, "{\"error\":\"stopping\"}"};
}

} // namespace

struct http_server::engine {
    explicit engine(const options& given)
        : o(given), body_bytes_most(given.body_bytes_most), intake({given.connections_most, given.held_bytes_most})
    {}

    options o;
    http_handler handler;
    MHD_Daemon* daemon = nullptr;
    net_address bound;
    std::atomic<std::int64_t> body_bytes_most;
    std::atomic<bool> stopping = false; // no request waits any more
    std::atomic<std::int64_t> in_flight{0};
    std::atomic<bool> accepting{true};
    mutable absl::Mutex mutex;
    http_intake intake ABSL_GUARDED_BY(mutex);
    instant full_logged ABSL_GUARDED_BY(mutex){};
    absl::flat_hash_set<std::shared_ptr<exchange>> open ABSL_GUARDED_BY(mutex);

    // libmicrohttpd's own limit leaves what is above it waiting unanswered in the backlog, and splits it over the
    // threads; a caller is better off with a closed connection, which it sees at once.
    static MHD_Result on_accept(void* context, const sockaddr* address, socklen_t size)
    {
        static_cast<void>(address);
        static_cast<void>(size);
        auto& self = *static_cast<engine*>(context);
        const instant now = read_clock();
        absl::MutexLock lock(&self.mutex);
        const http_intake::admission admission = self.intake.admit(now);
        if (admission.to_end != nullptr) {
            self.end_link(*admission.to_end, now, "connections");
        }
        return admission.granted ? MHD_YES : MHD_NO;
    }

    static void on_connection(void* context, MHD_Connection* connection, void** slot,
                              MHD_ConnectionNotificationCode code)
    {
        auto& self = *static_cast<engine*>(context);
        absl::MutexLock lock(&self.mutex);
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
            auto* const link = new http_link;
            link->socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
            self.intake.open(*link, read_clock());
            *slot = link;
            return;
        }
        auto* const link = static_cast<http_link*>(*slot);
        self.intake.close(*link);
        delete link;
        *slot = nullptr;
    }

    // The connection's own thread finds its socket closed, and ends it. The socket is open until the library has told
    // that the connection is closed.
    void end_link(const http_link& link, instant now, const char* what) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        shutdown(link.socket, SHUT_RDWR);
        if (now - full_logged >= full_logged_interval) {
            full_logged = now;
            write_log(log_level::warning, "http", "full",
                      {{"address", bound.str()},
                       {"of", what},
                       {"connections", std::to_string(intake.connections())},
                       {"held_bytes", std::to_string(intake.held_bytes())}});
        }
    }

    static MHD_Result on_access(void* context, MHD_Connection* connection, const char* url, const char* method,
                                const char* version, const char* data, std::size_t* size, void** slot)
    {
        static_cast<void>(version);
        auto& self = *static_cast<engine*>(context);
        if (*slot == nullptr) {
            *slot = self.open_exchange(connection, url, method);
            return self.announces_too_much(connection) ? self.refuse_body(connection) : MHD_YES;
        }
        auto& e = *static_cast<std::shared_ptr<exchange>*>(*slot);
        if (*size > 0) {
            const bool taken = self.take_upload(*e, data, *size);
            *size = 0;
            return taken ? MHD_YES : MHD_NO;
        }
        return self.serve(e);
    }

    static void on_completed(void* context, MHD_Connection* connection, void** slot, MHD_RequestTerminationCode code)
    {
        static_cast<void>(connection);
        static_cast<void>(code);
        auto& self = *static_cast<engine*>(context);
        auto* const e = static_cast<std::shared_ptr<exchange>*>(*slot);
        if (e == nullptr) {
            return;
        }
        {
            absl::MutexLock lock(&(*e)->mutex);
            (*e)->closed = true;
        }
        {
            absl::MutexLock lock(&self.mutex);
            self.intake.end_request(*(*e)->link, read_clock());
            self.open.erase(*e);
        }
        self.in_flight.fetch_sub(1);
        delete e;
        *slot = nullptr;
    }

    std::shared_ptr<exchange>* open_exchange(MHD_Connection* connection, const char* url, const char* method)
    {
        auto e = std::make_shared<exchange>();
        e->connection = connection;
        e->link = static_cast<http_link*>(
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context);
        e->request.method = method;
        e->request.path = url;
        e->body_bytes_most = body_bytes_most.load();
        in_flight.fetch_add(1);
        {
            absl::MutexLock lock(&mutex);
            intake.begin_request(*e->link, read_clock());
            open.insert(e);
        }
        return new std::shared_ptr<exchange>(std::move(e));
    }

    bool announces_too_much(MHD_Connection* connection) const
    {
        const char* const announced =
            MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
        std::uint64_t bytes = 0;
        return announced != nullptr && absl::SimpleAtoi(announced, &bytes) &&
               bytes > static_cast<std::uint64_t>(body_bytes_most.load());
    }

    // Nothing has run. The library closes the connection after an answer that comes before the body.
    static MHD_Result refuse_body(MHD_Connection* connection)
    {
        return queue_response(connection, {413, {}, "{\"error\":\"too_large\",\"reason\":\"body is too large\"}"},
                              true);
    }

    // False when the connection is to end: an answer before the end of a body that is under way cannot be sent.
    bool take_upload(const exchange& e, const char* data, std::size_t size)
    {
        const instant now = read_clock();
        absl::MutexLock lock(&mutex);
        for (const http_link* const link : intake.append(*e.link, {data, size}, e.body_bytes_most, now)) {
            if (link != e.link) {
                end_link(*link, now, "bodies");
            }
        }
        return !e.link->ending;
    }

    // False when the connection was told to end.
    bool take_request(exchange& e)
    {
        absl::MutexLock lock(&mutex);
        std::optional<std::string> body = intake.take_request(*e.link, read_clock());
        if (!body) {
            return false;
        }
        e.request.body = std::move(*body);
        return true;
    }

    void begin_answer(const exchange& e)
    {
        absl::MutexLock lock(&mutex);
        intake.begin_answer(*e.link, read_clock());
    }

    MHD_Result serve(const std::shared_ptr<exchange>& e)
    {
        if (!e->handed_over) {
            e->handed_over = true;
            if (!take_request(*e)) {
                return MHD_NO;
            }
            MHD_get_connection_values_n(e->connection, MHD_HEADER_KIND, &take_value, &e->request.headers);
            MHD_get_connection_values_n(e->connection, MHD_GET_ARGUMENT_KIND, &take_value, &e->request.query);
            handler(std::move(e->request), [e](http_response response) { e->reply(std::move(response)); });
        }
        absl::MutexLock lock(&e->mutex);
        if (e->answer && e->answer->status == http_status_close) {
            return MHD_NO;
        }
        if (e->answer) {
            begin_answer(*e);
            return queue_response(e->connection, *e->answer, !accepting.load());
        }
        if (stopping.load()) {
            e->answered = true;
            begin_answer(*e);
            return queue_response(e->connection, stopping_answer(), true);
        }
        e->suspended = true;
        MHD_suspend_connection(e->connection);
        return MHD_YES;
    }

    // Answers whatever is still waiting, and what comes from now on. The library aborts a process that stops a server
    // with suspended connections.
    void answer_waiting()
    {
        stopping = true;
        std::vector<std::shared_ptr<exchange>> waiting;
        {
            absl::MutexLock lock(&mutex);
            waiting.assign(open.begin(), open.end());
        }
        for (const auto& e : waiting) {
            e->reply(stopping_answer());
        }
    }
};

http_server::http_server(std::unique_ptr<engine> e) : engine_(std::move(e)) {}

std::unique_ptr<http_server> http_server::start(const options& o, http_handler handler, std::string* last_reason)
{
    auto address = parse_address(o.address.str());
    if (!address) {
        *last_reason = "not an address of the form IP:port: " + o.address.str();
        return nullptr;
    }
    auto e = std::make_unique<engine>(o);
    e->handler = std::move(handler);
    const auto library_limit = static_cast<unsigned>(o.connections_most + connections_spare) * o.threads;
    const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
    e->daemon = MHD_start_daemon(
        flags, 0, &engine::on_accept, e.get(), &engine::on_access, e.get(), MHD_OPTION_SOCK_ADDR, &*address,
        MHD_OPTION_THREAD_POOL_SIZE, o.threads, MHD_OPTION_CONNECTION_LIMIT, library_limit,
        MHD_OPTION_NOTIFY_CONNECTION, &engine::on_connection, e.get(), MHD_OPTION_CONNECTION_TIMEOUT, o.idle_seconds,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<std::size_t>(connection_buffer_bytes),
        MHD_OPTION_THREAD_STACK_SIZE, config::thread_stack_bytes, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
        MHD_OPTION_NOTIFY_COMPLETED, &engine::on_completed, e.get(), MHD_OPTION_END);
    if (e->daemon == nullptr) {
        *last_reason = "cannot listen on " + o.address.str() + ": " + std::strerror(errno);
        return nullptr;
    }
    const MHD_DaemonInfo* const info = MHD_get_daemon_info(e->daemon, MHD_DAEMON_INFO_BIND_PORT);
    if (o.socket_buffer_bytes > 0) { // the sockets of connections take it over from the listener
        const int listener = MHD_get_daemon_info(e->daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
        setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &o.socket_buffer_bytes, sizeof o.socket_buffer_bytes);
        setsockopt(listener, SOL_SOCKET, SO_SNDBUF, &o.socket_buffer_bytes, sizeof o.socket_buffer_bytes);
    }
    const std::string ip = o.address.str().substr(0, o.address.str().rfind(':'));
    e->bound = net_address(ip + ":" + std::to_string(info->port));
    return std::unique_ptr<http_server>(new http_server(std::move(e)));
}

// The listener is closed with the threads stopped: closed beside them, it may be taken out of a thread's set of sockets
// twice, and the library aborts the process.
http_server::~http_server()
{
    engine_->accepting = false;
    engine_->answer_waiting();
    MHD_stop_daemon(engine_->daemon);
}

net_address http_server::address() const
{
    return engine_->bound;
}

std::int64_t http_server::in_flight() const
{
    return engine_->in_flight.load();
}

std::int64_t http_server::connections() const
{
    absl::MutexLock lock(&engine_->mutex);
    return static_cast<std::int64_t>(engine_->intake.connections());
}

void http_server::limit_bodies(std::int64_t bytes_most)
{
    engine_->body_bytes_most = std::min(bytes_most, engine_->o.body_bytes_most);
}

void http_server::stop_accepting()
{
    if (!engine_->accepting.exchange(false)) {
        return;
    }
    const MHD_socket listener = MHD_quiesce_daemon(engine_->daemon);
    if (listener != MHD_INVALID_SOCKET) {
        close(listener);
    }
}

} // namespace skylarkhub
