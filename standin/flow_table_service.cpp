#include "flow_table_service_p.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <stdexcept>

namespace skylarkhub::standin {

namespace {

using namespace std::chrono_literals;

constexpr duration read_time = 4ms;
constexpr duration commit_time = 8ms;
constexpr duration look_interval = 10ms; // between looks at feeds that have waited long enough
constexpr duration mute_most = 5s;       // then a connection without an answer is closed
constexpr duration late_least = 1s;      // of a commit that is carried out late
constexpr duration late_most = 4s;

duration wait_of(const http_request& request)
{
    std::int64_t ms = 0;
    const bool given = absl::SimpleAtoi(std::string(find_field(request.query, "wait-ms")), &ms);
    return std::chrono::milliseconds(given ? std::clamp<std::int64_t>(ms, 0, 30'000) : 0);
}

} // namespace

flow_table_service::flow_table_service(std::uint64_t seed) : random_(make_random(seed))
{
    timer_.run_at(read_clock() + look_interval, [this] { look(); });
}

flow_table_service::~flow_table_service()
{
    std::vector<door> doors;
    {
        absl::MutexLock lock(&mutex_);
        doors.swap(doors_);
    }
}

int flow_table_service::open_door(const net_address& address)
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

void flow_table_service::set_faults(int number, const table_faults& faults)
{
    absl::MutexLock lock(&mutex_);
    doors_.at(static_cast<std::size_t>(number)).faults = faults;
}

void flow_table_service::put(const std::string& table, const std::string& key, const std::string& value)
{
    absl::MutexLock lock(&mutex_);
    table_.put(table, key, value);
    answer_feeds();
}

void flow_table_service::remove(const std::string& table, const std::string& key)
{
    absl::MutexLock lock(&mutex_);
    table_.remove(table, key);
    answer_feeds();
}

void flow_table_service::forget_history()
{
    absl::MutexLock lock(&mutex_);
    table_.forget_history();
}

void flow_table_service::serve(int at, const http_request& request, const http_reply& reply)
{
    const bool commit = request.path == "/rows-tx";
    const instant now = read_clock();
    absl::MutexLock lock(&mutex_);
    if (at >= static_cast<int>(doors_.size())) {
        reply({http_status_close, {}, {}}); // the site is being put away
        return;
    }
    const table_faults& faults = doors_[static_cast<std::size_t>(at)].faults;
    if (faults.refuses) {
        constexpr int statuses[] = {503, 429, http_status_close};
        reply({statuses[absl::Uniform(random_, 0, 3)], {}, {}});
        return;
    }
    if (faults.mute) {
        timer_.run_at(now + mute_most, [reply] { reply({http_status_close, {}, {}}); });
        return;
    }
    const instant due = now + (commit ? commit_time : read_time) + faults.delay;
    if (commit && absl::Bernoulli(random_, faults.late_share)) {
        const duration late(absl::Uniform(random_, late_least.count(), late_most.count()));
        timer_.run_at(due, [reply] { reply({http_status_close, {}, {}}); });
        timer_.run_at(due + late, [this, request, reply] { carry_out(request, reply, false); });
        return;
    }
    const bool answered = !(commit && absl::Bernoulli(random_, faults.lose_share));
    timer_.run_at(due, [this, request, reply, answered] { carry_out(request, reply, answered); });
}

void flow_table_service::carry_out(const http_request& request, const http_reply& reply, bool answered)
{
    absl::MutexLock lock(&mutex_);
    if (request.path == "/rows-tx") {
        const http_response response = table_.commit(request.body);
        reply(answered ? response : http_response{http_status_close, {}, {}});
        answer_feeds();
    }
    else if (request.path == "/rows-get") {
        reply(table_.read(request.query));
    }
    else if (request.path == "/rows-parts") {
        reply(table_.list_parts(request.query));
    }
    else if (request.path == "/rows-feed") {
        feeds_.push_back({request, reply, read_clock() + wait_of(request)});
        answer_feeds();
    }
    else {
        reply({404, {}, {}});
    }
}

void flow_table_service::answer_feeds() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
{
    const instant now = read_clock();
    const auto left = std::remove_if(feeds_.begin(), feeds_.end(),
                                     [&](const waiting_feed& feed) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
                                         const auto changed = table_.changes(feed.request.query);
                                         if (!changed && now < feed.until) {
                                             return false;
                                         }
                                         feed.reply(changed ? *changed : table_.no_changes());
                                         return true;
                                     });
    feeds_.erase(left, feeds_.end());
}

void flow_table_service::look()
{
    {
        absl::MutexLock lock(&mutex_);
        answer_feeds();
    }
    timer_.run_at(read_clock() + look_interval, [this] { look(); });
}

} // namespace skylarkhub::standin
