#include "daemon_members_p.h"

#include <algorithm>

#include "config.h"
#include "daemon_clock_p.h"

namespace skylarkhub {

namespace {

std::vector<wire::member_wire> to_wire(const std::vector<member>& members)
{
    std::vector<wire::member_wire> out;
    out.reserve(members.size());
    for (const member& m : members) {
        out.push_back(skylarkhub::to_wire(m));
    }
    return out;
}

std::vector<member> from_wire(const std::vector<wire::member_wire>& members)
{
    std::vector<member> out;
    out.reserve(members.size());
    for (const wire::member_wire& w : members) {
        out.push_back(skylarkhub::from_wire(w));
    }
    return out;
}

} // namespace

wire::member_wire to_wire(const member& m)
{
    wire::member_wire w;
    w.__set_incarnation(m.incarnation.str());
    w.__set_entry(m.entry.str());
    w.__set_data_centre(m.data_centre.str());
    w.__set_peer_address(m.peer_address.str());
    w.__set_http_address(m.http_address.str());
    w.__set_state(static_cast<wire::member_state_wire::type>(m.state));
    w.__set_version(m.version);
    w.__set_settings_version(m.settings.value());
    return w;
}

member from_wire(const wire::member_wire& w)
{
    member m;
    m.incarnation = incarnation_id(w.incarnation);
    m.entry = entry_id(w.entry);
    m.data_centre = data_centre_id(w.data_centre);
    m.peer_address = net_address(w.peer_address);
    m.http_address = net_address(w.http_address);
    m.state = static_cast<member_state>(std::clamp(static_cast<int>(w.state), 0, 3));
    m.version = w.version;
    m.settings = settings_version(w.settings_version);
    return m;
}

member_host::member_host(member self, peer_client& peers, std::uint64_t seed,
                         std::function<void(const member&)> changed)
    : peers_(peers), changed_(std::move(changed)), membership_(std::move(self), member_settings{}, seed)
{}

void member_host::decide(const member_event& event)
{
    std::vector<member_action> actions;
    {
        absl::MutexLock lock(&mutex_);
        membership_.decide(read_clock(), event, actions);
    }
    for (const member_action& action : actions) {
        carry(action);
    }
}

void member_host::carry(const member_action& action)
{
    std::visit(detail::overloaded{
                   [&](const send_probe& a) { probe(a); },
                   [&](const member_changed& a) { changed_(a.changed); },
               },
               action);
}

void member_host::probe(const send_probe& action)
{
    wire::probe_request request;
    {
        absl::MutexLock lock(&mutex_);
        request.__set_sender(membership_.self().incarnation.str());
        request.__set_sequence(++sequence_);
        request.__set_settings_version(membership_.self().settings.value());
    }
    request.__set_news(to_wire(action.news));
    const incarnation_id asked = action.asked.incarnation;
    const incarnation_id subject = action.subject;
    const bool relayed = asked != subject;
    if (relayed) {
        request.__set_probe_for(subject.str());
    }
    const duration timeout = relayed ? 2 * config::probe_timeout : config::probe_timeout;
    peers_.probe(action.asked.peer_address, request, timeout,
                 [this, asked, subject, relayed](peer_result<wire::probe_reply> result) {
                     member_probe_ended ended{asked, subject, false, {}};
                     if (result.answer) {
                         // Another incarnation at the same address is not the one that was asked.
                         const bool same = relayed || result.answer->incarnation == asked.str();
                         ended.reached = same && result.answer->reached;
                         ended.news = from_wire(result.answer->news);
                     }
                     decide(ended);
                 });
}

wire::probe_reply member_host::answer_probe(const wire::probe_request& request)
{
    decide(member_probed{incarnation_id(request.sender), from_wire(request.news)});
    wire::probe_reply reply;
    reply.__set_sequence(request.sequence);
    if (!request.probe_for.empty()) {
        const auto subject = find(incarnation_id(request.probe_for));
        reply.__set_reached(false);
        if (subject) {
            wire::probe_request direct;
            direct.__set_sender(self().incarnation.str());
            auto reached = std::make_shared<std::pair<absl::Mutex, std::optional<bool>>>();
            peers_.probe(subject->peer_address, direct, config::probe_timeout,
                         [reached, wanted = request.probe_for](const peer_result<wire::probe_reply>& result) {
                             absl::MutexLock lock(&reached->first);
                             reached->second = result.answer && result.answer->incarnation == wanted;
                         });
            absl::MutexLock lock(&reached->first);
            reached->first.Await(absl::Condition(
                +[](std::optional<bool>* r) { return r->has_value(); }, &reached->second));
            reply.__set_reached(*reached->second);
        }
    }
    absl::MutexLock lock(&mutex_);
    reply.__set_incarnation(membership_.self().incarnation.str());
    reply.__set_settings_version(membership_.self().settings.value());
    reply.__set_news(to_wire(membership_.news()));
    return reply;
}

void member_host::tick()
{
    decide(member_tick{});
}

void member_host::see_instances(const std::vector<listed_instance>& instances)
{
    member_listed event;
    for (const listed_instance& i : instances) {
        if (i.role != instance_role::entry) {
            continue;
        }
        member m;
        m.incarnation = incarnation_id(i.id);
        m.entry = entry_id(i.id.substr(0, i.id.rfind('@')));
        m.data_centre = i.data_centre;
        m.peer_address = i.peer_address;
        m.http_address = i.address;
        m.state = i.leaving ? member_state::leaving : member_state::live;
        event.entries.push_back(std::move(m));
    }
    decide(event);
}

void member_host::plan_stop()
{
    decide(member_leaving{});
}

void member_host::set_settings_version(settings_version version)
{
    absl::MutexLock lock(&mutex_);
    membership_.set_settings_version(version);
}

member member_host::self() const
{
    absl::MutexLock lock(&mutex_);
    return membership_.self();
}

std::vector<member> member_host::members() const
{
    absl::MutexLock lock(&mutex_);
    return membership_.members();
}

std::vector<incarnation_id> member_host::live_in(const data_centre_id& data_centre) const
{
    absl::MutexLock lock(&mutex_);
    return membership_.live_in(data_centre);
}

std::optional<member> member_host::find(const incarnation_id& incarnation) const
{
    for (const member& m : members()) {
        if (m.incarnation == incarnation) {
            return m;
        }
    }
    return std::nullopt;
}

std::vector<member> member_host::peers() const
{
    std::vector<member> out = members();
    const incarnation_id own = self().incarnation;
    std::erase_if(out, [&](const member& m) { return m.incarnation == own || m.state == member_state::dead; });
    return out;
}

} // namespace skylarkhub
