// What an entry on the users' platform spends on each kind of event, in microseconds of its thread, decoding and
// encoding included; the sockets are not. One entry owns a cell among faked workers, a table in memory and 34 peers
// that each own another cell.
//
//     bench_flow WORKERS [SECONDS]     of virtual time; WORKERS of the cell, 24 when left out
#include <absl/strings/escaping.h>
#include <fmt/format.h>
#include <time.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>

#include "flow_entry_p.h"
#include "flow_limits_p.h"
#include "operator_wire.h"
#include "row_codec_p.h"
#include "table_wire.h"
#include "worker_wire.h"

namespace {

using namespace skylarkhub;
using namespace std::chrono_literals;

constexpr int peers = 34;
constexpr int listed_workers = 490; // of the whole site
constexpr int lasting_per_worker = 10;
constexpr int filling_per_worker = 2;
constexpr int lasting_per_job = 20;
constexpr int short_tasks_per_job = 4;
constexpr duration short_job_every = 200ms; // 20 tasks a second
constexpr duration short_task_takes = 300ms;
constexpr duration filling_task_takes = 20s;
constexpr int images = 9;
constexpr int other_rows = 3; // rows that other cells write, for each of this one's
constexpr duration network = 2ms;
constexpr duration table_takes = 8ms;
constexpr duration warm_up = 10s; // until the lasting tasks run

double thread_micros()
{
    timespec t{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}

struct cost {
    std::int64_t events = 0;
    double micros = 0;
};

struct fake_worker {
    worker_place place;
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> running; // task as the wire has it -> run, measure
    std::vector<std::string> ends;                                        // rows of the wire
    std::int64_t last_end = 0;
    std::int64_t confirmed = 0;
    std::function<void()> answer; // of the exchange under way
};

class bench_site {
public:
    explicit bench_site(int workers) : workers_(static_cast<std::size_t>(workers))
    {
        for (int i = 0; i < workers; ++i) {
            workers_[static_cast<std::size_t>(i)].place = {worker_id(fmt::format("server-{}@1", i)),
                                                           net_address(fmt::format("10.1.{}.{}:1", i / 250, i % 250))};
        }
        make_list();
        make_config();
        entry_ = std::make_unique<flow_entry>(identity(0), make_edges());
        later("begin", 1ms, [this] { entry_->begin(now_); });
        for (int p = 1; p <= peers; ++p) {
            if (identity(p).entry < identity(0).entry) {
                say_hello(p); // of two that know each other one begins
            }
        }
        renew_others();
    }

    void run_for(duration d)
    {
        const instant end = now_ + d;
        while (!queue_.empty() && queue_.begin()->first <= end) {
            auto node = queue_.extract(queue_.begin());
            now_ = node.key();
            auto& [kind, what] = node.mapped();
            if (kind.empty()) {
                what();
                continue;
            }
            const double before = thread_micros();
            what();
            entry_->run_deferred_work(now_);
            cost& c = costs_[kind];
            c.micros += thread_micros() - before;
            ++c.events;
        }
        now_ = end;
    }

    void submit_lasting()
    {
        const int count = static_cast<int>(workers_.size()) * lasting_per_worker / lasting_per_job;
        for (int i = 0; i < count; ++i) {
            flow_step step;
            step.count = lasting_per_job;
            step.need = {1000, 1000, 0};
            step.lasting = true;
            step.image = fmt::format("serve-{}", i % images);
            step.tail_target = 100ms;
            submit(step);
        }
    }

    void submit_filling()
    {
        for (std::size_t i = 0; i < workers_.size(); ++i) {
            flow_step step;
            step.count = filling_per_worker;
            step.need = {1000, 1000, 0};
            step.filling = true;
            step.checkpointing = true;
            step.estimate = filling_task_takes;
            step.image = fmt::format("fill-{}", i % images);
            submit(step);
        }
        later("", filling_task_takes, [this] { submit_filling(); });
    }

    void submit_short()
    {
        flow_step step;
        step.count = short_tasks_per_job;
        step.need = {500, 100, 0};
        step.estimate = short_task_takes;
        step.image = "short";
        submit(step);
        later("", short_job_every, [this] { submit_short(); });
    }

    void forget_costs() { costs_.clear(); }

    void print(duration over) const
    {
        const double seconds = std::chrono::duration<double>(over).count();
        double sum = 0;
        fmt::print("{:<16}{:>10}{:>12}{:>12}\n", "event", "a second", "us each", "ms/s");
        for (const auto& [kind, c] : costs_) {
            fmt::print("{:<16}{:>10.1f}{:>12.1f}{:>12.3f}\n", kind, static_cast<double>(c.events) / seconds,
                       c.micros / static_cast<double>(c.events), c.micros / 1e3 / seconds);
            sum += c.micros / 1e3 / seconds;
        }
        std::int64_t running = 0;
        for (const fake_worker& w : workers_) {
            running += static_cast<std::int64_t>(w.running.size());
        }
        fmt::print("{:<16}{:>10}{:>12}{:>12.3f}   {} runs at the end\n", "all", "", "", sum, running);
    }

private:
    // `kind` empty: of the world, not of the entry.
    void later(std::string kind, duration wait, std::function<void()> what)
    {
        queue_.emplace(now_ + std::max(wait, duration(1)), std::make_pair(std::move(kind), std::move(what)));
    }

    // 0: the entry that is measured, in the middle of the peers' names.
    static entry_identity identity(int n)
    {
        const std::string name = n == 0 ? fmt::format("entry-{}x", 10 + peers / 2) : fmt::format("entry-{}", 10 + n);
        return {entry_id(name), incarnation_id(name + "@1"), net_address(fmt::format("10.0.0.{}:1", n)),
                data_centre_id(fmt::format("zone-{}", n % 4))};
    }

    void make_list()
    {
        std::string rows;
        for (int i = 0; i < listed_workers; ++i) {
            const bool own = static_cast<std::size_t>(i) < workers_.size();
            const worker_place place =
                own ? workers_[static_cast<std::size_t>(i)].place
                    : worker_place{worker_id(fmt::format("other-{}@1", i)), net_address(fmt::format("10.2.0.{}:1", i))};
            const std::string value = fmt::format(
                R"({{"address":"{}","zone":"{}","service":"work","state":"ready","room":{{"cpu":16000,"mem-mb":64000,"gpus":0}},"labels":["plain","rack-{}"]}})",
                place.address.str(), own ? "zone-0" : fmt::format("zone-{}", 1 + i % 3), i / 6);
            rows += fmt::format(R"({}{{"table":"servers","part":"","key":"{}","schema-version":{},"value":"{}"}})",
                                rows.empty() ? "" : ",", place.worker.str(), i + 1, absl::Base64Escape(value));
        }
        list_ = fmt::format(R"({{"schema-version":{},"has-more":false,"rows":[{}]}})", listed_workers, rows);
    }

    void make_config()
    {
        config_.version = settings_version(1);
        flow_queue queue;
        queue.name = queue_id("q");
        queue.host = "host";
        queue.prefix = "/q/";
        queue.service = "work";
        config_.queues.push_back(queue);
        config_.services.push_back({"work", false, false});
    }

    void submit(const flow_step& step)
    {
        caller_request request;
        request.verb = caller_verb::submit;
        request.host = "host";
        request.path = fmt::format("/q/{:016x}", ++jobs_);
        request.spec.emplace();
        request.spec->payload = std::string(200, 'x');
        request.spec->steps.push_back(step);
        steps_[request.path.substr(3)] = step;
        later("submit", 1ms, [this, request] { entry_->on_request(now_, request, [](const caller_answer&) {}); });
    }

    // --- the table ---

    store_result apply(const store_transaction& t)
    {
        store_result result;
        for (const store_check& check : t.checks) {
            const auto at = rows_.find(check.key);
            const row_version found = at == rows_.end() ? row_version(0) : at->second.version;
            if (found != check.version) {
                result.outcome = table_outcome::conflict;
                if (at != rows_.end()) {
                    result.rows.push_back(at->second);
                }
            }
        }
        if (result.outcome == table_outcome::conflict) {
            return result;
        }
        result.outcome = table_outcome::applied;
        result.version = row_version(++version_);
        for (const store_put& put : t.puts) {
            rows_[put.key] = {put.key, put.value, result.version, false};
            if (put.key.table == news_table) {
                add_others(put);
            }
        }
        return result;
    }

    void add_others(const store_put& put)
    {
        auto row = decode_compact<wire::flow_job_row>(put.value);
        row->cell = "zone-1";
        for (int i = 1; i <= other_rows; ++i) {
            const job_row_name name = parse_job_row_key(put.key);
            const job_id other(fmt::format("{}{}", i + 3, name.job.str().substr(1)));
            const store_key key = job_row_key(accepted_row(cell_id("zone-1"), other));
            rows_[key] = {key, encode_compact(*row), row_version(++version_), false};
        }
    }

    // The cells of the other workers have owners that live.
    void renew_others()
    {
        for (int cell = 1; cell <= 3; ++cell) {
            const entry_identity owner = identity(cell);
            wire::flow_cell_row row;
            row.epoch = 1;
            row.owner = owner.entry.str();
            row.incarnation = owner.incarnation.str();
            row.address = owner.address.str();
            row.renewals = version_;
            const store_key key = cell_key(cell_id(fmt::format("zone-{}", cell)));
            rows_[key] = {key, encode_compact(row), row_version(++version_), false};
        }
        later("", 1s, [this] { renew_others(); });
    }

    std::string page_text(const std::vector<store_row>& rows) const
    {
        std::string text;
        for (const store_row& row : rows) {
            text += fmt::format(R"({}{{"table":"{}","part":"{}","key":"{}","schema-version":{},"value":"{}"}})",
                                text.empty() ? "" : ",", row.key.table, row.key.part, row.key.key, row.version.value(),
                                absl::Base64Escape(row.value));
        }
        return fmt::format(R"({{"schema-version":{},"has-more":false,"rows":[{}]}})", version_, text);
    }

    static http_result answered(std::string body)
    {
        http_result result;
        result.answered = true;
        result.status = 200;
        result.body = std::move(body);
        return result;
    }

    // --- workers ---

    fake_worker* find(const worker_id& id)
    {
        const auto at =
            std::find_if(workers_.begin(), workers_.end(), [&](const fake_worker& w) { return w.place.worker == id; });
        return at == workers_.end() ? nullptr : &*at;
    }

    std::string clock_text() const
    {
        return fmt::format(R"("clock-ms":{})",
                           std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count());
    }

    std::string hold_text(const fake_worker& w) const
    {
        std::string running;
        for (const auto& [task, run] : w.running) {
            running += fmt::format(R"({}["{}",{},"",100,{}])", running.empty() ? "" : ",", task, run.first, run.second);
        }
        std::string ends;
        for (const std::string& end : w.ends) {
            ends += (ends.empty() ? "" : ",") + end;
        }
        return fmt::format(R"({{{},"running":[{}],"finished":[{}]}})", clock_text(), running, ends);
    }

    void answer_hold(fake_worker& w)
    {
        if (w.answer) {
            const auto answer = std::exchange(w.answer, nullptr);
            answer();
        }
    }

    void start(fake_worker& w, const start_run& order)
    {
        const std::string task =
            fmt::format("{}.{}.{}.{}", order.task.job.str(), order.task.occurrence, order.task.step, order.task.index);
        const flow_step& step = steps_.at(order.task.job.str());
        const std::int64_t measure = step.tail_target > duration(0) ? 30 + jobs_ % 40 : 800;
        w.running[task] = {order.run.value(), measure};
        if (!step.lasting) {
            later("", step.estimate, [this, &w, task] { end(w, task); });
        }
    }

    void end(fake_worker& w, const std::string& task)
    {
        const auto at = w.running.find(task);
        if (at == w.running.end()) {
            return;
        }
        w.ends.push_back(fmt::format(R"([{},"{}",{},"done",""])", ++w.last_end, task, at->second.first));
        w.running.erase(at);
        answer_hold(w);
    }

    void carry_out(fake_worker& w, const worker_order& order, const std::function<void(instant, order_answer)>& done)
    {
        if (const auto* const hold = std::get_if<hold_worker>(&order)) {
            const auto known =
                std::min<std::int64_t>(hold->confirmed.value() - w.confirmed, static_cast<std::int64_t>(w.ends.size()));
            w.ends.erase(w.ends.begin(), w.ends.begin() + std::max<std::int64_t>(known, 0));
            w.confirmed = std::max(w.confirmed, hold->confirmed.value());
            w.answer = [this, &w, order, done] {
                const std::string text = hold_text(w);
                later(w.ends.empty() ? "hold" : "hold with ends", network,
                      [this, order, done, text] { done(now_, platform::read_answer(order, answered(text))); });
            };
            if (!w.ends.empty() || hold->wait == duration(0)) {
                answer_hold(w);
                return;
            }
            later("", hold->wait, [this, &w, waiting = ++holds_, serial = &holds_by_worker_[w.place.worker]] {
                if (*serial == waiting) {
                    answer_hold(w);
                }
            });
            holds_by_worker_[w.place.worker] = holds_;
            return;
        }
        const char* kind = "stop answered";
        if (const auto* const begun = std::get_if<start_run>(&order)) {
            start(w, *begun);
            kind = "start answered";
        }
        else if (std::holds_alternative<pace_run>(order)) {
            kind = "pace answered";
        }
        const std::string text = "{" + clock_text() + "}";
        later(kind, network, [this, order, done, text] { done(now_, platform::read_answer(order, answered(text))); });
    }

    // --- peers ---

    // Names of entries and presses are told for somewhat more than one round of hellos, as the product does.
    std::string hello_text(int p) const
    {
        const bool with_rest =
            now_.time_since_epoch() % flow_limits::presses_interval < flow_limits::presses_report_window;
        wire::flow_message message;
        wire::flow_hello h;
        const auto row = [](const entry_identity& e) {
            wire::flow_entry_row r;
            r.entry = e.entry.str();
            r.incarnation = e.incarnation.str();
            r.address = e.address.str();
            r.data_centre = e.data_centre.str();
            return r;
        };
        h.sender = row(identity(p));
        h.config_version = 1;
        for (int m = 0; with_rest && m <= peers; ++m) {
            h.members.push_back(row(identity(m)));
        }
        wire::flow_cell_news news;
        news.cell = fmt::format("zone-{}", p);
        news.epoch = 1;
        for (int s = 0; with_rest && s < images; ++s) {
            for (int f = 0; f < images; ++f) {
                news.presses[fmt::format("serve-{}|fill-{}", s, f)] = 1.2;
            }
        }
        h.cells.push_back(news);
        message.__set_hello(h);
        return encode_compact(message);
    }

    void say_hello(int p)
    {
        const std::string text = hello_text(p);
        later("hello heard", 500ms + p * 1ms, [this, text] {
            const auto message = decode_compact<wire::flow_message>(text);
            entry_->on_message(now_, *message,
                               [](const wire::flow_message& answer) { static_cast<void>(encode_compact(answer)); });
        });
        later("", 500ms, [this, p] { say_hello(p); });
    }

    flow_edges make_edges()
    {
        flow_edges edges;
        edges.note = [](log_level, std::string_view, std::string_view, std::initializer_list<log_field>) {};
        edges.commit = [this](const store_transaction& t, const std::function<void(instant, store_result)>& done) {
            static_cast<void>(platform::make_commit(net_address("10.0.1.1:1"), t));
            later("", table_takes, [this, t, done] {
                const store_result result = apply(t);
                later("commit answered", network, [this, result, done] { done(now_, result); });
            });
        };
        edges.read = [this](const store_range& range, const std::function<void(instant, store_page)>& done) {
            std::vector<store_row> rows;
            for (const auto& [key, row] : rows_) {
                const bool inside = key.table == range.table && key.part == range.part && key.key >= range.from &&
                                    (range.to.empty() || key.key < range.to);
                if (inside) {
                    rows.push_back(row);
                }
            }
            later("read answered", table_takes,
                  [this, text = page_text(rows), done] { done(now_, platform::read_page(answered(text))); });
        };
        edges.watch = [this](const store_watch& watch, const std::function<void(instant, store_page)>& done) {
            std::vector<store_row> rows;
            for (const auto& [key, row] : rows_) {
                if (key.table == watch.table && row.version > watch.after) {
                    rows.push_back(row);
                }
            }
            later("jobs feed", table_takes,
                  [this, text = page_text(rows), done] { done(now_, platform::read_page(answered(text))); });
        };
        edges.order = [this](const worker_place& to, const worker_order& order, duration,
                             const std::function<void(instant, order_answer)>& done) {
            static_cast<void>(platform::make_order(to, order));
            later("", network, [this, to, order, done] {
                fake_worker* const w = find(to.worker);
                if (w != nullptr) {
                    carry_out(*w, order, done);
                }
            });
        };
        edges.send_message = [this](const net_address& peer, const wire::flow_message& message,
                                    const std::function<void(instant, std::optional<wire::flow_message>)>& done) {
            static_cast<void>(encode_compact(message));
            const std::string host = peer.str().substr(0, peer.str().find(':'));
            const int p = std::atoi(host.substr(host.rfind('.') + 1).c_str());
            later("hello answered", network,
                  [this, text = hello_text(p), done] { done(now_, decode_compact<wire::flow_message>(text)); });
        };
        edges.after = [this](duration wait, const std::function<void(instant)>& step) {
            const char* const kind = wait == duration(100ms) ? "tick" : "timer";
            later(kind, wait, [this, step] { step(now_); });
        };
        edges.wall = [this] { return wall_time(now_.time_since_epoch()); };
        edges.list_workers = [this](std::function<void(instant, std::optional<flow_worker_list>)> done) {
            later("list", table_takes, [this, done = std::move(done)] {
                done(now_, list_reader_.read(platform::read_page(answered(list_)).rows));
            });
        };
        edges.watch_operator = [this](row_version after, duration wait,
                                      const std::function<void(instant, operator_update)>& done) {
            operator_update page;
            page.reached = true;
            page.version = row_version(1);
            if (after == row_version(0)) {
                page.config = config_;
            }
            later("operator", after == row_version(0) ? duration(table_takes) : wait,
                  [this, page, done] { done(now_, page); });
        };
        edges.parse_config = [](const std::string&) { return std::nullopt; };
        return edges;
    }

    instant now_{1000s};
    std::multimap<instant, std::pair<std::string, std::function<void()>>> queue_;
    std::vector<fake_worker> workers_;
    std::map<worker_id, std::int64_t> holds_by_worker_;
    std::int64_t holds_ = 0;
    std::map<store_key, store_row> rows_;
    std::int64_t version_ = 0;
    std::int64_t jobs_ = 0;
    std::map<std::string, flow_step> steps_;
    std::string list_;
    platform::worker_list_reader list_reader_;
    flow_config config_;
    std::map<std::string, cost> costs_;
    std::unique_ptr<flow_entry> entry_;
};

} // namespace

int main(int argc, char** argv)
{
    const int workers = argc > 1 ? std::atoi(argv[1]) : 24;
    const std::chrono::seconds over(argc > 2 ? std::atoi(argv[2]) : 20);
    bench_site site(workers);
    site.run_for(5s);
    site.submit_lasting();
    site.run_for(2s);
    site.submit_filling();
    site.submit_short();
    site.run_for(warm_up);
    site.forget_costs();
    site.run_for(over);
    fmt::print("{} workers, {} s\n", workers, over.count());
    site.print(over);
    return 0;
}
