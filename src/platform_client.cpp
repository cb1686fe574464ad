#include "platform_client_p.h"

#include <absl/container/flat_hash_map.h>
#include <absl/random/random.h>
#include <absl/synchronization/mutex.h>
#include <fmt/format.h>

#include "config.h"
#include "platform_table_p.h"
#include "platform_timer_p.h"
#include "platform_wire_p.h"

namespace skylarkhub {

namespace {

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
    if (rows) {
        result.rows = std::move(*rows);
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
    return parse_row(answer.body, nullptr);
}

std::string failure_of(const http_result& answer)
{
    return answer.answered ? fmt::format("the table answered {}", answer.status) : answer.reason;
}

} // namespace

// Carries asks into the decisions and their calls out. Callbacks never run under the lock, nor on the asking thread.
struct platform_client::engine : std::enable_shared_from_this<engine> {
    using callback = std::variant<std::function<void(table_result)>, std::function<void(std::optional<table_row>)>,
                                  std::function<void(table_scan_result)>>;
    using finished = std::function<void()>;

    engine(http_client& client, options opts) : http(client), o(std::move(opts)), table(o, absl::BitGen()()) {}

    http_call call(const char* method, std::string target, std::string body = {}) const
    {
        return {.method = method,
                .address = o.address,
                .target = std::move(target),
                .body = std::move(body),
                .timeout = o.timeout};
    }

    // Takes an ask. An answer given at once is handed to the timer's thread, for the asker may hold a lock that its
    // callback takes; from a callback of a closing client it is given here.
    template <class Event> void ask(Event event, callback&& done)
    {
        std::vector<finished> ended;
        {
            absl::MutexLock lock(&mutex);
            last_ask = last_ask.next();
            event.ask = last_ask;
            callbacks.emplace(last_ask, std::move(done));
            decide(event, ended);
            if (!closed && !ended.empty()) {
                std::move(ended.begin(), ended.end(), std::back_inserter(handed_over));
                ended.clear();
                timer->run_at(instant{}, [this] { run_handed_over(); });
            }
        }
        run(ended);
    }

    static void run(const std::vector<finished>& ended)
    {
        for (const finished& f : ended) {
            f();
        }
    }

    void run_handed_over()
    {
        std::vector<finished> ended;
        {
            absl::MutexLock lock(&mutex);
            ended.swap(handed_over);
        }
        run(ended);
    }

    // Takes an answer or a tick, on a thread of the client's own.
    void tell(const table_event& event)
    {
        std::vector<finished> ended;
        {
            absl::MutexLock lock(&mutex);
            if (closed) {
                return;
            }
            decide(event, ended);
        }
        run(ended);
    }

    void decide(const table_event& event, std::vector<finished>& ended) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        std::vector<table_action> actions;
        table.decide(read_clock(), event, actions);
        for (table_action& action : actions) {
            std::visit([&](auto& a) { carry_out(a, ended); }, action);
        }
        set_wake();
    }

