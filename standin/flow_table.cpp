#include "flow_table_p.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace skylarkhub::standin {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::int64_t rows_most = 500; // of one answer
constexpr std::size_t page_bytes_most = 1 << 20;
constexpr std::size_t entries_most = 100;                             // of one transaction
constexpr std::size_t parts_most = 1000;                              // of one answer
constexpr std::size_t value_text_most = (row_bytes_most + 2) / 3 * 4; // in base64
constexpr duration read_time = 4ms;
constexpr duration commit_time = 8ms;
constexpr duration mute_most = 5s;  // then a connection without an answer is closed
constexpr duration late_least = 1s; // of a commit that is carried out late
constexpr duration late_most = 4s;
constexpr duration feed_history = 20s;
constexpr std::int64_t feed_wait_ms_most = 30'000;

std::tuple<std::string, std::string, std::string> read_key(const json& entry)
{
    return {entry.at("table"), entry.value("part", ""), entry.at("key")};
}

std::string read_text(const http_fields& query, std::string_view name)
{
    return std::string(find_field(query, name));
}

std::int64_t read_number(const http_fields& query, std::string_view name, std::int64_t otherwise)
{
    std::int64_t number = otherwise;
    return absl::SimpleAtoi(read_text(query, name), &number) ? number : otherwise;
}

// The system may write neither the operator's table nor the list of workers.
bool is_reserved(const std::string& table)
{
    return table == "op" || table == "servers";
}

template <class Key, class Row> json describe(const Key& key, const Row& row)
{
    json entry{{"table", std::get<0>(key)},
               {"part", std::get<1>(key)},
               {"key", std::get<2>(key)},
               {"schema-version", row.version}};
    if (row.removed) {
        entry["deleted"] = true;
    }
    else {
        entry["value"] = row.value;
    }
    return entry;
}

} // namespace

flow_table::~flow_table()
{
    std::vector<door> doors; // ends first, while calls still find what they use
    absl::MutexLock lock(&mutex_);
    doors.swap(doors_);
}

int flow_table::open_door(const net_address& address)
{
    absl::MutexLock lock(&mutex_);
    const int number = static_cast<int>(doors_.size());
    std::string reason;
    auto server = http_server::start(
        {.address = address, .threads = 1, .idle_seconds = 600},
        [this, number](const http_request& request, const http_reply& reply) { serve(number, request, reply); },
        &reason);
    if (!server) {
        throw std::runtime_error(reason);
    }
    doors_.push_back({std::move(server), {}});
    return number;
}

void flow_table::set_faults(int number, const table_faults& faults)
{
    absl::MutexLock lock(&mutex_);
    doors_.at(static_cast<std::size_t>(number)).faults = faults;
}

void flow_table::put(const std::string& table, const std::string& key, const std::string& value)
{
    absl::MutexLock lock(&mutex_);
    write({table, "", key}, {absl::Base64Escape(value), next_version(), false});
    answer_feeds();
}

void flow_table::remove(const std::string& table, const std::string& key)
{
    absl::MutexLock lock(&mutex_);
    write({table, "", key}, {"", next_version(), true});
    answer_feeds();
}

void flow_table::forget_history()
{
    absl::MutexLock lock(&mutex_);
    history_from_ = version_;
}

// --- calls ---

void flow_table::serve(int at, const http_request& request, const http_reply& reply)
{
    const bool is_commit = request.path == "/rows-tx";
    const http_response lost{http_status_close, {}, {}};
    const instant now = read_clock();
    absl::MutexLock lock(&mutex_);
    if (at >= static_cast<int>(doors_.size())) {
        reply(lost);
        return;
    }
    const table_faults& faults = doors_[static_cast<std::size_t>(at)].faults;
    if (faults.refuses) {
        constexpr int statuses[] = {503, 429, http_status_close};
        reply({statuses[absl::Uniform(random_, 0, 3)], {}, {}});
        return;
    }
    if (faults.mute) {
        timer_.run_at(now + mute_most, [reply, lost] { reply(lost); });
        return;
    }
    const instant due = now + (is_commit ? commit_time : read_time) + faults.delay;
    if (is_commit && absl::Bernoulli(random_, faults.late_share)) {
        const duration late(absl::Uniform(random_, late_least.count(), late_most.count()));
        timer_.run_at(due, [reply, lost] { reply(lost); });
        timer_.run_at(due + late, [this, request, reply] { carry_out(request, reply, false); });
        return;
    }
    const bool answered = !(is_commit && absl::Bernoulli(random_, faults.lose_share));
    timer_.run_at(due, [this, request, reply, answered] { carry_out(request, reply, answered); });
}

void flow_table::carry_out(const http_request& request, const http_reply& reply, bool answered)
{
    absl::MutexLock lock(&mutex_);
    if (request.path == "/rows-tx") {
        const http_response response = commit(request.body);
        reply(answered ? response : http_response{http_status_close, {}, {}});
        answer_feeds();
    }
    else if (request.path == "/rows-get") {
        reply(read(request.query));
    }
    else if (request.path == "/rows-parts") {
        reply(list_parts(request.query));
    }
    else if (request.path == "/rows-feed") {
        const auto wait = std::clamp<std::int64_t>(read_number(request.query, "wait-ms", 0), 0, feed_wait_ms_most);
        const instant until = read_clock() + std::chrono::milliseconds(wait);
        feeds_.push_back({request, reply, until});
        timer_.run_at(until, [this] {
            absl::MutexLock later(&mutex_);
            answer_feeds();
        });
        answer_feeds();
    }
    else {
        reply({404, {}, {}});
    }
}

