#include "support_member_net.h"

#include <absl/random/bernoulli_distribution.h>
#include <absl/random/uniform_int_distribution.h>
#include <fmt/format.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>

#include "peer_convert_p.h"

namespace skylarkhub::testing {

namespace {

constexpr duration tick_interval{100'000};
constexpr std::int64_t frame_and_call_bytes = 4 + 12; // length, protocol, message type, sequence and method name

template <class Message> std::int64_t wire_bytes(const Message& message)
{
    using memory_buffer = apache::thrift::transport::TMemoryBuffer;
    auto buffer = std::make_shared<memory_buffer>();
    apache::thrift::protocol::TCompactProtocolT<memory_buffer> protocol(buffer);
    message.write(&protocol);
    return static_cast<std::int64_t>(buffer->available_read()) + frame_and_call_bytes;
}

template <class Message> void count(member_net::traffic& sent, const Message& message)
{
    ++sent.messages;
    sent.bytes += wire_bytes(message);
}

// The address of an entry in these tests is its name, as long as a real one.
net_address address_of(const std::string& name)
{
    return net_address(name + ":7000");
}

std::string name_at(const net_address& address)
{
    return address.str().substr(0, address.str().find(':'));
}

} // namespace

member_net::member_net(options o) : options_(o), random_(make_random(o.seed)) {}

incarnation_id member_net::start(const std::string& name, const std::string& data_centre, std::int64_t stamp)
{
    member self;
    const std::int64_t started = stamp != 0 ? stamp : now_.time_since_epoch().count() / 1000;
    self.incarnation = incarnation_id(fmt::format("{}@{}", name, started));
    self.entry = entry_id(name);
    self.data_centre = data_centre_id(data_centre);
    self.peer_address = address_of(name);
    self.http_address = address_of(name);
    node& n = nodes_[name];
    n.machine = std::make_unique<membership>(self, options_.settings, absl::Uniform<std::uint64_t>(random_));
    n.running = true;
    n.frozen = false;
    n.held.clear();
    const duration phase(absl::Uniform<std::int64_t>(random_, 0, options_.settings.probe_interval.count()));
    later(phase, [this, name, life = self.incarnation] { tick(name, life); });
    return self.incarnation;
}

void member_net::start_all(int entries, int data_centres)
{
    for (int i = 0; i < entries; ++i) {
        start(fmt::format("entry-{:03}", i), std::string(1, static_cast<char>('a' + i % data_centres)));
    }
    list_to_all();
}

void member_net::kill(const std::string& name)
{
    nodes_.at(name).running = false;
}

void member_net::freeze(const std::string& name)
{
    nodes_.at(name).frozen = true;
}

void member_net::thaw(const std::string& name)
{
    node& n = nodes_.at(name);
    n.frozen = false;
    std::vector<std::function<void()>> held;
    held.swap(n.held);
    for (const auto& act : held) {
        act();
    }
}

void member_net::leave(const std::string& name)
{
    decide(name, member_leaving{});
}

void member_net::list(const std::string& to, const std::vector<std::string>& names)
{
    member_listed listed;
    for (const std::string& name : names) {
        listed.entries.push_back(at(name).self());
    }
    decide(to, listed);
}

void member_net::list_to_all()
{
    const std::vector<std::string> all = names();
    for (const std::string& name : all) {
        list(name, all);
    }
}

void member_net::run(duration time)
{
    const instant end = now_ + time;
    while (!events_.empty() && events_.top().at <= end) {
        const event next = events_.top();
        events_.pop();
        now_ = next.at;
        next.act();
    }
    now_ = end;
}

membership& member_net::at(const std::string& name)
{
    return *nodes_.at(name).machine;
}

std::string member_net::data_centre(const std::string& name) const
{
    return nodes_.at(name).machine->self().data_centre.str();
}

std::vector<std::string> member_net::names() const
{
    std::vector<std::string> running;
    for (const auto& [name, n] : nodes_) {
        if (n.running) {
            running.push_back(name);
        }
    }
    return running;
}

member_state member_net::state(const std::string& seen_by, const std::string& of)
{
    const incarnation_id wanted = life_of(of);
    for (const member& m : at(seen_by).members()) {
        if (m.incarnation == wanted) {
            return m.state;
        }
    }
    return member_state::dead;
}

bool member_net::all_see(const std::string& of, member_state wanted)
{
    const std::vector<std::string> observers = names();
    return std::all_of(observers.begin(), observers.end(),
                       [&](const std::string& o) { return o == of || state(o, of) == wanted; });
}

bool member_net::all_live()
{
    const std::vector<std::string> all = names();
    return std::all_of(all.begin(), all.end(), [&](const std::string& n) { return all_see(n, member_state::live); });
}

std::int64_t member_net::deaths() const
{
    return std::count_if(changes_.begin(), changes_.end(),
                         [](const change& c) { return c.changed.state == member_state::dead; });
}

void member_net::decide(const std::string& name, const member_event& what)
{
    std::vector<member_action> actions;
    at(name).decide(now_, what, actions);
    for (const member_action& action : actions) {
        std::visit(detail::overloaded{
                       [&](const send_probe& a) { carry(name, a); },
                       [&](const member_changed& a) {
                           changes_.push_back({now_, name, a.changed});
                       },
                   },
                   action);
    }
}

void member_net::carry(const std::string& from, const send_probe& probe)
{
    wire::probe_request request;
    request.__set_sender(life_of(from).str());
    request.__set_news(to_wire(probe.news));
    const bool relayed = probe.asked.incarnation != probe.subject;
    if (relayed) {
        request.__set_probe_for(probe.subject.str());
    }
    const duration timeout = (relayed ? 2 : 1) * options_.settings.probe_timeout;
    ask(from, probe.asked.peer_address, request, timeout,
        [this, from, relayed, asked = probe.asked.incarnation,
         subject = probe.subject](const std::optional<wire::probe_reply>& reply) {
            member_probe_ended ended{asked, subject, false, {}};
            if (reply) {
                ended.reached = (relayed || reply->incarnation == asked.str()) && reply->reached;
                ended.news = from_wire(reply->news);
            }
            decide(from, ended);
        });
}

void member_net::ask(const std::string& from, const net_address& to, const wire::probe_request& request,
                     duration timeout, const std::function<void(std::optional<wire::probe_reply>)>& ended)
{
    count(nodes_.at(from).sent, request);
    const std::string receiver = name_at(to);
    const incarnation_id life = life_of(from);
    auto done = std::make_shared<bool>(false);
    const auto end_once = [this, from, life, done, ended](const std::optional<wire::probe_reply>& reply) {
        deliver(from, life, [done, ended, reply] {
            if (!*done) {
                *done = true;
                ended(reply);
            }
        });
    };
    later(timeout, [end_once] { end_once(std::nullopt); });
    if (vanishes(from, receiver) || !nodes_.contains(receiver)) {
        return;
    }
    later(options_.delay, [this, from, receiver, request, end_once] {
        deliver(receiver, life_of(receiver), [this, from, receiver, request, end_once] {
            answer(receiver, request, [this, from, receiver, end_once](const wire::probe_reply& reply) {
                count(nodes_.at(receiver).sent, reply);
                if (!vanishes(receiver, from)) {
                    later(options_.delay, [end_once, reply] { end_once(reply); });
                }
            });
        });
    });
}

void member_net::answer(const std::string& by, const wire::probe_request& request,
                        const std::function<void(wire::probe_reply)>& reply)
{
    decide(by, member_probed{incarnation_id(request.sender), from_wire(request.news)});
    const auto finish = [this, by, reply](bool reached) {
        wire::probe_reply made;
        made.__set_incarnation(life_of(by).str());
        made.__set_reached(reached);
        made.__set_news(to_wire(at(by).news()));
        reply(made);
    };
    if (request.probe_for.empty()) {
        finish(true);
        return;
    }
    for (const member& m : at(by).members()) {
        if (m.incarnation.str() == request.probe_for) {
            wire::probe_request direct;
            direct.__set_sender(life_of(by).str());
            ask(by, m.peer_address, direct, options_.settings.probe_timeout,
                [finish, wanted = request.probe_for](const std::optional<wire::probe_reply>& r) {
                    finish(r && r->incarnation == wanted);
                });
            return;
        }
    }
    finish(false);
}

void member_net::tick(const std::string& name, const incarnation_id& life)
{
    const node& n = nodes_.at(name);
    if (!n.running || life_of(name) != life) {
        return;
    }
    if (!n.frozen) {
        decide(name, member_tick{});
    }
    later(tick_interval, [this, name, life] { tick(name, life); });
}

void member_net::later(duration delay, std::function<void()> act)
{
    events_.push({now_ + delay, ++events_made_, std::move(act)});
}

void member_net::deliver(const std::string& to, const incarnation_id& life, std::function<void()> act)
{
    node& n = nodes_.at(to);
    if (!n.running || life_of(to) != life) {
        return;
    }
    if (n.frozen) {
        n.held.push_back(std::move(act));
        return;
    }
    act();
}

bool member_net::vanishes(const std::string& from, const std::string& to)
{
    return (cut && cut(from, to)) || (loss > 0 && absl::Bernoulli(random_, loss));
}

} // namespace skylarkhub::testing
