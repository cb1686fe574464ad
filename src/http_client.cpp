#include "http_client_p.h"

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <deque>
#include <map>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>

#include "http_connections_p.h"
#include "platform_timer_p.h"

namespace skylarkhub {

namespace {

long to_ms(duration d)
{
    return std::max<long>(1, static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(d).count()));
}

constexpr std::int64_t header_bytes_most = 64 << 10;    // libcurl limits each line, not their number
constexpr duration idle_look = std::chrono::seconds(1); // a wake-up that got lost costs this much

struct transfer;
using due_times = std::multimap<instant, transfer*>;

struct transfer {
    http_call call;
    std::function<void(http_result)> done;
    http_result result;
    curl_slist* headers = nullptr;
    CURL* handle = nullptr;
    detail::http_connections* connections = nullptr;
    int opened_socket = -1; // for this call; -1: it uses a kept connection
    std::int64_t header_bytes = 0;
    due_times::iterator due;     // when its time is over
    std::optional<instant> left; // when its request began to leave
    bool timed_from_left = false;
    bool heard = false; // bytes of the answer, since this was last asked

    ~transfer()
    {
        curl_slist_free_all(headers);
        if (handle != nullptr) {
            curl_easy_cleanup(handle);
        }
    }
    transfer() = default;
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;
};

std::size_t take_body(const char* data, std::size_t size, std::size_t count, void* context)
{
    auto& t = *static_cast<transfer*>(context);
    const std::size_t bytes = size * count;
    t.heard = true;
    if (static_cast<std::int64_t>(t.result.body.size() + bytes) > t.call.answer_bytes_most) {
        t.result.reason = "answer is larger than the limit";
        return 0;
    }
    t.result.body.append(data, bytes);
    return bytes;
}

std::size_t take_header(const char* data, std::size_t size, std::size_t count, void* context)
{
    auto& t = *static_cast<transfer*>(context);
    const std::string_view line(data, size * count);
    t.heard = true;
    t.header_bytes += static_cast<std::int64_t>(line.size());
    if (t.header_bytes > header_bytes_most) {
        t.result.reason = "headers are larger than the limit";
        return 0;
    }
    if (line.substr(0, 5) == "HTTP/") {
        t.result.headers.clear(); // those of an interim answer are not the answer's
        return size * count;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return size * count;
    }
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && std::isspace(static_cast<unsigned char>(value.front())) != 0) {
        value.remove_prefix(1);
    }
    while (!value.empty() && std::isspace(static_cast<unsigned char>(value.back())) != 0) {
        value.remove_suffix(1);
    }
    t.result.headers.emplace_back(std::move(name), std::string(value));
    return size * count;
}

// Whether libcurl has sent the request over a kept connection, which closed without an answer.
bool was_sent(const transfer& t)
{
    long sent_bytes = 0;
    curl_easy_getinfo(t.handle, CURLINFO_REQUEST_SIZE, &sent_bytes);
    return sent_bytes != 0;
}

constexpr const char* closed_after_request = "connection closed after the request was sent";

// Notes that the call ends here, since the connection for it is none of those that it may go over.
void refuse_connection(transfer& t)
{
    t.result.connection_too_new = !was_sent(t);
    t.result.reason =
        t.result.connection_too_new ? "no connection that the call may go over was free" : closed_after_request;
}

curl_socket_t open_socket(void* context, curlsocktype purpose, curl_sockaddr* address)
{
    static_cast<void>(purpose);
    auto& t = *static_cast<transfer*>(context);
    if (t.call.newest_connection) {
        refuse_connection(t);
        return CURL_SOCKET_BAD;
    }
    t.opened_socket = socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (t.opened_socket >= 0) {
        t.connections->add(t.opened_socket);
    }
    return t.opened_socket;
}

int close_socket(void* context, curl_socket_t socket)
{
    static_cast<detail::http_connections*>(context)->remove(socket);
    return close(socket);
}

// The number of the connection over which the call is about to go; 0: not known.
connection_number find_connection(const transfer& t, const char* remote_ip, int remote_port, int local_port)
{
    in_addr remote{};
    if (inet_pton(AF_INET, remote_ip, &remote) != 1) {
        return connection_number();
    }
    const detail::connection_ends ends{remote.s_addr, static_cast<std::uint16_t>(remote_port),
                                       static_cast<std::uint16_t>(local_port)};
    if (t.opened_socket >= 0) {
        t.connections->establish(t.opened_socket, ends);
    }
    return t.connections->number_of(ends);
}

