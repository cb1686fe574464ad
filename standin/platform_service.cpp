#include "platform_service_p.h"

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

#include "platform_timer_p.h"

namespace skylarkhub::standin {

namespace {

constexpr std::int64_t body_bytes_most = 64 << 20;
constexpr std::size_t page_rows_most = 1000;
const std::string objects_path = "/v1/objects/";
const std::string instances_path = "/v1/instances/";

std::string error_body(const std::string& error, const std::string& reason)
{
    return nlohmann::json{{"error", error}, {"reason", reason}}.dump(-1, ' ', false,
                                                                     nlohmann::json::error_handler_t::replace);
}

http_response malformed(const std::string& reason)
{
    return {400, {}, error_body("malformed", reason)};
}

http_response table_down()
{
    return {503, {}, error_body("table_down", "switched off")};
}

http_response not_found()
{
    return {404, {}, error_body("not_found", "")};
}

std::size_t page_limit(const http_request& request)
{
    const std::string_view text = find_field(request.query, "limit");
    std::size_t limit = page_rows_most;
    std::from_chars(text.data(), text.data() + text.size(), limit);
    return std::clamp<std::size_t>(limit, 1, page_rows_most);
}

bool begins(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

struct platform_service::engine {
    explicit engine(duration list_lag) : state(list_lag) {}

    void handle(const http_request& request, const http_reply& reply)
    {
        absl::MutexLock lock(&mutex);
        if (!begins(request.path, "/v1/table/")) {
            finish(request, reply, serve_other(request));
            return;
        }
        if (state.table_delay() == duration::zero()) {
            finish(request, reply, serve_table(request));
            return;
        }
        timer.run_at(read_clock() + state.table_delay(), [this, request, reply] {
            absl::MutexLock later(&mutex);
            finish(request, reply, serve_table(request));
        });
    }

    void finish(const http_request& request, const http_reply& reply, http_response response)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        state.counters().bytes_in += static_cast<std::int64_t>(request.body.size());
        state.counters().bytes_out += static_cast<std::int64_t>(response.body.size());
        reply(std::move(response));
    }

    http_response serve_table(const http_request& request) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        if (request.path == "/v1/table/commit" && request.method == "POST") {
            return serve_commit(request);
        }
        if (request.path == "/v1/table/row" && request.method == "GET") {
            return serve_row(request);
        }
        if (request.path == "/v1/table/scan" && request.method == "GET") {
            const auto page = state.scan(read_clock(), std::string(find_field(request.query, "prefix")),
                                         std::string(find_field(request.query, "after")), page_limit(request));
            return page ? http_response{200, {}, format_page(*page)} : table_down();
        }
        return not_found();
    }

    http_response serve_commit(const http_request& request) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        std::string reason;
        const auto transaction = parse_commit(request.body, &reason);
        if (!transaction) {
            return malformed(reason);
        }
        const commit_effect effect = state.commit(read_clock(), *transaction);
        switch (effect.status) {
        case commit_status::applied:
            return {200, {}, format_applied(effect.rows)};
        case commit_status::conflict:
            return {409, {}, format_conflict(effect.rows)};
        case commit_status::down:
            return table_down();
        case commit_status::lost:
            break;
        }
        return {http_status_close, {}, {}};
    }

    http_response serve_row(const http_request& request) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        const auto row = state.read(read_clock(), std::string(find_field(request.query, "key")));
        if (!row) {
            return table_down();
        }
        return row->value ? http_response{200, {}, format_row(*row)} : not_found();
    }

    http_response serve_other(const http_request& request) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        if (begins(request.path, objects_path)) {
            return serve_object(request, request.path.substr(objects_path.size()));
        }
        if (begins(request.path, instances_path)) {
            return serve_instance(request, request.path.substr(instances_path.size()));
        }
        if (request.path == "/v1/objects" && request.method == "GET") {
            const auto keys = state.list_objects(std::string(find_field(request.query, "prefix")));
            return {200, {}, nlohmann::json{{"keys", keys}}.dump()};
        }
        if (request.path == "/v1/instances" && request.method == "GET") {
            return {200, {}, format_instances(state.list_instances(read_clock()))};
        }
        if (request.path == "/v1/switches" && request.method == "POST") {
            return serve_switches(request);
        }
        if (request.path == "/v1/counters" && request.method == "GET") {
            return {200, {}, format_counters(state.counters())};
        }
        return not_found();
    }

    http_response serve_object(const http_request& request, const std::string& key) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        if (request.method == "PUT") {
            state.put_object(key, request.body);
            return {200, {}, "{}"};
        }
        if (request.method == "DELETE") {
            state.remove_object(key);
            return {200, {}, "{}"};
        }
        auto bytes = state.get_object(key);
        return bytes ? http_response{200, {}, std::move(*bytes)} : not_found();
    }

    http_response serve_instance(const http_request& request, const std::string& id)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        if (request.method == "DELETE") {
            state.unregister_instance(read_clock(), id);
            return {200, {}, "{}"};
        }
        std::string reason;
        const auto instance = parse_instance(request.body, &reason);
        if (request.method != "PUT" || !instance || instance->id != id) {
            return malformed(instance ? "the id in the path and in the body differ" : reason);
        }
        state.register_instance(read_clock(), *instance);
        return {200, {}, "{}"};
    }

    http_response serve_switches(const http_request& request) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        std::string reason;
        const auto switches = parse_switches(request.body, &reason);
        if (!switches) {
            return malformed(reason);
        }
        state.change_switches(read_clock(), *switches);
        return {200, {}, "{}"};
    }

    mutable absl::Mutex mutex;
    platform_state state ABSL_GUARDED_BY(mutex);
    std::unique_ptr<http_server> server;
    platform_timer timer; // last: what it still runs uses the rest
};

platform_service::platform_service(std::unique_ptr<engine> e) : engine_(std::move(e)) {}

std::unique_ptr<platform_service> platform_service::start(const options& o, std::string* last_reason)
{
    auto e = std::make_unique<engine>(o.list_lag);
    engine* const raw = e.get();
    e->server = http_server::start(
        {.address = o.address, .threads = 4, .body_bytes_most = body_bytes_most},
        [raw](const http_request& request, const http_reply& reply) { raw->handle(request, reply); }, last_reason);
    if (!e->server) {
        return nullptr;
    }
    return std::unique_ptr<platform_service>(new platform_service(std::move(e)));
}

platform_service::~platform_service()
{
    engine_->server.reset();
}

net_address platform_service::address() const
{
    return engine_->server->address();
}

void platform_service::change_switches(const platform_switches& switches)
{
    absl::MutexLock lock(&engine_->mutex);
    engine_->state.change_switches(read_clock(), switches);
}

platform_counters platform_service::read_counters() const
{
    absl::MutexLock lock(&engine_->mutex);
    return engine_->state.counters();
}

} // namespace skylarkhub::standin