void flow_table::answer_feeds() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const instant now = read_clock();
    std::vector<waiting_feed> waiting = std::exchange(feeds_, {});
    for (waiting_feed& feed : waiting) {
        if (const auto changed = changes(feed.request.query)) {
            feed.reply(*changed);
        }
        else if (now >= feed.until) {
            feed.reply(make_page(json::array(), version_));
        }
        else {
            feeds_.push_back(std::move(feed));
        }
    }
}

// --- rows ---

const flow_table::row* flow_table::find(const row_key& key) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const auto at = rows_.find(key);
    return at == rows_.end() || at->second.removed ? nullptr : &at->second;
}

void flow_table::write(const row_key& key, row written) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    row& at = rows_[key];
    by_version_.erase({at.version, key});
    at = std::move(written);
    by_version_.emplace(at.version, key);
}

http_response flow_table::make_page(const json& rows, std::int64_t version, std::optional<bool> more) const
{
    json page{{"rows", rows}, {"schema-version", version}};
    if (more) {
        page["has-more"] = *more;
    }
    return {200, {}, page.dump()};
}

std::int64_t flow_table::next_version() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    recent_versions_.emplace_back(read_clock(), ++version_);
    return version_;
}

void flow_table::drop_old_history() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const instant oldest = read_clock() - feed_history;
    while (!recent_versions_.empty() && recent_versions_.front().first < oldest) {
        history_from_ = std::max(history_from_, recent_versions_.front().second);
        recent_versions_.pop_front();
    }
}

http_response flow_table::commit(const std::string& body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const json asked = json::parse(body, nullptr, false);
    if (!asked.is_object()) {
        return {400, {}, "not a JSON object"};
    }
    const json checks = asked.value("expected-revision", json::array());
    const json puts = asked.value("put", json::array());
    const json removes = asked.value("remove", json::array());
    std::set<std::string> parts;
    for (const json* const list : {&checks, &puts, &removes}) {
        for (const json& entry : *list) {
            parts.insert(std::get<1>(read_key(entry)));
            if (list != &checks && is_reserved(std::get<0>(read_key(entry)))) {
                return {403, {}, "reserved"};
            }
        }
    }
    const bool too_long = std::any_of(puts.begin(), puts.end(),
                                      [](const json& put) { return put.value("value", "").size() > value_text_most; });
    if (too_long) {
        return {400, {}, "a value is too long"};
    }
    if (checks.size() + puts.size() + removes.size() > entries_most || parts.size() > 1) {
        return {400, {}, "too many entries or parts"};
    }
    json there = json::array();
    bool holds = true;
    for (const json& check : checks) {
        const row* const now = find(read_key(check));
        holds = holds && check.at("schema-version") == (now == nullptr ? 0 : now->version);
        if (now != nullptr) {
            there.push_back(describe(read_key(check), *now));
        }
    }
    if (!holds) {
        http_response conflict = make_page(there, version_);
        conflict.status = 412;
        return conflict;
    }
    const std::int64_t version = next_version();
    for (const json& entry : puts) {
        write(read_key(entry), {entry.at("value"), version, false});
    }
    for (const json& entry : removes) {
        write(read_key(entry), {"", version, true});
    }
    return make_page(json::array(), version_);
}

http_response flow_table::read(const http_fields& query) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const std::string table = read_text(query, "table");
    const std::string part = read_text(query, "part");
    const std::string to = read_text(query, "to");
    const auto limit = static_cast<std::size_t>(std::min(rows_most, read_number(query, "limit", rows_most)));
    json found = json::array();
    std::size_t bytes = 0;
    for (auto at = rows_.lower_bound({table, part, read_text(query, "from")}); at != rows_.end(); ++at) {
        const auto& [row_table, row_part, key] = at->first;
        if (row_table != table || row_part != part || (!to.empty() && key >= to)) {
            break;
        }
        if (at->second.removed) {
            continue;
        }
        if (found.size() >= limit || bytes > page_bytes_most) {
            return make_page(found, version_, true);
        }
        bytes += at->second.value.size();
        found.push_back(describe(at->first, at->second));
    }
    return make_page(found, version_, false);
}

http_response flow_table::list_parts(const http_fields& query) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const std::string table = read_text(query, "table");
    const std::string after = read_text(query, "after");
    std::set<std::string> parts;
    for (auto at = rows_.lower_bound({table, after, ""}); at != rows_.end() && std::get<0>(at->first) == table; ++at) {
        if (!at->second.removed && std::get<1>(at->first) > after && parts.size() < parts_most) {
            parts.insert(std::get<1>(at->first));
        }
    }
    return {200, {}, json{{"parts", parts}, {"schema-version", version_}}.dump()};
}

std::optional<http_response> flow_table::changes(const http_fields& query) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const std::string table = read_text(query, "table");
    const std::int64_t after = read_number(query, "after", 0);
    drop_old_history();
    if (after < history_from_) {
        return http_response{410, {}, "history is gone"};
    }
    json found = json::array();
    std::int64_t last = version_;
    for (auto at = by_version_.lower_bound({after + 1, {}}); at != by_version_.end(); ++at) {
        if (std::get<0>(at->second) != table) {
            continue;
        }
        // Rows of one transaction share a version, after which the reader goes on: they aren't parted.
        if (found.size() >= static_cast<std::size_t>(rows_most) && at->first != last) {
            return make_page(found, last); // nothing says that the page was cut
        }
        last = at->first;
        found.push_back(describe(at->second, rows_.at(at->second)));
    }
    return found.empty() ? std::nullopt : std::make_optional(make_page(found, version_));
}

} // namespace skylarkhub::standin
