#include "support_flow_simulation.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <sstream>

#include "flow_row_p.h"
#include "row_codec_p.h"

namespace skylarkhub::test {

namespace {

using namespace std::chrono_literals;

constexpr int max_failures = 3;
// A task that has crashed this many workers may be started at most max_starts_after_crashes times more.
constexpr int max_crashes = 3;
constexpr int max_starts_after_crashes = 2;
constexpr duration page_timeout = 1500ms;
constexpr duration peer_timeout = 900ms;
constexpr std::size_t empty_answer_bytes = 300; // of an answer to a watch that shows no change
constexpr duration watch_timeout = 1500ms;      // for the rest of an answer that has begun
// How long a task may run on after its job was cancelled, or after a delayed start: the time until the owner learns of
// it and the worker has stopped the task.
constexpr duration max_cancelled_run_time = 3200ms;
constexpr duration recovery_time = 3s; // after an entry is killed, time limits do not apply for this long
constexpr duration check_interval = 50ms;
constexpr duration evacuation_bound = 5s; // from the operator's write to the last start there
constexpr duration feed_history = 20s;
constexpr duration max_lease = 10s;         // a worker shortens longer leases
constexpr duration listing_expiry = 4500ms; // of a worker that is silent
constexpr duration first_clock = 3s;        // of a worker when it starts again
constexpr duration gang_timeout = 3s;       // a member whose gang is not complete by then ends as `alone`

resources larger(const resources& a, const resources& b)
{
    return {std::max(a.cpu_millis, b.cpu_millis), std::max(a.memory_mib, b.memory_mib),
            std::max(a.accelerators, b.accelerators)};
}

// What a task takes of its worker's room: the processors of filling work do not count.
resources counted_room(resources need, bool filling)
{
    need.cpu_millis = filling ? 0 : need.cpu_millis;
    return need;
}

flow_queue make_queue(const std::string& name)
{
    flow_queue queue;
    queue.name = queue_id(name);
    queue.host = "host";
    queue.prefix = fmt::format("/{}/", name);
    queue.service = "service";
    queue.failures_most = max_failures;
    return queue;
}

// Writes "VERSION QUEUE QUEUE ... ;", padded to `bytes`.
std::string write_config_text(std::int64_t version, const std::vector<std::string>& queues, std::size_t bytes)
{
    std::string text = fmt::format("{} {} ;", version, fmt::join(queues, " "));
    text.resize(std::max(bytes, text.size()), '.');
    return text;
}

// The row of the table that holds the operator's configuration.
store_key operator_config_key()
{
    return {"operator", "", "config"};
}

std::optional<flow_config> read_config_text(const std::string& text)
{
    std::istringstream words(text);
    std::int64_t version = 0;
    if (!(words >> version)) {
        return std::nullopt;
    }
    flow_config config;
    config.version = settings_version(version);
    std::string word;
    while (words >> word && word.front() != ';') {
        config.queues.push_back(make_queue(word));
    }
    config.services.push_back({"service", false, false});
    return config;
}

} // namespace

flow_spec chain_spec(int steps, int count, std::int64_t cpu_millis)
{
    flow_spec spec;
    spec.payload = "payload";
    for (int i = 0; i < steps; ++i) {
        flow_step step;
        step.count = count;
        step.need = {cpu_millis, 1000, 0};
        if (i > 0) {
            step.after.push_back(i - 1);
        }
        spec.steps.push_back(step);
    }
    return spec;
}

flow_spec lasting_spec(int count, std::int64_t cpu_millis)
{
    flow_spec spec = chain_spec(1, count, cpu_millis);
    spec.steps.front().lasting = true;
    return spec;
}

flow_simulation::flow_simulation(options o)
    : options_(std::move(o)),
      random_(make_random(options_.seed)),
      links_(options_.link_bytes_per_s,
             [this](duration d, std::function<void()> what) { schedule(d, std::move(what)); }),
      config_text_(write_config_text(1, {"q"}, 0))
{
    rows_[operator_config_key()] = {config_text_, config_row_};
    int n = 0;
    for (const std::string& dc : options_.data_centres) {
        for (int i = 0; i < options_.entries_per_data_centre; ++i) {
            entry_slot slot;
            slot.identity.entry = entry_id(fmt::format("entry-{}-{}", dc, i));
            slot.identity.address = net_address(fmt::format("10.0.0.{}:1", n));
            slot.identity.data_centre = data_centre_id(dc);
            if (!options_.cores.empty()) {
                slot.identity.cores = options_.cores.at(static_cast<std::size_t>(i) % options_.cores.size());
            }
            entries_.push_back(std::move(slot));
            ++n;
        }
        for (int i = 0; i < options_.workers_per_data_centre; ++i) {
            add_worker(dc, options_.rack_size == 0 ? "rack-1" : fmt::format("rack-{}-{}", dc, i / options_.rack_size));
        }
    }
    for (int i = 0; i < static_cast<int>(entries_.size()); ++i) {
        start_entry(i);
    }
}

flow_simulation::~flow_simulation() = default;

int flow_simulation::add_worker(const std::string& data_centre, const std::string& rack)
{
    const int n = worker_count();
    const auto in_data_centre = std::count_if(workers_.begin(), workers_.end(),
                                              [&](const auto& w) { return w->data_centre.str() == data_centre; });
    auto w = std::make_unique<flow_fake_worker>();
    w->id = worker_id(fmt::format("w-{}-{}", data_centre, in_data_centre));
    w->address = net_address(fmt::format("10.1.0.{}:1", n));
    w->data_centre = data_centre_id(data_centre);
    w->labels.back() = rack;
    w->room.cpu_millis = options_.worker_cpu_millis;
    w->clock_offset = std::chrono::seconds(1000 + 17 * in_data_centre);
    set_birth(*w);
    workers_.push_back(std::move(w));
    return n;
}

// --- time ---

void flow_simulation::schedule(duration d, std::function<void()> what)
{
    queue_.emplace(now_ + std::max(d, duration(1)), std::move(what));
}

void flow_simulation::run_for(duration d)
{
    const instant end = now_ + d;
    while (!queue_.empty() && queue_.begin()->first <= end) {
        auto at = queue_.begin();
        now_ = at->first;
        std::function<void()> what = std::move(at->second);
        queue_.erase(at);
        what();
    }
    now_ = end;
}

bool flow_simulation::run_until(const std::function<bool()>& done, duration most)
{
    const instant end = now_ + most;
    while (now_ < end) {
        if (done()) {
            return true;
        }
        run_for(20ms);
    }
    return done();
}

// --- entries ---

void flow_simulation::on_entry(int entry, std::uint64_t life, const std::function<void(flow_entry&, instant)>& what,
                               bool timer)
{
    entry_slot& slot = entries_.at(static_cast<std::size_t>(entry));
    if (slot.life != life || !slot.decisions) {
        return;
    }
    if (slot.frozen) {
        slot.deferred.push_back({timer, [this, entry, life, what] { on_entry(entry, life, what); }});
        return;
    }
    what(*slot.decisions, now_);
    slot.decisions->run_deferred_work(now_);
}

void flow_simulation::start_entry(int entry)
{
    entry_slot& slot = entries_.at(static_cast<std::size_t>(entry));
    ++slot.life;
    ++slot.starts;
    slot.identity.incarnation = incarnation_id(fmt::format("{}@{}", slot.identity.entry.str(), slot.starts));
    slot.decisions = std::make_unique<flow_entry>(slot.identity, make_edges(entry), options_.bounds);
    schedule(1ms, [this, entry, life = slot.life] {
        on_entry(entry, life, [](flow_entry& e, instant now) { e.begin(now); });
    });
}

void flow_simulation::kill_entry(int entry)
{
    entry_slot& slot = entries_.at(static_cast<std::size_t>(entry));
    ++slot.life;
    last_kill_ = now_;
    slot.decisions.reset();
    slot.frozen = false;
    slot.deferred.clear();
    connections_.forget(entry);
}

void flow_simulation::pause_entry(int entry)
{
    entries_.at(static_cast<std::size_t>(entry)).frozen = true;
}

void flow_simulation::resume_entry(int entry, bool newest_first)
{
    entry_slot& slot = entries_.at(static_cast<std::size_t>(entry));
    slot.frozen = false;
    if (newest_first) {
        std::reverse(slot.deferred.begin(), slot.deferred.end());
    }
    for (const auto& event : std::exchange(slot.deferred, {})) {
        event.handle();
    }
}

void flow_simulation::run_timers_only(int entry)
{
    entry_slot& slot = entries_.at(static_cast<std::size_t>(entry));
    const auto answers = std::stable_partition(slot.deferred.begin(), slot.deferred.end(),
                                               [](const deferred_event& e) { return e.timer; });
    std::vector<deferred_event> waiting(std::make_move_iterator(answers), std::make_move_iterator(slot.deferred.end()));
    slot.deferred.erase(answers, slot.deferred.end());
    resume_entry(entry);
    slot.frozen = true;
    slot.deferred = std::move(waiting);
}

void flow_simulation::inject_entry_pauses(int entry, duration pause_most)
{
    entry_slot& slot = entries_.at(static_cast<std::size_t>(entry));
    slot.pause_most = pause_most;
    run_slow_turn(entry, ++slot.slow_turns);
}

void flow_simulation::run_slow_turn(int entry, std::uint64_t spell)
{
    entry_slot& slot = entries_.at(static_cast<std::size_t>(entry));
    if (slot.slow_turns != spell) {
        return;
    }
    if (slot.pause_most <= duration(0)) {
        resume_entry(entry);
        return;
    }
    const int order = absl::Uniform(random_, 0, 4);
    if (order == 0) {
        std::shuffle(slot.deferred.begin(), slot.deferred.end(), random_);
    }
    if (order == 1) {
        run_timers_only(entry);
    }
    else {
        resume_entry(entry, order == 2);
    }
    schedule(duration(absl::Uniform<std::int64_t>(random_, 0, 40'000)), [this, entry, spell] {
        entry_slot& slow = entries_.at(static_cast<std::size_t>(entry));
        if (slow.slow_turns != spell) {
            return;
        }
        pause_entry(entry);
        schedule(duration(absl::Uniform<std::int64_t>(random_, 0, slow.pause_most.count())),
                 [this, entry, spell] { run_slow_turn(entry, spell); });
    });
}

duration flow_simulation::sending_delay(int entry)
{
    const duration most = entries_.at(static_cast<std::size_t>(entry)).pause_most / 4;
    return most > duration(0) ? duration(absl::Uniform<std::int64_t>(random_, 0, most.count())) : duration(0);
}

void flow_simulation::shut_down_entry(int entry)
{
    on_entry(entry, entries_.at(static_cast<std::size_t>(entry)).life,
             [](flow_entry& e, instant now) { e.plan_stop(now); });
    run_until([&] { return this->entry(entry)->stopped(); }, 4s);
    kill_entry(entry);
}

bool flow_simulation::table_reached(int entry) const
{
    const auto cut = cut_from_table_.find(entry);
    return !table_down_ && (cut == cut_from_table_.end() || !cut->second);
}

// Sends one page over the entry's link. A page takes job_page_transfer_time times the number of pages in transfer; one
// that would take longer than the page time-out is answered with an empty page.
template <class Answer, class Done>
void flow_simulation::read_over_link(int entry, const store_range& range, const Answer& answer, const Done& done)
{
    ++pages_on_link_[entry];
    schedule(options_.job_page_transfer_time, [this, entry, range, answer, done] {
        const duration takes = pages_on_link_[entry] * options_.job_page_transfer_time;
        const duration left = std::min(takes, page_timeout) - options_.job_page_transfer_time;
        schedule(left, [this, entry] { --pages_on_link_[entry]; });
        answer(done, takes > page_timeout ? store_page{} : read(range), left);
    });
}

bool flow_simulation::takes_dropped_answer(const store_transaction& t, const store_result& result)
{
    if (answers_to_drop_ > 0) {
        --answers_to_drop_;
        return true;
    }
    if (chosen_answers_to_drop_ > 0 && result.outcome == table_outcome::applied && chosen_to_drop_(t)) {
        --chosen_answers_to_drop_;
        return true;
    }
    return false;
}

duration flow_simulation::news_transfer_time(const std::string& table, const store_page& page) const
{
    const bool news = table == news_table;
    return news ? options_.news_row_transfer_time * static_cast<std::int64_t>(page.rows.size()) : duration(0);
}

flow_edges flow_simulation::make_edges(int entry)
{
    const std::uint64_t life = entries_.at(static_cast<std::size_t>(entry)).life;
    flow_edges edges;
    const auto answer = [this, entry, life](auto done, auto result, duration wait) {
        schedule(wait, [this, entry, life, done, result] {
            on_entry(entry, life, [done, result](flow_entry&, instant now) { done(now, result); });
        });
    };
    edges.commit = [this, entry, answer](const store_transaction& t, std::function<void(instant, store_result)> done) {
        if (!table_reached(entry)) {
            store_result result;
            result.outcome = table_outcome::unknown;
            result.reason = "no answer";
            answer(std::move(done), result, 1500ms);
            return;
        }
        const bool of_row = std::any_of(t.puts.begin(), t.puts.end(), [](const store_put& put) {
            return put.key.table == jobs_table && !is_fence(put.key);
        });
        if (of_row && row_write_delay_ > duration(0)) {
            schedule(std::exchange(row_write_delay_, duration(0)), [this, t] { apply(t); });
            answer(std::move(done), store_result{}, 1500ms);
            return;
        }
        if (chosen_to_delay_ && chosen_to_delay_(t)) {
            schedule(write_delay_, [this, t] { apply(t); });
            answer(std::move(done), store_result{}, 1500ms);
            return;
        }
        schedule(options_.table_latency, [this, entry, t, answer, done = std::move(done)] {
            store_result result = apply(t);
            if (takes_dropped_answer(t, result)) {
                result = {};
                answer(done, result, 1500ms);
                return;
            }
            if (!result.rows.empty() && result.rows.front().key == operator_config_key() &&
                options_.link_bytes_per_s > 0) {
                links_.send(shared_links::wide, entry, empty_answer_bytes + result.rows.front().value.size(),
                            [answer, done, result] { answer(done, result, duration(0)); });
                return;
            }
            answer(done, result, options_.network_latency);
        });
    };
    edges.read = [this, entry, answer](const store_range& range, std::function<void(instant, store_page)> done) {
        if (!table_reached(entry)) {
            answer(std::move(done), store_page{}, 1500ms);
            return;
        }
        schedule(options_.table_latency, [this, entry, range, answer, done = std::move(done)] {
            if ((range.table == jobs_table || range.table == news_table) &&
                options_.job_page_transfer_time > duration(0)) {
                read_over_link(entry, range, answer, done);
                return;
            }
            const store_page page = read(range);
            const duration transfer = news_transfer_time(range.table, page);
            answer(done, page, options_.network_latency + transfer);
        });
    };
    edges.watch = [this, entry, answer](const store_watch& watch, std::function<void(instant, store_page)> done) {
        job_watch_counts_[entry] += watch.table == news_table ? 1 : 0;
        if (!table_reached(entry) || (drop_job_watches_ && watch.table == news_table)) {
            answer(std::move(done), store_page{}, 1500ms);
            return;
        }
        store_page page = read_feed(entry, watch);
        page.more = !page.rows.empty(); // as the platform's edges decode the answer
        const duration transfer = news_transfer_time(watch.table, page);
        answer(std::move(done), page, options_.table_latency + transfer);
    };
    edges.order = [this, entry, life, answer](const worker_place& to, const worker_order& order, duration timeout,
                                              std::function<void(instant, order_answer)> done) {
        schedule(options_.network_latency + sending_delay(entry), [this, entry, entry_life = life, to, order, timeout,
                                                                   answer, done = std::move(done)] {
            const flow_connections::ends between{entry, to.address};
            const auto at =
                std::find_if(workers_.begin(), workers_.end(), [&](const auto& w) { return w->address == to.address; });
            if (at == workers_.end() || !(*at)->up || !(*at)->reachable) {
                connections_.lose_one(between);
                const bool refused = options_.crash_refuses_connections && at != workers_.end() && !(*at)->up;
                answer(done, order_answer{}, refused ? options_.network_latency : timeout);
                return;
            }
            flow_fake_worker& w = **at;
            if (!options_.crash_is_silent) {
                connections_.close_others(between, w.life);
            }
            const flow_connection connection = connections_.take(between, w.life);
            if (connection.life != w.life) {
                answer(done, order_answer{}, options_.network_latency);
                return;
            }
            if (to.newest_connection && connection.number > *to.newest_connection) {
                order_answer not_sent;
                not_sent.result = order_result::no_connection;
                answer(done, not_sent, options_.network_latency);
                return;
            }
            auto heard = [this, &w, life = w.life, connection, done](instant then, order_answer given) {
                if (options_.handled_ends_are_known && w.life == life && w.up) {
                    record_reported_ends(w, given);
                }
                given.connection = given.result == order_result::no_answer ? connection_number() : connection.number;
                done(then, given);
            };
            const auto respond = [this, entry, entry_life, between, connection, answer,
                                  heard](const order_answer& given, duration after) {
                if (given.result != order_result::no_answer) {
                    schedule(after, [this, entry, entry_life, between, connection] {
                        if (entries_.at(static_cast<std::size_t>(entry)).life == entry_life) {
                            connections_.keep(between, connection);
                        }
                    });
                }
                answer(heard, given, after);
            };
            if (w.id != to.worker) {
                order_answer other;
                other.result = order_result::other_life;
                respond(other, options_.network_latency);
                return;
            }
            const auto* const hold = std::get_if<hold_worker>(&order);
            if (hold != nullptr && options_.holds_wait) {
                const instant given_up = now_ + hold->wait + timeout;
                hold_until_end(
                    w, w.life, *hold, now_ + hold->wait, [this, &w, life = w.life, order, respond, given_up] {
                        const bool silent = options_.crash_is_silent && (w.life != life || !w.up);
                        respond(w.life == life ? carry_out(w, order) : order_answer{},
                                silent ? given_up - now_ : options_.network_latency + options_.hold_answer_delay);
                    });
                return;
            }
            const duration wait = hold != nullptr ? std::min<duration>(hold->wait, 50ms) : duration(0);
            if (drop_stops_ && std::holds_alternative<stop_run>(order)) {
                answer(done, order_answer{}, timeout);
                return;
            }
            if (const auto delay = pick_delay(order)) {
                schedule(*delay, [this, &w, order, to] {
                    if (w.id == to.worker) {
                        carry_out(w, order, true);
                    }
                });
                answer(done, order_answer{}, timeout);
                return;
            }
            const duration back = options_.network_latency + pick_answer_delay(order);
            schedule(wait, [this, &w, life = w.life, order, respond, back, timeout] {
                const order_answer given = w.life == life ? carry_out(w, order) : order_answer{};
                respond(back < timeout ? given : order_answer{}, std::min(back, timeout));
            });
        });
    };
    edges.list_workers = [this, entry, answer](std::function<void(instant, std::optional<flow_worker_list>)> done) {
        if (!table_reached(entry) || worker_lists_dropped_[entry]) {
            answer(std::move(done), std::optional<flow_worker_list>(), 1500ms);
            return;
        }
        flow_worker_list list = foreign_;
        for (int i = 0; i < worker_count(); ++i) {
            const flow_fake_worker& w = *workers_.at(static_cast<std::size_t>(i));
            if (w.listed && w.listing_malformed) {
                list.unusable.push_back({w.id, "not a JSON object"});
            }
            else if (w.listed) {
                list.workers.push_back(listing_of(i));
            }
        }
        const auto latency = options_.list_latency_by_entry.find(entry);
        answer(std::move(done), std::optional(std::move(list)),
               latency == options_.list_latency_by_entry.end() ? options_.list_latency : latency->second);
    };
    edges.watch_operator = [this, entry, life](row_version after, duration wait, const operator_done& done) {
        start_operator_watch(entry, life, after, wait, done);
    };
    edges.config_key = operator_config_key();
    edges.parse_config = &read_config_text;
    edges.send_message = [this, entry, life,
                          answer](const net_address& peer, const wire::flow_message& message,
                                  std::function<void(instant, std::optional<wire::flow_message>)> done) {
        if (drop_row_messages_ && !message.rows.empty()) {
            answer(done, std::optional<wire::flow_message>(), peer_timeout);
            return;
        }
        schedule(options_.network_latency, [this, entry, life, peer, message, answer, done = std::move(done)] {
            for (int i = 0; i < static_cast<int>(entries_.size()); ++i) {
                entry_slot& slot = entries_[static_cast<std::size_t>(i)];
                if (slot.identity.address != peer || !slot.decisions || cut_from_peers_[i] || cut_from_peers_[entry]) {
                    continue;
                }
                if (options_.link_bytes_per_s > 0) {
                    send_over_link(entry, life, i, message, done);
                    return;
                }
                // `done` runs once, for the peer's reply or the time-out: the peer may be killed before it replies.
                const auto answered = std::make_shared<bool>(false);
                const auto answer_once = [this, answer, done, answered](std::optional<wire::flow_message> reply) {
                    if (!std::exchange(*answered, true)) {
                        answer(done, reply ? std::optional(as_received(*std::move(reply))) : std::nullopt,
                               options_.network_latency);
                    }
                };
                schedule(peer_timeout, [answer_once] { answer_once(std::nullopt); });
                on_entry(i, slot.life, [received = as_received(message), answer_once](flow_entry& e, instant now) {
                    e.on_message(now, received, answer_once);
                });
                return;
            }
            answer(done, std::optional<wire::flow_message>(), peer_timeout);
        });
    };
    edges.after = [this, entry, life](duration wait, std::function<void(instant)> what) {
        schedule(wait, [this, entry, life, what = std::move(what)] {
            on_entry(
                entry, life, [what](flow_entry&, instant now) { what(now); }, true);
        });
    };
    edges.note = [this, entry](log_level, std::string_view subject, std::string_view event,
                               std::initializer_list<log_field> fields) {
        ++logged_[fmt::format("{} {}", subject, event)];
        if (!options_.verbose) {
            return;
        }
        std::string line;
        for (const log_field& field : fields) {
            line += fmt::format(" {}={}", field.key, field.value);
        }
        fmt::print("{:.3f} {} {} {}{}\n", std::chrono::duration<double>(now_.time_since_epoch()).count(),
                   entries_.at(static_cast<std::size_t>(entry)).identity.entry.str(), subject, event, line);
    };
    edges.wall = [this] { return wall_time(now_.time_since_epoch()); };
    return edges;
}

// --- links ---

wire::flow_message flow_simulation::as_received(wire::flow_message message) const
{
    if (!options_.rooms_tell_processors_only) {
        return message;
    }
    for (wire::flow_cell_news& cell : message.hello.cells) {
        for (wire::flow_pool_row& pool : cell.pools) {
            for (wire::flow_worker_room& room : pool.each) {
                room.__isset.free_memory_mib = false;
                room.__isset.free_accelerators = false;
            }
        }
    }
    return message;
}

// Sends a message to a peer over the simulated links. The exchange fails if the reply is not complete in time.
void flow_simulation::send_over_link(int entry, std::uint64_t life, int peer, const wire::flow_message& message,
                                     const message_done& done)
{
    struct exchange {
        bool over = false;
        std::int64_t transfer = 0;
    };
    const auto under_way = std::make_shared<exchange>();
    const auto end = [this, entry, life, done, under_way](const std::optional<wire::flow_message>& answer) {
        if (std::exchange(under_way->over, true)) {
            return;
        }
        links_.give_up(under_way->transfer);
        on_entry(entry, life, [done, answer](flow_entry&, instant now) { done(now, answer); });
    };
    schedule(peer_timeout, [end] { end(std::nullopt); });
    const auto reply = [this, entry, peer, under_way, end](const wire::flow_message& answer) {
        if (!under_way->over) {
            under_way->transfer =
                links_.send(peer, entry, encode_compact(answer).size(), [end, answer] { end(answer); });
        }
    };
    const std::uint64_t peer_life = entries_.at(static_cast<std::size_t>(peer)).life;
    under_way->transfer =
        links_.send(entry, peer, encode_compact(message).size(), [this, peer, peer_life, message, reply] {
            on_entry(peer, peer_life,
                     [message, reply](flow_entry& e, instant now) { e.on_message(now, message, reply); });
        });
}

operator_update flow_simulation::read_operator(row_version after) const
{
    operator_update page;
    page.reached = true;
    page.version = operator_version_;
    page.evacuations.whole = after == row_version(0);
    if (after > row_version(0) && operator_watch_ != operator_watch::shows_changes) {
        page.version = operator_watch_ == operator_watch::passes_over ? operator_version_ : after;
        return page;
    }
    if (after < config_row_) {
        page.config = read_config_text(config_text_);
        page.config_text = config_text_;
        page.config_row = config_row_;
        page.config_unreadable = !page.config;
    }
    for (const auto& [data_centre, evacuation] : evacuations_) {
        if (after < evacuation.version && (evacuation.evacuated || !page.evacuations.whole)) {
            page.evacuations.evacuations.push_back({data_centre, evacuation.evacuated});
        }
    }
    page.more = after > row_version(0) && after < operator_version_; // as the platform's edges decode changes
    return page;
}

void flow_simulation::write_evacuation(const std::string& data_centre, bool evacuated)
{
    operator_version_ = operator_version_.next();
    evacuations_[data_centre_id(data_centre)] = {evacuated, operator_version_, now_};
    answer_operator_watches();
}

void flow_simulation::evacuate(const std::string& data_centre)
{
    write_evacuation(data_centre, true);
}

void flow_simulation::take_back(const std::string& data_centre)
{
    write_evacuation(data_centre, false);
}

bool flow_simulation::is_evacuated_for_long(const data_centre_id& data_centre) const
{
    const auto at = evacuations_.find(data_centre);
    return at != evacuations_.end() && at->second.evacuated && now_ - at->second.since > evacuation_bound;
}

void flow_simulation::start_operator_watch(int entry, std::uint64_t life, row_version after, duration wait,
                                           const operator_done& done)
{
    const bool first = after == row_version(0);
    const auto over = std::make_shared<bool>(false);
    const auto end = [this, entry, life, over, done](const operator_update& page) {
        if (!std::exchange(*over, true)) {
            on_entry(entry, life, [done, page](flow_entry&, instant now) { done(now, page); });
        }
    };
    if (!table_reached(entry)) {
        schedule(first ? duration(10ms) : wait, [end] { end(operator_update{}); });
        return;
    }
    // An entry that was cut off from the table in the meantime gets an empty update.
    const auto answer = [this, entry, after, over, end] {
        operator_update page = table_reached(entry) ? read_operator(after) : operator_update{};
        if (page.reached && std::exchange(operator_history_seen_[entry], operator_history_) != operator_history_ &&
            after > row_version(0)) {
            page = {};
            page.reached = true;
            page.history_compacted = true;
        }
        if (*over || options_.link_bytes_per_s <= 0) {
            end(page);
            return;
        }
        const auto transfer = links_.send(shared_links::wide, entry, empty_answer_bytes + page.config_text.size(),
                                          [end, page] { end(page); });
        give_up_stalled(
            entry, [over] { return *over; },
            [this, end, transfer] {
                links_.give_up(transfer);
                end(operator_update{});
            });
    };
    if (first || (after < operator_version_ && operator_watch_ == operator_watch::shows_changes)) {
        schedule(10ms, answer);
        return;
    }
    const std::int64_t look = ++last_watch_;
    operator_watches_.emplace(look, pending_operator_watch{entry, answer});
    schedule(wait, [this, look] {
        if (const auto at = operator_watches_.extract(look)) {
            at.mapped().answer();
        }
    });
}

// Calls `give_up` once the time-out has passed and the entry is cut off from the table, unless `over` is true by then.
// While the table can be reached, the answer still makes progress and the time-out starts again.
void flow_simulation::give_up_stalled(int entry, const std::function<bool()>& over,
                                      const std::function<void()>& give_up)
{
    schedule(watch_timeout, [this, entry, over, give_up] {
        if (over()) {
            return;
        }
        if (table_reached(entry)) {
            give_up_stalled(entry, over, give_up);
            return;
        }
        give_up();
    });
}

void flow_simulation::answer_operator_watches()
{
    if (operator_watch_ != operator_watch::shows_changes) {
        return;
    }
    for (const auto& [id, look] : std::exchange(operator_watches_, {})) {
        schedule(options_.network_latency, look.answer);
    }
}

void flow_simulation::put_config(std::string text)
{
    config_row_ = operator_version_;
    config_text_ = std::move(text);
    rows_[operator_config_key()] = {config_text_, config_row_};
    answer_operator_watches();
}

void flow_simulation::write_config(const std::vector<std::string>& queues, std::size_t bytes)
{
    operator_version_ = operator_version_.next();
    put_config(write_config_text(operator_version_.value(), queues, bytes));
}

void flow_simulation::write_unreadable_config()
{
    operator_version_ = operator_version_.next();
    put_config("unreadable");
}

// --- the table ---

std::string flow_simulation::find_excess(const store_transaction& t) const
{
    constexpr std::size_t transaction_bytes_most = 1'000'000;
    constexpr std::size_t transaction_entries_most = 100;
    constexpr std::size_t field_names_bytes = 64; // of one entry in JSON
    std::size_t bytes = 0;
    const auto add_entry = [&bytes](const store_key& key) {
        bytes += field_names_bytes + key.table.size() + key.part.size() + key.key.size();
    };
    for (const store_check& check : t.checks) {
        add_entry(check.key);
    }
    for (const store_put& put : t.puts) {
        if (put.value.size() > options_.table_row_bytes) {
            return fmt::format("row {} has {} bytes", put.key.key, put.value.size());
        }
        add_entry(put.key);
        bytes += (put.value.size() + 2) / 3 * 4; // in base64
    }
    for (const store_key& key : t.removes) {
        add_entry(key);
    }
    const std::size_t entries = t.checks.size() + t.puts.size() + t.removes.size();
    return bytes > transaction_bytes_most || entries > transaction_entries_most
               ? fmt::format("{} entries with {} bytes", entries, bytes)
               : "";
}

store_result flow_simulation::apply(const store_transaction& t)
{
    store_result result;
    result.reason = find_excess(t);
    if (!result.reason.empty()) {
        result.outcome = table_outcome::refused;
        result.invalid = true;
        ++writes_too_large_;
        return result;
    }
    for (const store_check& check : t.checks) {
        const auto at = rows_.find(check.key);
        const row_version there = at == rows_.end() ? row_version(0) : at->second.version;
        if (there != check.version) {
            result.outcome = table_outcome::conflict;
        }
    }
    if (result.outcome == table_outcome::conflict) {
        const bool by_owner = is_fence(t.checks.front().key) && (t.puts.empty() || !is_fence(t.puts.front().key));
        job_writes_refused_ += by_owner ? 1 : 0;
        for (const store_check& check : t.checks) {
            const auto at = rows_.find(check.key);
            if (at != rows_.end()) {
                result.rows.push_back({check.key, at->second.value, at->second.version, false});
            }
        }
        return result;
    }
    const row_version version = next_version();
    const bool of_jobs = std::any_of(t.puts.begin(), t.puts.end(), [](const store_put& put) {
        return put.key.table == index_table || (put.key.table == jobs_table && !is_fence(put.key));
    });
    job_writes_ += of_jobs ? 1 : 0;
    for (const store_put& put : t.puts) {
        rows_[put.key] = {put.value, version};
        removed_rows_.erase(put.key);
    }
    for (const store_key& key : t.removes) {
        rows_.erase(key);
        removed_rows_[key] = version;
    }
    result.outcome = table_outcome::applied;
    result.version = version;
    return result;
}

row_version flow_simulation::next_version()
{
    ++version_;
    recent_versions_.emplace_back(now_, row_version(version_));
    return row_version(version_);
}

row_version flow_simulation::history_start()
{
    while (!recent_versions_.empty() && recent_versions_.front().first < now_ - feed_history) {
        history_start_ = recent_versions_.front().second;
        recent_versions_.pop_front();
    }
    std::erase_if(removed_rows_, [this](const auto& row) { return row.second <= history_start_; });
    return history_start_;
}

store_page flow_simulation::read_feed(int entry, const store_watch& watch)
{
    store_page page;
    page.reached = true;
    page.version = row_version(version_);
    const bool discarded = watch.table == news_table && std::exchange(history_seen_[entry], history_) != history_;
    if (discarded || watch.after < history_start()) {
        page.history_compacted = true;
        return page;
    }
    for (const auto& [key, row] : rows_) {
        if (key.table == watch.table && row.version > watch.after) {
            page.rows.push_back({key, row.value, row.version, false});
        }
    }
    for (const auto& [key, version] : removed_rows_) {
        if (key.table == watch.table && version > watch.after) {
            page.rows.push_back({key, "", version, true});
        }
    }
    std::stable_sort(page.rows.begin(), page.rows.end(),
                     [](const store_row& a, const store_row& b) { return a.version < b.version; });
    if (page.rows.size() > options_.watch_page_rows) {
        std::size_t shown = options_.watch_page_rows;
        while (shown < page.rows.size() && page.rows[shown].version == page.rows[shown - 1].version) {
            ++shown; // rows of one transaction stay in one answer
        }
        if (shown < page.rows.size()) {
            page.version = page.rows[shown - 1].version;
            page.rows.resize(shown);
        }
    }
    job_watch_rows_[entry] += watch.table == news_table ? static_cast<std::int64_t>(page.rows.size()) : 0;
    return page;
}

void flow_simulation::write_foreign_news(int rows_per_s)
{
    foreign_news_per_s_ = rows_per_s;
    write_next_foreign_news(++foreign_news_spells_);
}

void flow_simulation::write_next_foreign_news(std::uint64_t spell)
{
    if (spell != foreign_news_spells_ || foreign_news_per_s_ <= 0) {
        return;
    }
    const cell_id elsewhere("elsewhere");
    const job_id job(fmt::format("f{:015x}", ++foreign_news_written_));
    put_job_row(accepted_row(elsewhere, job), make_job_row(chain_spec(1, 1)));
    schedule(duration(1s) / foreign_news_per_s_, [this, spell] { write_next_foreign_news(spell); });
}

store_page flow_simulation::read(const store_range& range)
{
    constexpr std::size_t page_bytes_most = 700'000; // 1 MB in base64 less the last row
    std::size_t bytes = 0;
    store_page page;
    page.reached = true;
    page.version = row_version(version_);
    for (const auto& [key, row] : rows_) {
        if (key.table == range.table && key.part == range.part && key.key >= range.from &&
            (range.to.empty() || key.key < range.to)) {
            const bool full = range.rows_most > 0 && page.rows.size() == static_cast<std::size_t>(range.rows_most);
            if (full || bytes > page_bytes_most) {
                page.more = true;
                break;
            }
            bytes += row.value.size();
            page.rows.push_back({key, row.value, row.version, false});
        }
    }
    if (range.table == jobs_table || range.table == news_table) {
        job_rows_read_ += static_cast<std::int64_t>(page.rows.size());
    }
    return page;
}

// --- workers ---

void flow_simulation::end_run(flow_fake_worker& w, const flow_task_id& task, run_end how)
{
    const auto at = w.running.find(task);
    w.highest[task] = std::max(w.highest[task], at->second.number);
    w.ends.push_back({end_number(++w.last_end), task, at->second.number, how, ""});
    done_counts_[task] += how == run_end::done ? 1 : 0;
    if (how == run_end::done) {
        ever_done_.insert(task);
    }
    failed_[task] += how == run_end::failed ? 1 : 0;
    const run_number run = at->second.number;
    const bool at_work = at->second.waits_until == instant::max();
    w.running.erase(at);
    if (at_work && waiting_step(task) != nullptr) {
        end_gang(task, run, how);
    }
}

// Returns the task's step if its members wait for each other (gang_start_barrier), otherwise null.
const flow_step* flow_simulation::waiting_step(const flow_task_id& task) const
{
    const auto spec = specs_.find(task.job.str());
    if (!options_.gang_start_barrier || spec == specs_.end()) {
        return nullptr;
    }
    const flow_step& step = spec->second.steps.at(static_cast<std::size_t>(task.step));
    return step.gang ? &step : nullptr;
}

// Lets all members of a gang's run begin to work, once the last of them has started.
void flow_simulation::begin_gang(const flow_task_id& task, run_number run)
{
    std::vector<flow_fake_worker::run*> members;
    for (const auto& w : workers_) {
        for (auto& [other, live] : w->running) {
            if (w->up && other.job == task.job && other.occurrence == task.occurrence && other.step == task.step &&
                live.number == run) {
                members.push_back(&live);
            }
        }
    }
    if (static_cast<std::int32_t>(members.size()) != waiting_step(task)->count) {
        return;
    }
    for (flow_fake_worker::run* const member : members) {
        member->waits_until = instant::max();
        member->ends = now_ + (member->fails ? member->takes / 2 : member->takes);
    }
}

// Ends the working members of a gang's run after one member has ended: as `done` if that member is done, otherwise as
// `broken`. Members that still wait for the gang keep waiting.
void flow_simulation::end_gang(const flow_task_id& task, run_number run, run_end how)
{
    for (const auto& w : workers_) {
        for (std::int32_t i = 0; i < waiting_step(task)->count; ++i) {
            const flow_task_id other{task.job, task.occurrence, task.step, i};
            const auto at = w->running.find(other);
            if (at != w->running.end() && at->second.number == run && at->second.waits_until == instant::max()) {
                end_run(*w, other, how == run_end::done ? run_end::done : run_end::broken);
            }
        }
    }
}

// Marks ends that were never reported as lost, when the worker's lease ends or the worker crashes: their tasks may run
// again without a violation.
void flow_simulation::forget_unconfirmed(flow_fake_worker& w)
{
    for (const reported_end& end : w.ends) {
        if (end.how == run_end::done && w.told.count(end.number) == 0 && w.forgotten.insert(end.number).second) {
            --done_counts_[end.task];
        }
    }
}

void flow_simulation::advance_worker(flow_fake_worker& w)
{
    std::vector<flow_task_id> over;
    for (const auto& [task, run] : w.running) {
        const instant end = std::min({run.ends, run.waits_until, run.stops});
        if (end <= now_ && end < w.lease_until) {
            over.push_back(task);
        }
    }
    for (const flow_task_id& task : over) {
        const auto at = w.running.find(task);
        if (at == w.running.end()) {
            continue; // ended with another member of its gang, in this loop
        }
        const flow_fake_worker::run& run = at->second;
        if (run.stops < std::min(run.ends, run.waits_until)) {
            end_run(w, task, run_end::stopped);
            continue;
        }
        if (run.waits_until != instant::max()) {
            if (!options_.gang_timeouts_allowed) {
                record_violation(text_of(task) + " timed out waiting for its gang");
            }
            end_run(w, task, run_end::alone);
            continue;
        }
        end_run(w, task, run.fails ? run_end::failed : run_end::done);
    }
    if (now_ >= w.lease_until) {
        forget_unconfirmed(w);
        while (!w.running.empty()) {
            end_run(w, w.running.begin()->first, run_end::lapsed);
        }
    }
}

std::optional<duration> flow_simulation::pick_delay(const worker_order& order)
{
    if (starts_to_delay_ > 0 && std::holds_alternative<start_run>(order)) {
        --starts_to_delay_;
        return start_delay_;
    }
    if (delayed_order_share_ > 0 && absl::Uniform(random_, 0.0, 1.0) < delayed_order_share_) {
        return 2s + std::chrono::duration_cast<duration>(
                        std::chrono::duration<double>(10 * absl::Uniform(random_, 0.0, 1.0)));
    }
    return std::nullopt;
}

duration flow_simulation::pick_answer_delay(const worker_order& order)
{
    if (start_answers_to_delay_ > 0 && std::holds_alternative<start_run>(order)) {
        --start_answers_to_delay_;
        return start_answer_delay_;
    }
    return std::holds_alternative<hold_worker>(order) ? options_.hold_answer_delay : duration(0);
}

void flow_simulation::extend_lease(flow_fake_worker& w, worker_time until) const
{
    w.lease_until =
        std::max(w.lease_until, std::min(instant(until.time_since_epoch() - w.clock_offset), now_ + max_lease));
}

void flow_simulation::hold_until_end(flow_fake_worker& w, std::uint64_t life, const hold_worker& order, instant until,
                                     const std::function<void()>& answer)
{
    constexpr duration poll_interval = 10ms;
    advance_worker(w);
    const bool ended = !w.ends.empty() && w.ends.back().number > order.confirmed;
    if (now_ >= until || ended || !w.up || w.life != life || order.fence < w.fence) {
        answer();
        return;
    }
    schedule(poll_interval, [this, &w, life, order, until, answer] { hold_until_end(w, life, order, until, answer); });
}

void flow_simulation::record_reported_ends(flow_fake_worker& w, const order_answer& answer)
{
    for (const reported_end& end : answer.ends) {
        if (w.forgotten.count(end.number) == 0) {
            w.told.insert(end.number);
        }
    }
}

order_answer flow_simulation::carry_out(flow_fake_worker& w, const worker_order& order, bool late)
{
    advance_worker(w);
    order_answer answer;
    if (!w.up) {
        return answer;
    }
    const epoch fence = std::visit([](const auto& o) { return o.fence; }, order);
    answer.clock = worker_time((now_ + w.clock_offset).time_since_epoch());
    if (fence < w.fence) {
        answer.result = order_result::fenced;
        return answer;
    }
    w.fence = fence;
    if (const auto* const start = std::get_if<start_run>(&order)) {
        answer.result = do_start(w, *start, late).result;
    }
    else if (const auto* const hold = std::get_if<hold_worker>(&order)) {
        const auto clock = answer.clock;
        answer = do_hold(w, *hold);
        answer.clock = clock;
    }
    else if (const auto* const stop = std::get_if<stop_run>(&order)) {
        const auto at = w.running.find(stop->task);
        if (at != w.running.end() && at->second.number <= stop->run) {
            if (options_.stop_time > duration(0)) {
                at->second.stops = std::min(at->second.stops, now_ + options_.stop_time);
            }
            else {
                end_run(w, stop->task, run_end::stopped);
            }
        }
        w.highest[stop->task] = std::max(w.highest[stop->task], stop->run);
        answer.result = order_result::accepted;
    }
    else if (const auto* const pace = std::get_if<pace_run>(&order)) {
        const auto at = w.running.find(pace->task);
        if (at != w.running.end() && at->second.number == pace->run) {
            at->second.percent = pace->percent;
        }
        answer.result = order_result::accepted;
    }
    return answer;
}

order_answer flow_simulation::do_start(flow_fake_worker& w, const start_run& order, bool late)
{
    order_answer answer;
    const instant lease(order.lease_until.time_since_epoch() - w.clock_offset);
    if (lease <= now_) {
        answer.result = order_result::expired;
        return answer;
    }
    const auto at = w.running.find(order.task);
    if (at != w.running.end() && at->second.number == order.run) {
        answer.result = order_result::accepted;
        return answer;
    }
    if (w.highest[order.task] >= order.run || at != w.running.end()) {
        answer.result = order_result::stale_run;
        return answer;
    }
    if (starts_refused_) {
        answer.result = order_result::no_room;
        return answer;
    }
    check_start(w, order, late);
    extend_lease(w, order.lease_until);
    flow_fake_worker::run run;
    run.number = order.run;
    run.payload = order.payload;
    const auto spec = specs_.find(order.task.job.str());
    const bool lasting =
        spec != specs_.end() && spec->second.steps.at(static_cast<std::size_t>(order.task.step)).lasting;
    const duration normal_time = options_.run_time ? options_.run_time(order.task) : duration(300ms);
    const duration takes(static_cast<std::int64_t>(static_cast<double>(normal_time.count()) * w.slowness));
    run.begun = now_;
    run.late = late;
    run.ends = lasting ? instant::max() : now_ + takes;
    run.fails = options_.run_fails && options_.run_fails(order.task, order.run);
    if (spec != specs_.end()) {
        run.need = spec->second.steps.at(static_cast<std::size_t>(order.task.step)).need;
        run.filling = spec->second.steps.at(static_cast<std::size_t>(order.task.step)).filling;
    }
    run.takes = takes;
    const bool waits = waiting_step(order.task) != nullptr;
    if (waits) {
        run.waits_until = now_ + gang_timeout;
        run.ends = instant::max();
    }
    w.running[order.task] = run;
    if (waits) {
        begin_gang(order.task, order.run);
    }
    if (options_.worker_crash_delay) {
        if (const auto after = options_.worker_crash_delay(order.task, order)) {
            schedule(*after, [this, &w, life = w.life, task = order.task, number = order.run] {
                crash_by(w, life, task, number);
            });
        }
    }
    ++w.starts;
    ++starts_[order.task.job.str()];
    answer.result = order_result::accepted;
    return answer;
}

order_answer flow_simulation::do_hold(flow_fake_worker& w, const hold_worker& order)
{
    order_answer answer;
    answer.result = order_result::accepted;
    if (order.lease_until) {
        extend_lease(w, *order.lease_until);
    }
    w.ends.erase(std::remove_if(w.ends.begin(), w.ends.end(),
                                [&](const reported_end& e) { return e.number <= order.confirmed; }),
                 w.ends.end());
    for (const auto& [task, run] : w.running) {
        const bool lasts = run.ends == instant::max();
        const auto done = lasts ? 100 : 100 * (now_ - run.begun) / (run.ends - run.begun);
        const std::int64_t measure = options_.measure ? options_.measure(task) : 0;
        answer.running.push_back({task, run.number, "", static_cast<std::int32_t>(done), measure});
    }
    const std::size_t listed =
        options_.ends_per_answer > 0 ? std::min(options_.ends_per_answer, w.ends.size()) : w.ends.size();
    answer.ends.assign(w.ends.begin(), w.ends.begin() + static_cast<std::ptrdiff_t>(listed));
    answer.ends_cut = options_.ends_per_answer > 0 && listed == options_.ends_per_answer;
    answer.born = births_hidden_ ? worker_birth() : w.born;
    if (options_.sent_ends_are_known) {
        record_reported_ends(w, answer);
    }
    return answer;
}

void flow_simulation::crash_worker(int worker, bool comes_back)
{
    crash(*workers_.at(static_cast<std::size_t>(worker)), comes_back ? std::optional<duration>(1s) : std::nullopt);
}

void flow_simulation::restart_worker(int worker, duration away)
{
    crash(*workers_.at(static_cast<std::size_t>(worker)), away);
}

void flow_simulation::crash_by(flow_fake_worker& w, std::uint64_t life, const flow_task_id& task, run_number run)
{
    const auto at = w.running.find(task);
    if (w.life == life && w.up && at != w.running.end() && at->second.number == run) {
        ++crashes_under_[task];
        crash(w, options_.crash_restart_delay);
    }
}

int flow_simulation::crash_count_of(const flow_task_id& task) const
{
    const auto at = crashes_under_.find(task);
    return at == crashes_under_.end() ? 0 : at->second;
}

void flow_simulation::set_worker_capacity(int worker, resources room, duration listed_after)
{
    flow_fake_worker& w = *workers_.at(static_cast<std::size_t>(worker));
    w.earlier_rooms.emplace_back(now_ + options_.shrunk_room_grace, w.room);
    w.listed_room = w.listed_room.value_or(w.room);
    w.room = room;
    schedule(listed_after, [&w, room] { w.listed_room = room; });
}

void flow_simulation::crash(flow_fake_worker& w, std::optional<duration> away)
{
    if (!w.up) {
        return; // a second crash would start the next life twice and mix its runs with those of the first
    }
    advance_worker(w);
    w.up = false;
    w.listed = w.listed && options_.workers_keep_their_id && away.has_value();
    const std::map<flow_task_id, flow_fake_worker::run> died = std::exchange(w.running, {});
    for (const auto& [task, run] : died) {
        if (waiting_step(task) != nullptr && run.waits_until == instant::max()) {
            end_gang(task, run.number, run_end::broken);
        }
    }
    forget_unconfirmed(w);
    w.ends.clear();
    w.forgotten.clear();
    w.told.clear();
    if (away) {
        schedule(*away, [this, &w] { start_next_life(w); });
    }
    schedule(listing_expiry, [&w, life = w.life] { w.listed = w.listed && (w.up || w.life != life); });
}

void flow_simulation::set_birth(flow_fake_worker& w) const
{
    if (options_.workers_keep_their_id) {
        const auto wall =
            std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch() + w.wall_offset);
        w.born = worker_birth(wall.count());
    }
}

void flow_simulation::start_next_life(flow_fake_worker& w)
{
    ++w.life;
    if (options_.workers_keep_their_id) {
        w.clock_offset = first_clock - now_.time_since_epoch();
        set_birth(w);
    }
    else {
        w.id = worker_id(w.id.str() + "'");
    }
    w.up = true;
    w.listed = true;
    w.draining = false;
    w.fence = epoch(0);
    w.last_end = 0;
    w.highest.clear();
    w.lease_until = instant{};
}

void flow_simulation::replace_worker(int worker, duration drain, duration gap)
{
    flow_fake_worker& w = *workers_.at(static_cast<std::size_t>(worker));
    if (!w.up || w.draining) {
        return;
    }
    w.draining = true;
    schedule(drain, [this, worker, gap, &w] {
        crash_worker(worker, false);
        schedule(gap, [this, &w] { start_next_life(w); });
    });
}

void flow_simulation::insert_unannounced_job(const std::string& job, const cell_id& cell, const flow_spec& spec)
{
    specs_[job] = spec;
    wire::flow_job_row row = make_job_row(spec);
    row.queue = "q";
    row.service_name = "service";
    row.cell = cell.str();
    row.cell_epoch = 1;
    row.failures_most = max_failures;
    const row_version version = next_version();
    rows_[index_key(job_id(job))] = {encode_compact(row), version};
    rows_[job_row_key(accepted_row(cell, job_id(job)))] = {encode_compact(row), version};
}

void flow_simulation::put_job_row(const job_row_name& name, const wire::flow_job_row& row)
{
    rows_[job_row_key(name)] = {encode_compact(row), next_version()};
}

namespace {

store_key earlier_key(const std::string& job)
{
    return {legacy_jobs_table, job_part(job_id(job)), job};
}

} // namespace

void flow_simulation::put_legacy_job(const std::string& job)
{
    rows_[earlier_key(job)] = {encode_compact(make_job_row(chain_spec(1, 1))), next_version()};
}

void flow_simulation::remove_legacy_job(const std::string& job)
{
    rows_.erase(earlier_key(job));
}

void flow_simulation::corrupt_row(const job_row_name& name)
{
    rows_.at(job_row_key(name)) = {"no row", next_version()};
}

std::int64_t flow_simulation::count_owner_rows(const std::string& job) const
{
    return std::count_if(rows_.begin(), rows_.end(), [&job](const auto& row) {
        return (row.first.table == jobs_table || row.first.table == news_table) &&
               parse_job_row_key(row.first).job == job_id(job);
    });
}

std::int32_t flow_simulation::stored_outcome(const std::string& job) const
{
    std::string reason;
    const auto row = decode_compact<wire::flow_job_row>(rows_.at(index_key(job_id(job))).value, &reason);
    return row ? row->outcome : 0;
}

void flow_simulation::end_unannounced_run(int worker, const flow_task_id& task, run_number run)
{
    flow_fake_worker& w = *workers_.at(static_cast<std::size_t>(worker));
    w.running[task].number = run;
    end_run(w, task, run_end::done);
}

void flow_simulation::start_unannounced_run(int worker, const flow_task_id& task, run_number run, duration takes)
{
    flow_fake_worker& w = *workers_.at(static_cast<std::size_t>(worker));
    flow_fake_worker::run& live = w.running[task];
    live.number = run;
    live.begun = now_;
    live.takes = takes;
    live.ends = now_ + takes;
}

void flow_simulation::strip_start_records()
{
    for (auto& [key, row] : rows_) {
        if ((key.table == jobs_table && !is_fence(key)) || key.table == news_table) {
            auto job = decode_compact<wire::flow_job_row>(row.value).value();
            job.starts_noted = false;
            job.begun = false;
            for (wire::flow_stage_row& stage : job.stages) {
                stage.starts.clear();
            }
            row = {encode_compact(job), next_version()};
        }
        else if (key.table == cells_table) {
            auto cell = decode_compact<wire::flow_cell_row>(row.value).value();
            cell.starts_noted = false;
            row = {encode_compact(cell), next_version()};
        }
    }
}

void flow_simulation::fail_run(const flow_task_id& task)
{
    for (const auto& w : workers_) {
        if (w->running.count(task) != 0) {
            end_run(*w, task, run_end::failed);
        }
    }
}

// --- invariants ---

void flow_simulation::record_violation(const std::string& what)
{
    violations_.push_back(
        fmt::format("{:.3f} s: {}", std::chrono::duration<double>(now_.time_since_epoch()).count(), what));
}

void flow_simulation::check_start(const flow_fake_worker& w, const start_run& order, bool late)
{
    const flow_task_id& task = order.task;
    const auto spec = specs_.find(task.job.str());
    if (spec == specs_.end() || spec->second.payload != order.payload) {
        record_violation(text_of(task) + " was started with a payload that was not submitted");
        return;
    }
    const flow_step& step = spec->second.steps.at(static_cast<std::size_t>(task.step));
    for (const auto& other : workers_) {
        advance_worker(*other);
        if (other->up && other->running.count(task) != 0 && !step.speculative) {
            record_violation(text_of(task) + " runs twice at the same time");
        }
    }
    if (done_counts_[task] > 0) {
        record_violation(text_of(task) + " started after it was done");
    }
    if (failed_[task] >= max_failures && !step.lasting) {
        record_violation(text_of(task) + " started after it had failed for the last time");
    }
    if (crash_count_of(task) >= max_crashes && !late && ++starts_after_crashes_[task] > max_starts_after_crashes) {
        record_violation(text_of(task) + " started three times more after three workers had crashed under it");
    }
    if (cancelled_.count(task.job.str()) != 0 && !late) {
        record_violation(text_of(task) + " started after its job was cancelled");
    }
    if (is_evacuated_for_long(w.data_centre) && !late) {
        record_violation(text_of(task) + " started in the evacuated data centre " + w.data_centre.str());
    }
    for (const std::int32_t earlier : step.after) {
        for (int i = 0; i < spec->second.steps.at(static_cast<std::size_t>(earlier)).count; ++i) {
            if (ever_done_.count({task.job, task.occurrence, earlier, i}) == 0) {
                record_violation(text_of(task) + " started before an earlier step was done");
                return;
            }
        }
    }
    resources needed = counted_room(step.need, step.filling);
    for (const auto& [other, run] : w.running) {
        needed = needed + counted_room(run.need, run.filling);
    }
    resources room = w.room;
    for (const auto& [until, before] : w.earlier_rooms) {
        room = now_ < until ? larger(room, before) : room;
    }
    if (!fits(needed, room)) {
        record_violation(text_of(task) + " exceeds the capacity of " + w.id.str());
    }
}

// Records tasks that run on too long after their job was cancelled, including those started late by a delayed order.
void flow_simulation::check_cancelled()
{
    for (const auto& w : workers_) {
        if (!w->up || !w->reachable) {
            continue;
        }
        advance_worker(*w);
        for (auto& [task, run] : w->running) {
            const auto cancelled = cancelled_.find(task.job.str());
            if (cancelled != cancelled_.end() &&
                now_ > std::max({run.begun, cancelled->second, last_kill_ + recovery_time}) + max_cancelled_run_time) {
                record_violation(text_of(task) + " goes on after its job was cancelled" +
                                 (run.late ? ", started late" : ""));
                run.begun = now_; // reports the task again only after another full time limit
            }
        }
    }
    if (!cancelled_.empty()) {
        schedule(check_interval, [this] { check_cancelled(); });
    }
}

// --- callers ---

void flow_simulation::send_submit(int entry, const std::string& job, const flow_spec& spec, const std::string& queue)
{
    specs_[job] = spec;
    answers_[job];
    caller_request request;
    request.verb = caller_verb::submit;
    request.host = "host";
    request.path = fmt::format("/{}/{}", queue, job);
    request.spec = spec;
    on_entry(entry, entries_.at(static_cast<std::size_t>(entry)).life,
             [this, job, request](flow_entry& e, instant now) {
                 e.on_request(now, request,
                              [this, job](const caller_answer& answer) { answers_[job].push_back(answer.result); });
             });
}

caller_result flow_simulation::submit(int entry, const std::string& job, const flow_spec& spec,
                                      const std::string& queue)
{
    const std::size_t before = answers_[job].size();
    send_submit(entry, job, spec, queue);
    run_until([&] { return answers_[job].size() > before; }, 4s);
    return answers_[job].size() > before ? answers_[job].back() : caller_result::outcome_unknown;
}

void flow_simulation::ask_to_cancel(int entry, const std::string& job, const caller_reply& reply)
{
    caller_request request;
    request.verb = caller_verb::cancel;
    request.host = "host";
    request.path = "/q/" + job;
    on_entry(entry, entries_.at(static_cast<std::size_t>(entry)).life,
             [request, reply](flow_entry& e, instant now) { e.on_request(now, request, reply); });
}

void flow_simulation::send_cancel(int entry, const std::string& job)
{
    ask_to_cancel(entry, job, [](const caller_answer&) {});
}

caller_result flow_simulation::cancel(int entry, const std::string& job)
{
    // Shared with the reply, which may come after this function has returned.
    const auto result = std::make_shared<std::optional<caller_result>>();
    ask_to_cancel(entry, job, [result](const caller_answer& answer) { *result = answer.result; });
    run_until([&] { return result->has_value(); }, 4s);
    if (*result == caller_result::cancelled) {
        schedule(3s, [this, job] {
            cancelled_.emplace(job, now_ - 3s);
            if (cancelled_.size() == 1) {
                check_cancelled();
            }
        });
    }
    return result->value_or(caller_result::outcome_unknown);
}

std::optional<flow_state> flow_simulation::state(int entry, const std::string& job)
{
    const auto result = std::make_shared<std::optional<caller_answer>>();
    caller_request request;
    request.verb = caller_verb::state;
    request.host = "host";
    request.path = "/q/" + job;
    on_entry(entry, entries_.at(static_cast<std::size_t>(entry)).life, [request, result](flow_entry& e, instant now) {
        e.on_request(now, request, [result](const caller_answer& answer) { *result = answer; });
    });
    run_until([&] { return result->has_value(); }, 4s);
    if (!*result || (*result)->result != caller_result::state) {
        return std::nullopt;
    }
    return (*result)->state;
}

void flow_simulation::ask_pending(int entry, std::function<void(const caller_answer&)> told)
{
    caller_request request;
    request.verb = caller_verb::state;
    request.host = "host";
    request.path = "/q/";
    on_entry(entry, entries_.at(static_cast<std::size_t>(entry)).life,
             [request, told = std::move(told)](flow_entry& e, instant now) { e.on_request(now, request, told); });
}

std::int64_t flow_simulation::pending(int entry)
{
    const auto result = std::make_shared<std::optional<caller_answer>>();
    ask_pending(entry, [result](const caller_answer& answer) { *result = answer; });
    run_until([&] { return result->has_value(); }, 4s);
    return *result && (*result)->result == caller_result::pending ? (*result)->pending : -1;
}

std::int64_t flow_simulation::count_job_starts(const std::string& job) const
{
    const auto at = starts_.find(job);
    return at == starts_.end() ? 0 : at->second;
}

std::int64_t flow_simulation::count_running_tasks(const std::string& job) const
{
    std::int64_t n = 0;
    for (const auto& w : workers_) {
        n += std::count_if(w->running.begin(), w->running.end(),
                           [&](const auto& r) { return r.first.job.str() == job; });
    }
    return n;
}

std::int64_t flow_simulation::count_all_running_tasks() const
{
    std::int64_t n = 0;
    for (const auto& w : workers_) {
        n += static_cast<std::int64_t>(w->running.size());
    }
    return n;
}

flow_listed_worker flow_simulation::listing_of(int worker) const
{
    const flow_fake_worker& w = *workers_.at(static_cast<std::size_t>(worker));
    return {w.id,
            w.address,
            w.data_centre,
            "service",
            w.listed_room.value_or(w.room),
            w.labels,
            rack_id(w.labels.back()),
            w.draining,
            w.born};
}

std::int64_t flow_simulation::count_log_events(const std::string& subject, const std::string& event) const
{
    const auto at = logged_.find(subject + ' ' + event);
    return at == logged_.end() ? 0 : at->second;
}

std::int64_t flow_simulation::job_watch_count(int entry) const
{
    const auto at = job_watch_counts_.find(entry);
    return at == job_watch_counts_.end() ? 0 : at->second;
}

std::int64_t flow_simulation::job_watch_rows(int entry) const
{
    const auto at = job_watch_rows_.find(entry);
    return at == job_watch_rows_.end() ? 0 : at->second;
}

int flow_simulation::count_owners(const std::string& cell) const
{
    int n = 0;
    for (const entry_slot& slot : entries_) {
        if (slot.decisions) {
            const auto at = slot.decisions->cells().find(cell_id(cell));
            n += at != slot.decisions->cells().end() && at->second->owns() ? 1 : 0;
        }
    }
    return n;
}

} // namespace skylarkhub::test
