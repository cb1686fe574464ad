#include "platform_client_p.h"

#include <absl/synchronization/mutex.h>
#include <fmt/format.h>

#include "config.h"
#include "platform_wire_p.h"

namespace skylarkhub {

namespace {

constexpr int scan_page_rows = 500;

// What one answer to a commit means. Only an answer that says so, or a request of which no byte can have left, is known
// to have had no effect; everything else is unknown.
table_result read_commit_answer(const operation_id& operation, const http_result& answer)
{
    table_result result{.operation = operation, .reason = answer.reason};
    if (!answer.answered) {
        result.outcome = answer.may_have_arrived ? table_outcome::unknown : table_outcome::refused;
        return result;
    }
    std::optional<std::vector<table_row>> rows;
    switch (answer.status) {
    case 200:
        rows = parse_applied(answer.body, &result.reason);
        result.outcome = rows ? table_outcome::applied : table_outcome::unknown;
        break;
    case 409:
        rows = parse_conflict(answer.body, &result.reason);
        result.outcome = rows ? table_outcome::conflict : table_outcome::unknown;
        break;
    case 429:
    case 503:
        result.outcome = table_outcome::refused;
        break;
    default:
        break;
    }
    if (answer.status != 200 && result.reason.empty()) {
        result.reason = fmt::format("the table answered {}", answer.status);
    }
    for (table_row& row : rows.value_or(std::vector<table_row>())) {
        result.rows.push_back(unwrap_row(std::move(row)));
    }
    return result;
}

std::optional<table_row> read_row_answer(const std::string& key, const http_result& answer)
{
    if (answer.answered && answer.status == 404) {
        return table_row{.key = key};
    }
    if (!answer.answered || answer.status != 200) {
        return std::nullopt;
    }
    auto row = parse_row(answer.body, nullptr);
    return row ? std::optional<table_row>(unwrap_row(std::move(*row))) : std::nullopt;
}

std::string failure_of(const http_result& answer)
{
    return answer.answered ? fmt::format("the table answered {}", answer.status) : answer.reason;
}

} // namespace

struct platform_client::engine : std::enable_shared_from_this<engine> {
    engine(http_client& client, options opts) : http(client), o(std::move(opts)) {}

    http_call call(const char* method, std::string target, std::string body = {}) const
    {
        return {.method = method,
                .address = o.address,
                .target = std::move(target),
                .body = std::move(body),
                .timeout = o.timeout};
    }

    void commit(table_transaction stored, std::function<void(table_result)> done)
    {
        for (table_write& write : stored.writes) {
            if (write.value) {
                write.value = stored_value(stored.operation, *write.value);
            }
        }
        {
            absl::MutexLock lock(&mutex);
            ++counts.commits;
        }
        http_call c = call("POST", "/v1/table/commit", format_commit(stored));
        // A second sending would meet the effect of the first one and be told of a conflict.
        c.send_once = true;
        auto self = shared_from_this();
        http.send(std::move(c), [self, stored = std::move(stored), done = std::move(done)](const http_result& answer) {
            table_result result = read_commit_answer(stored.operation, answer);
            self->count_commit(result, stored.writes.size());
            done(std::move(result));
        });
    }

    void count_commit(const table_result& result, std::size_t rows)
    {
        absl::MutexLock lock(&mutex);
        if (result.outcome == table_outcome::applied) {
            counts.rows_written += static_cast<std::int64_t>(rows);
        }
        if (result.outcome == table_outcome::unknown) {
            ++counts.unknown;
        }
    }

    void count_read()
    {
        absl::MutexLock lock(&mutex);
        ++counts.reads;
    }

    // Reads on after `after`, page by page, and answers with the whole.
    void scan_on(table_scan_result so_far, const std::string& after, std::function<void(table_scan_result)> done)
    {
        count_read();
        http_call c = call("GET", fmt::format("/v1/table/scan?prefix={}&limit={}&after={}",
                                              encode_url_part(so_far.prefix), scan_page_rows, encode_url_part(after)));
        auto self = shared_from_this();
        http.send(std::move(c), [self, so_far = std::move(so_far), done = std::move(done)](const http_result& answer) {
            self->take_page(so_far, answer, done);
        });
    }

    void take_page(table_scan_result so_far, const http_result& answer, std::function<void(table_scan_result)> done)
    {
        std::optional<table_page> page;
        if (answer.answered && answer.status == 200) {
            page = parse_page(answer.body, &so_far.reason);
        }
        if (!page || (page->more && page->rows.empty())) {
            so_far.reason = so_far.reason.empty() ? failure_of(answer) : so_far.reason;
            done(std::move(so_far));
            return;
        }
        for (table_row& row : page->rows) {
            so_far.rows.push_back(unwrap_row(std::move(row)));
        }
        if (page->more) {
            const std::string after = so_far.rows.back().key;
            scan_on(std::move(so_far), after, std::move(done));
            return;
        }
        so_far.complete = true;
        done(std::move(so_far));
    }

    http_client& http;
    const options o;
    mutable absl::Mutex mutex;
    stats counts ABSL_GUARDED_BY(mutex);
};

platform_client::platform_client(http_client& http, options o) : engine_(std::make_shared<engine>(http, std::move(o)))
{}

platform_client::~platform_client() = default;

void platform_client::commit(table_traffic traffic, table_transaction transaction,
                             std::function<void(table_result)> done)
{
    static_cast<void>(traffic);
    engine_->commit(std::move(transaction), std::move(done));
}

void platform_client::commit_settled(table_traffic traffic, table_transaction transaction, duration deadline,
                                     std::function<void(table_result)> done)
{
    static_cast<void>(deadline);
    commit(traffic, std::move(transaction), std::move(done));
}

void platform_client::read(table_traffic traffic, std::string key, std::function<void(std::optional<table_row>)> done)
{
    static_cast<void>(traffic);
    engine_->count_read();
    http_call c = engine_->call("GET", "/v1/table/row?key=" + encode_url_part(key));
    engine_->http.send(std::move(c), [key = std::move(key), done = std::move(done)](const http_result& answer) {
        done(read_row_answer(key, answer));
    });
}

void platform_client::scan(table_traffic traffic, std::string prefix, std::function<void(table_scan_result)> done)
{
    static_cast<void>(traffic);
    engine_->scan_on({.prefix = std::move(prefix)}, {}, std::move(done));
}

void platform_client::list_instances(std::function<void(std::optional<std::vector<listed_instance>>)> done)
{
    engine_->http.send(engine_->call("GET", "/v1/instances"), [done = std::move(done)](const http_result& answer) {
        const bool good = answer.answered && answer.status == 200;
        done(good ? parse_instances(answer.body, nullptr) : std::nullopt);
    });
}

void platform_client::register_instance(const listed_instance& self, std::function<void(bool)> done)
{
    http_call c = engine_->call("PUT", "/v1/instances/" + encode_url_part(self.id), format_instance(self));
    engine_->http.send(std::move(c), [done = std::move(done)](const http_result& answer) {
        done(answer.answered && answer.status == 200);
    });
}

void platform_client::unregister_instance(const std::string& id, std::function<void(bool)> done)
{
    http_call c = engine_->call("DELETE", "/v1/instances/" + encode_url_part(id));
    engine_->http.send(std::move(c), [done = std::move(done)](const http_result& answer) {
        done(answer.answered && answer.status == 200);
    });
}

platform_client::stats platform_client::read_stats() const
{
    absl::MutexLock lock(&engine_->mutex);
    return engine_->counts;
}

} // namespace skylarkhub