// libcurl sends a request again by itself when a kept connection closes without an answer. The first copy may have run:
// the second one would run the work twice, and a refusal of the second would pass for a refusal of both.
int before_request(void* context, char* remote_ip, char* local_ip, int remote_port, int local_port)
{
    static_cast<void>(local_ip);
    auto& t = *static_cast<transfer*>(context);
    if (was_sent(t)) {
        t.result.reason = closed_after_request;
        return CURL_PREREQFUNC_ABORT;
    }
    t.result.connection = find_connection(t, remote_ip, remote_port, local_port);
    const auto& newest = t.call.newest_connection;
    if (newest && (t.result.connection == connection_number() || t.result.connection > *newest)) {
        refuse_connection(t);
        return CURL_PREREQFUNC_ABORT;
    }
    t.left = read_clock();
    return CURL_PREREQFUNC_OK;
}

void add_header(transfer& t, const std::string& line)
{
    t.headers = curl_slist_append(t.headers, line.c_str());
}

void prepare(transfer& t)
{
    t.handle = curl_easy_init();
    CURL* const h = t.handle;
    const std::string url = "http://" + t.call.address.str() + t.call.target;
    curl_easy_setopt(h, CURLOPT_URL, url.c_str());
    curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, t.call.method.c_str());
    curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(h, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(h, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(h, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS, to_ms(std::min(t.call.connect_timeout, t.call.timeout)));
    curl_easy_setopt(h, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, &take_body);
    curl_easy_setopt(h, CURLOPT_WRITEDATA, &t);
    curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, &take_header);
    curl_easy_setopt(h, CURLOPT_HEADERDATA, &t);
    curl_easy_setopt(h, CURLOPT_PREREQFUNCTION, &before_request);
    curl_easy_setopt(h, CURLOPT_PREREQDATA, &t);
    curl_easy_setopt(h, CURLOPT_OPENSOCKETFUNCTION, &open_socket);
    curl_easy_setopt(h, CURLOPT_OPENSOCKETDATA, &t);
    curl_easy_setopt(h, CURLOPT_CLOSESOCKETFUNCTION, &close_socket);
    curl_easy_setopt(h, CURLOPT_CLOSESOCKETDATA, t.connections);
    if (t.call.send_once) {
        curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(h, CURLOPT_FORBID_REUSE, 1L);
    }
    if (!t.call.body.empty() || t.call.method == "POST" || t.call.method == "PUT") {
        curl_easy_setopt(h, CURLOPT_POSTFIELDS, t.call.body.data());
        curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(t.call.body.size()));
    }
    for (const auto& [name, value] : t.call.headers) {
        add_header(t, name + ": " + value);
    }
    add_header(t, "Expect:");
    curl_easy_setopt(h, CURLOPT_HTTPHEADER, t.headers);
}

void conclude(transfer& t, CURLcode code)
{
    long status = 0;
    long request_bytes = 0;
    long connections_opened = 0;
    curl_easy_getinfo(t.handle, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(t.handle, CURLINFO_REQUEST_SIZE, &request_bytes);
    curl_easy_getinfo(t.handle, CURLINFO_NUM_CONNECTS, &connections_opened);
    t.result.kept_connection = connections_opened == 0;
    t.result.status = static_cast<int>(status);
    t.result.answered = code == CURLE_OK;
    t.result.may_have_arrived = request_bytes > 0;
    if (code != CURLE_OK && t.result.reason.empty()) {
        t.result.reason = curl_easy_strerror(code);
    }
}

} // namespace

