// What lies between an entry and the others: one exchange for each action, with its latency and its fault.
#include <boost/core/demangle.hpp>
#include <fmt/format.h>

#include "job_record_p.h"
#include "row_codec_p.h"
#include "row_keys_p.h"
#include "support_world.h"

namespace skylarkhub::test {

using namespace std::chrono_literals;

namespace {

constexpr duration platform_timeout = 2s;
constexpr duration worker_timeout = 1s;
constexpr duration peer_timeout = 300ms;
constexpr duration late_answer = 7s;
constexpr duration late_effect = 9s;
constexpr duration answer_repeat = 700ms;
constexpr duration slow_store_latency = 800ms;
constexpr duration caller_retry = 1s;
constexpr duration caller_timeout = 5s;

// The last part of a type's name, so that a step is called what the code calls it.
template <class T> std::string type_name()
{
    const std::string name = boost::core::demangle(typeid(T).name());
    return name.substr(name.rfind(':') + 1);
}

std::map<std::int32_t, wire::task_row> read_tasks(const std::optional<std::string>& value)
{
    std::map<std::int32_t, wire::task_row> tasks;
    const auto row = value ? decode_row<wire::job_row>(*value) : std::nullopt;
    if (row) {
        for (const wire::task_row& task : expand_tasks(*row)) {
            tasks[task.index] = task;
        }
    }
    return tasks;
}

std::string key_part(const std::string& key)
{
    return key.substr(0, key.find('/'));
}

} // namespace

duration world::latency()
{
    return duration(absl::Uniform<std::int64_t>(random_, 300, 3000));
}

duration world::store_latency()
{
    return (store_slow_until_ > now_ ? slow_store_latency : duration::zero()) + 2 * latency();
}

bool world::store_reachable(int e) const
{
    return store_down_until_ <= now_ && entry(e).platform_cut_until <= now_;
}

bool world::worker_reachable(int e, int w) const
{
    const auto cut = entry(e).worker_cut_until.find(w);
    const bool linked = cut == entry(e).worker_cut_until.end() || cut->second <= now_;
    return linked && workers_[static_cast<std::size_t>(w)].down_until <= now_;
}

bool world::peers_reachable(int a, int b) const
{
    return a == b || (entry(a).peers_cut_until <= now_ && entry(b).peers_cut_until <= now_);
}

int world::find_worker(const worker_id& id) const
{
    const auto found = std::ranges::find(workers_, id, [](const worker_state& w) { return w.machine.id(); });
    return static_cast<int>(found - workers_.begin());
}

int world::find_entry(const incarnation_id& self) const
{
    const auto found =
        std::ranges::find_if(entries_, [&](const entry_state& s) { return s.machine && s.self == self; });
    return found == entries_.end() ? -1 : static_cast<int>(found - entries_.begin());
}

// --- exchanges ---

void world::exchange(int e, duration one_way, duration timeout, const std::function<bool()>& reachable,
                     const std::function<cell_event()>& act, const cell_event& failed)
{
    const exchange_fault fault = next_fault_;
    const int life = entry(e).life;
    const auto fail = [this, e, life, failed] { deliver(e, life, {failed, {}}); };
    if (fault == exchange_fault::effect_late) {
        after(one_way, fail);
        after(late_effect, [act] { act(); });
        return;
    }
    after(one_way, [=, this] {
        if (!reachable()) {
            after(timeout, fail);
            return;
        }
        const cell_event answer = act();
        const auto arrive = [=, this] {
            if (reachable()) {
                deliver(e, life, {answer, {}});
            }
            else {
                after(timeout, fail);
            }
        };
        if (fault == exchange_fault::answer_lost) {
            after(timeout, fail);
            return;
        }
        after(fault == exchange_fault::answer_late ? late_answer : one_way, arrive);
        if (fault == exchange_fault::answer_twice) {
            after(one_way + answer_repeat, arrive);
        }
    });
}

void world::carry_commit(int e, table_transaction transaction)
{
    table_result lost{transaction.operation, table_outcome::unknown, {}, "no answer"};
    exchange(
        e, store_latency(), platform_timeout, [this, e] { return store_reachable(e); },
        [this, transaction = std::move(transaction)]() -> cell_event {
            return cell_committed{table_.commit(transaction)};
        },
        cell_committed{std::move(lost)});
}

void world::carry_to_worker(int e, const worker_request& request)
{
    const int w = find_worker(request.worker);
    worker_addressed_ = w;
    const instant sent = clock(e);
    exchange(
        e, latency(), worker_timeout, [this, e, w] { return worker_reachable(e, w); },
        [this, w, request, sent]() -> cell_event {
            return cell_worker_answered{request.worker, request.sequence, sent,
                                        worker(w).machine.handle(now_, request)};
        },
        cell_worker_failed{request.worker, request.sequence, true, "no answer"});
}

void world::carry_question(int e, const ask_hold& question)
{
    const hold_question asked{e, entry(e).life, clock(e), question.promise, next_fault_};
    const cell_event ask = cell_hold_asked{entry(e).self, question.epoch, question.promise};
    const cell_event refused = cell_hold_answered{question.deputy, question.epoch, false, asked.asked, asked.promise};
    const int deputy = find_entry(question.deputy);
    const auto send = [=, this] {
        if (deputy >= 0 && peers_reachable(e, deputy)) {
            deliver(deputy, find_entry(question.deputy) == deputy ? entry(deputy).life : -1, {ask, asked});
        }
        else {
            after(peer_timeout, [=, this] { deliver(e, asked.asker_life, {refused, {}}); });
        }
    };
    after(asked.fault == exchange_fault::effect_late ? late_effect : latency(), send);
}

void world::carry_answer(int e, const answer_hold& answer, const hold_question& question)
{
    const exchange_fault fault = question.fault == exchange_fault::none ? next_fault_ : question.fault;
    const cell_event event =
        cell_hold_answered{entry(e).self, answer.epoch, answer.promised, question.asked, question.promise};
    const auto send = [=, this] {
        if (peers_reachable(e, question.asker)) {
            deliver(question.asker, question.asker_life, {event, {}});
        }
    };
    if (fault == exchange_fault::answer_lost) {
        return;
    }
    after(fault == exchange_fault::answer_late ? late_answer : latency(), send);
    if (fault == exchange_fault::answer_twice) {
        after(answer_repeat, send);
    }
}

void world::carry(int e, outbound out)
{
    const auto read_store = [this, e](const std::function<cell_event()>& act, const cell_event& failed) {
        exchange(
            e, store_latency(), platform_timeout, [this, e] { return store_reachable(e); }, act, failed);
    };
    const cell_id id("a.r1");
    std::visit(detail::overloaded{
                   [&](const read_cell_row&) {
                       read_store(
                           [this, id]() -> cell_event {
                               return cell_row_seen{true, table_.read(cell_key(id))};
                           },
                           cell_row_seen{});
                   },
                   [&](const read_cell_jobs&) {
                       read_store([this, id]() -> cell_event { return cell_jobs_read{table_.scan(job_prefix(id))}; },
                                  cell_jobs_read{});
                   },
                   [&](const read_cell_inbox&) {
                       read_store([this, id]() -> cell_event { return cell_inbox_read{table_.scan(inbox_prefix(id))}; },
                                  cell_inbox_read{});
                   },
                   [&](commit_cell& a) { carry_commit(e, std::move(a.transaction)); },
                   [&](const send_worker& a) { carry_to_worker(e, a.request); },
                   [&](const ask_hold& a) { carry_question(e, a); },
                   [&](const answer_hold& a) { carry_answer(e, a, out.question.value()); },
                   [&](const cell_handed_over&) { end_process(e, 5s); },
                   [&](const cell_notice& a) { ++notices_[a.event]; },
               },
               out.action);
}

// --- steps ---

std::vector<std::string> world::step_kinds()
{
    std::vector<std::string> kinds;
    const auto add = [&]<class... Ts>(const std::variant<Ts...>*) { (kinds.push_back(type_name<Ts>()), ...); };
    add(static_cast<const cell_action*>(nullptr));
    add(static_cast<const worker_command*>(nullptr));
    return kinds;
}

std::vector<std::string> world::steps_of(const cell_action& action) const
{
    const std::string name = std::visit([]<class A>(const A&) { return type_name<A>(); }, action);
    std::vector<std::string> steps;
    if (const auto* commit = std::get_if<commit_cell>(&action)) {
        steps = steps_of(commit->transaction);
    }
    if (const auto* send = std::get_if<send_worker>(&action)) {
        for (const worker_command& command : send->request.commands) {
            steps.push_back(std::visit([]<class C>(const C&) { return type_name<C>(); }, command));
        }
    }
    for (std::string& step : steps) {
        step = name + " " + step;
    }
    if (steps.empty()) {
        steps.push_back(name);
    }
    std::sort(steps.begin(), steps.end());
    steps.erase(std::unique(steps.begin(), steps.end()), steps.end());
    return steps;
}

// By what the transaction changes: the cell's epoch or owner, and the phases that tasks get.
std::vector<std::string> world::steps_of(const table_transaction& transaction) const
{
    std::vector<std::string> steps;
    for (const table_write& write : transaction.writes) {
        const std::string part = key_part(write.key);
        const table_row before = table_.read(write.key);
        if (part == key_part(cell_key(cell_id("a")))) {
            const auto was = before.value ? decode_row<wire::cell_row>(*before.value) : std::nullopt;
            const auto is = write.value ? decode_row<wire::cell_row>(*write.value) : std::nullopt;
            const bool taken = is && (!was || was->epoch < is->epoch);
            steps.push_back(taken ? part + " taken" : is && is->handed_over ? part + " handed_over" : part);
        }
        else if (part == key_part(job_prefix(cell_id("a")))) {
            steps.push_back(before.value ? part : part + " new");
            for (const auto& [index, task] : read_tasks(write.value)) {
                steps.push_back(fmt::format("{} {}", part, wire::_task_phase_row_VALUES_TO_NAMES.at(task.phase)));
            }
        }
        else {
            steps.push_back(part);
        }
    }
    return steps;
}

// --- callers ---

void world::submit(const std::string& key, job_spec spec)
{
    ++requests_open_;
    const int first = absl::Uniform(random_, 0, entry_count());
    try_request({key, std::move(spec), false, first, 0});
}

void world::cancel(const std::string& key)
{
    if (!open_.contains({job_id("job-" + key), 0})) {
        at(now_ - start_ + caller_retry, [this, key] { cancel(key); });
        return;
    }
    ++requests_open_;
    const int first = absl::Uniform(random_, 0, entry_count());
    try_request({key, {}, true, first, 0});
}

namespace {

table_transaction write_request(const cell_id& cell, const std::string& key, const job_spec& spec, bool is_cancel)
{
    const operation_id operation((is_cancel ? "cancel-" : "submit-") + key);
    const job_id job("job-" + key);
    wire::inbox_row inbox;
    inbox.operation = operation.str();
    wire::job_index_row index;
    index.job = job.str();
    index.cells = {cell.str()};
    if (is_cancel) {
        inbox.__set_cancel_job(job.str());
    }
    else {
        wire::job_row row;
        row.job = job.str();
        row.task_total = spec.task_count;
        row.spec = format_job_spec(spec);
        inbox.__set_submit(row);
    }
    const std::string index_key = job_index_key(team_id("team"), operation);
    return {operation,
            {{index_key, {}}},
            {{inbox_key(cell, operation), encode_row(inbox)}, {index_key, encode_row(index)}}};
}

} // namespace

// A caller whose request got no answer asks again with the same key, at the next entry, until it is told.
void world::try_request(const caller_request& request)
{
    caller_request next = request;
    next.entry = (request.entry + 1) % entry_count();
    ++next.tries;
    const int e = request.entry;
    const int life = entry(e).life;
    if (!entry(e).machine || frozen(e)) {
        after(caller_retry, [=, this] { try_request(next); });
        return;
    }
    const table_transaction transaction = write_request(cell_id("a.r1"), request.key, request.spec, request.is_cancel);
    std::vector<std::string> steps = steps_of(transaction);
    for (std::string& step : steps) {
        step = (request.is_cancel ? "cancel " : "submit ") + step;
    }
    if (!take_step(e, steps, false)) {
        after(caller_timeout, [=, this] { try_request(next); });
        return;
    }
    const exchange_fault fault = std::exchange(next_fault_, exchange_fault::none);
    if (!options_.durable_before_answer) {
        end_request(request);
    }
    const duration one_way = store_latency();
    const auto act = [this, transaction] { return table_.commit(transaction).outcome; };
    if (fault == exchange_fault::effect_late) {
        after(late_effect, act);
    }
    after(one_way, [=, this] {
        const bool reached = store_reachable(e) && fault != exchange_fault::effect_late;
        // A conflict is this caller's own earlier try: nobody else uses its key.
        if (!options_.durable_before_answer) {
            return;
        }
        const bool told = reached && act() != table_outcome::unknown && fault != exchange_fault::answer_lost;
        if (!told) {
            after(caller_timeout, [=, this] { try_request(next); });
            return;
        }
        after(fault == exchange_fault::answer_late ? late_answer : one_way, [=, this] {
            if (entry(e).life == life && !frozen(e)) {
                end_request(request);
            }
            else {
                after(caller_timeout, [=, this] { try_request(next); });
            }
        });
    });
    take_step(e, steps, true);
}

void world::end_request(const caller_request& request)
{
    --requests_open_;
    const job_id job("job-" + request.key);
    if (!request.is_cancel) {
        history_.add(now_, job_accepted{job, operation_id("submit-" + request.key), request.spec.task_count,
                                        request.spec.is_service});
        for (std::int32_t i = 0; !request.spec.is_service && i < request.spec.task_count; ++i) {
            open_.try_emplace({job, i}, true);
        }
    }
    for (int e = 0; e < entry_count(); ++e) {
        after(latency(), [this, e, life = entry(e).life] { deliver(e, life, {cell_inbox_hinted{}, {}}); });
    }
}

// --- records in the table ---

void world::observe_write(const std::string& key, const table_row* before, const std::optional<std::string>& written)
{
    if (!key.starts_with(job_prefix(cell_id("a.r1"))) || !written) {
        return;
    }
    const auto was = read_tasks(before == nullptr ? std::nullopt : before->value);
    const auto row = decode_row<wire::job_row>(*written);
    for (const wire::task_row& task : expand_tasks(*row)) {
        const auto old = was.find(task.index);
        const auto phase = old == was.end() ? wire::task_phase_row::queued : old->second.phase;
        if (task.phase == phase) {
            continue;
        }
        const task_id id{job_id(row->job), task.index};
        static const std::map<wire::task_phase_row::type, task_record> records{
            {wire::task_phase_row::queued, task_record::resumed},
            {wire::task_phase_row::finished, task_record::finished},
            {wire::task_phase_row::parked, task_record::parked},
            {wire::task_phase_row::cancelled, task_record::cancelled}};
        history_.add(now_, task_recorded{id, attempt_number(task.attempt), records.at(task.phase)});
        open_[id] = task.phase == wire::task_phase_row::queued;
    }
}

} // namespace skylarkhub::test
