#include "http_intake_p.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace skylarkhub {

namespace {

// A request that has been arriving, or an answer that has been leaving, for longer stands still.
constexpr duration grace = std::chrono::seconds(3);
// Connections that were told to end take their places a moment longer.
constexpr std::size_t ending_most = 16;
// Keeps what has just begun comparable by its size.
constexpr duration age_least = std::chrono::milliseconds(1);
constexpr std::int64_t body_bytes_first = 1024; // room for a body that begins

// The lower, the sooner the connection ends for another one. Empty: it does not, since its answer would be lost.
std::optional<int> rank(const http_link& link, instant now)
{
    const bool stands_still = now - link.since > grace;
    if (link.ending || link.phase == http_phase::served || (link.phase == http_phase::answering && !stands_still)) {
        return std::nullopt;
    }
    if (link.phase == http_phase::receiving) {
        return stands_still ? 0 : 3;
    }
    return link.phase == http_phase::idle ? 1 : 2;
}

// How much the connection has held for how long.
double weigh(std::int64_t bytes, instant since, instant now)
{
    return static_cast<double>(bytes) * std::chrono::duration<double>(std::max(now - since, age_least)).count();
}

} // namespace

void http_intake::open(http_link& link, instant now)
{
    link.since = now;
    links_.insert(&link);
}

void http_intake::close(http_link& link)
{
    release(link);
    ending_ -= link.ending ? 1 : 0;
    links_.erase(&link);
}

void http_intake::begin_request(http_link& link, instant now)
{
    link.phase = http_phase::receiving;
    link.since = now;
}

std::optional<std::string> http_intake::take_request(http_link& link, instant now)
{
    if (link.ending) {
        return std::nullopt;
    }
    link.phase = http_phase::served;
    link.since = now;
    return std::exchange(link.body, std::string());
}

void http_intake::begin_answer(http_link& link, instant now)
{
    link.phase = http_phase::answering;
    link.since = now;
}

void http_intake::end_request(http_link& link, instant now)
{
    release(link);
    link.phase = http_phase::idle;
    link.since = now;
}

http_intake::admission http_intake::admit(instant now)
{
    if (links_.size() - ending_ < limits_.connections_most) {
        return {true, nullptr};
    }
    http_link* first = nullptr;
    for (http_link* const link : links_) {
        const std::optional<int> own = rank(*link, now);
        if (own && (first == nullptr || std::tuple(*own, link->since) < std::tuple(*rank(*first, now), first->since))) {
            first = link;
        }
    }
    if (first == nullptr || ending_ >= ending_most) {
        return {};
    }
    end(*first);
    return {true, first};
}

std::vector<http_link*> http_intake::append(http_link& link, std::string_view data, std::int64_t body_bytes_most,
                                            instant now)
{
    const auto bytes = static_cast<std::int64_t>(link.body.size() + data.size());
    if (link.ending) {
        return {&link};
    }
    if (bytes > body_bytes_most) {
        end(link);
        return {&link};
    }
    std::vector<http_link*> to_end;
    if (bytes > link.held_bytes) {
        const std::int64_t doubled = std::min(std::max(2 * link.held_bytes, body_bytes_first), body_bytes_most);
        to_end = grow(link, std::max(bytes, doubled), now);
    }
    if (!link.ending) {
        link.body.append(data);
    }
    return to_end;
}

// A string that grows by itself may take twice as much as it holds, so the body gets its room here.
std::vector<http_link*> http_intake::grow(http_link& link, std::int64_t bytes, instant now)
{
    std::vector<http_link*> to_end;
    const std::int64_t more = bytes - link.held_bytes;
    while (held_bytes_ + more > limits_.held_bytes_most) {
        http_link* const weightier = find_weightier(link, bytes, now);
        http_link* const goes = weightier == nullptr ? &link : weightier;
        to_end.push_back(goes);
        end(*goes);
        if (goes == &link) {
            return to_end;
        }
    }
    std::string body;
    body.reserve(static_cast<std::size_t>(bytes));
    body.append(link.body);
    link.body = std::move(body);
    link.held_bytes = bytes;
    held_bytes_ += more;
    return to_end;
}

// The connection that has held most for longest, if it has done so more than the one that asks.
http_link* http_intake::find_weightier(const http_link& asking, std::int64_t asked, instant now) const
{
    http_link* found = nullptr;
    double weight = weigh(asked, asking.since, now);
    for (http_link* const link : links_) {
        if (link == &asking || link->held_bytes == 0 || !rank(*link, now)) {
            continue;
        }
        const double other = weigh(link->held_bytes, link->since, now);
        if (other > weight) {
            found = link;
            weight = other;
        }
    }
    return found;
}

void http_intake::end(http_link& link)
{
    release(link);
    link.ending = true;
    ++ending_;
}

void http_intake::release(http_link& link)
{
    held_bytes_ -= link.held_bytes;
    link.held_bytes = 0;
    std::string().swap(link.body); // an assignment would keep its memory
}

} // namespace skylarkhub