    void set_wake() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        const auto wake = table.next_wake();
        if (closed || !wake || (wake_set && *wake_set <= *wake)) {
            return;
        }
        wake_set = *wake;
        // Not an owner: the last one must not let go on the timer's own thread.
        timer->run_at(*wake, [this, at = *wake] { tick(at); });
    }

    void tick(instant at)
    {
        {
            absl::MutexLock lock(&mutex);
            if (wake_set == at) {
                wake_set.reset();
            }
        }
        tell(table_tick{});
    }

    void carry_out(send_table_commit& a, std::vector<finished>& ended)
    {
        static_cast<void>(ended);
        http_call c = call("POST", "/v1/table/commit", format_commit(a.transaction));
        c.timeout = a.timeout;
        http.send(std::move(c), [self = shared_from_this(), id = a.call,
                                 operation = a.transaction.operation](const http_result& answer) {
            self->tell(table_commit_answered{id, read_commit_answer(operation, answer)});
        });
    }

    void carry_out(send_table_read& a, std::vector<finished>& ended)
    {
        static_cast<void>(ended);
        http_call c = call("GET", "/v1/table/row?key=" + encode_url_part(a.key));
        c.timeout = a.timeout;
        http.send(std::move(c), [self = shared_from_this(), id = a.call, key = a.key](const http_result& answer) {
            self->tell(table_read_answered{id, read_row_answer(key, answer)});
        });
    }

    void carry_out(send_table_page& a, std::vector<finished>& ended)
    {
        static_cast<void>(ended);
        http_call c = call("GET", fmt::format("/v1/table/scan?prefix={}&limit={}&after={}", encode_url_part(a.prefix),
                                              config::table_page_rows, encode_url_part(a.after)));
        c.timeout = a.timeout;
        http.send(std::move(c), [self = shared_from_this(), id = a.call](const http_result& answer) {
            table_page_answered event{.call = id};
            const bool good = answer.answered && answer.status == 200;
            event.page = good ? parse_page(answer.body, &event.reason) : std::nullopt;
            event.reason = good ? event.reason : failure_of(answer);
            self->tell(event);
        });
    }

    template <class Answer>
    void finish(table_ask ask, Answer answer, std::vector<finished>& ended) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        auto done = callbacks.extract(ask);
        ended.push_back([done = std::get<std::function<void(Answer)>>(std::move(done.mapped())),
                         answer = std::move(answer)] { done(answer); });
    }
    void carry_out(finish_table_commit& a, std::vector<finished>& ended) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        finish(a.ask, std::move(a.result), ended);
    }
    void carry_out(finish_table_read& a, std::vector<finished>& ended) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        finish(a.ask, std::move(a.row), ended);
    }
    void carry_out(finish_table_scan& a, std::vector<finished>& ended) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        finish(a.ask, std::move(a.result), ended);
    }

    void close()
    {
        std::vector<finished> ended;
        {
            absl::MutexLock lock(&mutex);
            closed = true;
            std::vector<table_action> actions;
            table.abandon(actions);
            for (table_action& action : actions) {
                std::visit([&](auto& a) { carry_out(a, ended); }, action);
            }
        }
        timer.reset();
        run_handed_over();
        run(ended);
    }

    http_client& http;
    const options o;
    absl::Mutex mutex;
    platform_table table ABSL_GUARDED_BY(mutex);
    table_ask last_ask ABSL_GUARDED_BY(mutex);
    absl::flat_hash_map<table_ask, callback> callbacks ABSL_GUARDED_BY(mutex);
    std::vector<finished> handed_over ABSL_GUARDED_BY(mutex);
    std::optional<instant> wake_set ABSL_GUARDED_BY(mutex);
    bool closed ABSL_GUARDED_BY(mutex) = false;
    std::unique_ptr<platform_timer> timer = std::make_unique<platform_timer>();
};

platform_client::platform_client(http_client& http, options o) : engine_(std::make_shared<engine>(http, std::move(o)))
{}

platform_client::~platform_client()
{
    engine_->close();
}

void platform_client::commit(table_traffic traffic, table_transaction transaction,
                             std::function<void(table_result)> done)
{
    engine_->ask(table_commit_asked{{}, traffic, std::move(transaction)}, std::move(done));
}

void platform_client::commit_settled(table_traffic traffic, table_transaction transaction, duration deadline,
                                     std::function<void(table_result)> done)
{
    engine_->ask(table_settle_asked{{}, traffic, std::move(transaction), deadline}, std::move(done));
}

void platform_client::read(table_traffic traffic, std::string key, std::function<void(std::optional<table_row>)> done)
{
    engine_->ask(table_read_asked{{}, traffic, std::move(key)}, std::move(done));
}

void platform_client::scan(table_traffic traffic, std::string prefix, std::function<void(table_scan_result)> done)
{
    engine_->ask(table_scan_asked{{}, traffic, std::move(prefix)}, std::move(done));
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
    return engine_->table.stats(read_clock());
}

} // namespace skylarkhub