struct http_client::engine {
    explicit engine(limits l) : multi(curl_multi_init())
    {
        curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS, l.connections_per_host);
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, l.connections_kept);
        thread = std::thread([this] { run(); });
    }

    ~engine()
    {
        {
            absl::MutexLock lock(&mutex);
            stopping = true;
        }
        curl_multi_wakeup(multi);
        thread.join();
        curl_multi_cleanup(multi);
    }
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    void run()
    {
        while (true) {
            if (!take_waiting()) {
                break;
            }
            // Before the sockets are read: whatever had arrived by then is read before anybody's time is judged.
            const instant looked = read_clock();
            int running = 0;
            curl_multi_perform(multi, &running);
            finish_done();
            const duration wait = end_overdue(looked) ? duration(0) : time_to_next();
            curl_multi_poll(multi, nullptr, 0, static_cast<int>(wait / std::chrono::milliseconds(1)), nullptr);
        }
        abandon_all();
    }

    duration time_to_next() const
    {
        if (due.empty()) {
            return idle_look;
        }
        const duration left = due.begin()->first - read_clock() + std::chrono::milliseconds(1);
        return std::clamp(left, duration(0), idle_look);
    }

    // Ends the calls whose time was over when the sockets were last looked at. libcurl's own limit is not used: it is
    // judged before the socket is read. On a starved machine a thread wakes up after the limit to an answer that has
    // long arrived; dropped, what it tells is lost (a worker's last word before it leaves: that a task is done), and
    // the task runs again. For the same reason the time for an answer counts from when the request left. True when some
    // must be looked at again at once: part of their answer has just been read, and there may be more.
    bool end_overdue(instant looked)
    {
        bool again = false;
        while (!due.empty() && due.begin()->first <= looked) {
            transfer& t = *due.begin()->second;
            due.erase(t.due);
            if (t.left && !std::exchange(t.timed_from_left, true)) {
                t.due = due.emplace(*t.left + t.call.timeout, &t);
            }
            else if (std::exchange(t.heard, false)) {
                // Ends with the answer's limit at the latest.
                t.due = due.emplace(looked + std::max(t.call.stall_timeout, duration(1)), &t);
                again = again || t.call.stall_timeout == duration(0);
            }
            else {
                t.due = due.end();
                finish(t.handle, CURLE_OPERATION_TIMEDOUT);
            }
        }
        return again;
    }

    // False when the client is stopping.
    bool take_waiting()
    {
        std::deque<std::unique_ptr<transfer>> taken;
        {
            absl::MutexLock lock(&mutex);
            if (stopping) {
                return false;
            }
            taken.swap(waiting);
        }
        for (auto& t : taken) {
            t->connections = &connections;
            prepare(*t);
            CURL* const handle = t->handle;
            curl_multi_add_handle(multi, handle);
            t->due = due.emplace(read_clock() + t->call.timeout, t.get());
            active.emplace(handle, std::move(t));
        }
        return true;
    }

    void finish_done()
    {
        int left = 0;
        while (CURLMsg* const message = curl_multi_info_read(multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            finish(message->easy_handle, message->data.result);
        }
    }

    void finish(CURL* handle, CURLcode code)
    {
        auto found = active.find(handle);
        std::unique_ptr<transfer> t = std::move(found->second);
        active.erase(found);
        if (t->due != due.end()) {
            due.erase(t->due);
        }
        curl_multi_remove_handle(multi, handle);
        conclude(*t, code);
        t->done(std::move(t->result));
    }

    void abandon_all()
    {
        for (auto& [handle, t] : active) {
            curl_multi_remove_handle(multi, handle);
            t->result.reason = "client is stopping";
            t->done(std::move(t->result));
        }
        active.clear();
        due.clear();
        std::deque<std::unique_ptr<transfer>> taken;
        {
            absl::MutexLock lock(&mutex);
            taken.swap(waiting);
        }
        for (auto& t : taken) {
            t->result.may_have_arrived = false;
            t->result.reason = "client is stopping";
            t->done(std::move(t->result));
        }
    }

    CURLM* multi;
    detail::http_connections connections;                        // of the client's thread only
    std::unordered_map<CURL*, std::unique_ptr<transfer>> active; // of the client's thread only
    due_times due;                                               // of `active`; of the client's thread only
    absl::Mutex mutex;
    std::deque<std::unique_ptr<transfer>> waiting ABSL_GUARDED_BY(mutex);
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread thread;
};

http_client::http_client() : http_client(limits{}) {}

http_client::http_client(limits l)
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(initialised);
    engine_ = std::make_unique<engine>(l);
}

http_client::~http_client() = default;

void http_client::send(http_call call, std::function<void(http_result)> done)
{
    auto t = std::make_unique<transfer>();
    t->call = std::move(call);
    t->done = std::move(done);
    {
        absl::MutexLock lock(&engine_->mutex);
        engine_->waiting.push_back(std::move(t));
    }
    curl_multi_wakeup(engine_->multi);
}

http_result http_client::call(http_call call)
{
    http_result result;
    absl::Notification finished;
    send(std::move(call), [&](http_result r) {
        result = std::move(r);
        finished.Notify();
    });
    finished.WaitForNotification();
    return result;
}

} // namespace skylarkhub
