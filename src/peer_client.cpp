#include "peer_client_p.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "entry_peer.h"

namespace skylarkhub {

namespace {

using memory_buffer = apache::thrift::transport::TMemoryBuffer;
using compact_protocol = apache::thrift::protocol::TCompactProtocolT<memory_buffer>;

// The frame that `send`, one of the generated client's send functions, writes.
template <class Send> std::string encode_call(Send send)
{
    auto buffer = std::make_shared<memory_buffer>();
    wire::entry_peerClient client(std::make_shared<compact_protocol>(buffer));
    send(client);
    return buffer->getBufferAsString();
}

// What `receive`, one of the generated client's receive functions, reads from the frame.
template <class Answer, class Receive>
peer_result<Answer> decode_answer(peer_frame_result raw, std::int32_t bytes_most, Receive receive)
{
    peer_result<Answer> result{std::nullopt, raw.may_have_arrived, std::move(raw.reason)};
    if (!raw.answered) {
        return result;
    }
    auto buffer = std::make_shared<memory_buffer>(reinterpret_cast<std::uint8_t*>(raw.frame.data()),
                                                  static_cast<std::uint32_t>(raw.frame.size()));
    wire::entry_peerClient client(std::make_shared<compact_protocol>(buffer, bytes_most, config::peer_list_most));
    try {
        Answer answer{};
        receive(client, answer);
        result.answer = std::move(answer);
    }
    catch (const std::exception& error) {
        result.reason = std::string("peer's answer: ") + error.what();
    }
    return result;
}

template <class Answer, class Receive>
std::function<void(peer_frame_result)> decode_into(peer_client::callback<Answer> done, std::int32_t bytes_most,
                                                   Receive receive)
{
    return [done = std::move(done), bytes_most, receive](peer_frame_result raw) {
        done(decode_answer<Answer>(std::move(raw), bytes_most, receive));
    };
}

std::function<void(peer_frame_result)> report_sent(peer_client::callback<peer_sent> done)
{
    return [done = std::move(done)](peer_frame_result raw) {
        peer_result<peer_sent> result{std::nullopt, raw.may_have_arrived, std::move(raw.reason)};
        if (raw.answered) {
            result.answer = peer_sent{};
        }
        done(std::move(result));
    };
}

} // namespace

peer_client::peer_client(peer_channel::limits l)
    : message_bytes_most_(static_cast<std::int32_t>(l.message_bytes_most)), channel_(l)
{}

void peer_client::probe(const net_address& to, const wire::probe_request& request, duration timeout,
                        callback<wire::probe_reply> done)
{
    channel_.send({to, encode_call([&](auto& client) { client.send_probe(request); }), false, timeout},
                  decode_into<wire::probe_reply>(std::move(done), message_bytes_most_,
                                                 [](auto& client, auto& answer) { client.recv_probe(answer); }));
}

void peer_client::hold(const net_address& to, const wire::hold_request& request, duration timeout,
                       callback<wire::hold_reply> done)
{
    channel_.send({to, encode_call([&](auto& client) { client.send_hold(request); }), false, timeout},
                  decode_into<wire::hold_reply>(std::move(done), message_bytes_most_,
                                                [](auto& client, auto& answer) { client.recv_hold(answer); }));
}

void peer_client::tell_cells(const net_address& to, const std::string& sender, const std::vector<wire::cell_news>& news,
                             duration timeout, callback<peer_sent> done)
{
    channel_.send({to, encode_call([&](auto& client) { client.send_tell_cells(sender, news); }), true, timeout},
                  report_sent(std::move(done)));
}

void peer_client::inbox_hint(const net_address& to, const cell_id& cell, duration timeout, callback<peer_sent> done)
{
    channel_.send({to, encode_call([&](auto& client) { client.send_inbox_hint(cell.str()); }), true, timeout},
                  report_sent(std::move(done)));
}

void peer_client::push_settings(const net_address& to, const wire::settings_push& push, duration timeout,
                                callback<std::int64_t> done)
{
    channel_.send({to, encode_call([&](auto& client) { client.send_push_settings(push); }), false, timeout},
                  decode_into<std::int64_t>(std::move(done), message_bytes_most_,
                                            [](auto& client, auto& answer) { answer = client.recv_push_settings(); }));
}

void peer_client::pull_settings(const net_address& to, std::int64_t newer_than, duration timeout,
                                callback<wire::settings_push> done)
{
    channel_.send(
        {to, encode_call([&](auto& client) { client.send_pull_settings(newer_than); }), false, timeout},
        decode_into<wire::settings_push>(std::move(done), message_bytes_most_,
                                         [](auto& client, auto& answer) { client.recv_pull_settings(answer); }));
}

void peer_client::report(const net_address& to, const std::string& what, duration timeout, callback<std::string> done)
{
    channel_.send({to, encode_call([&](auto& client) { client.send_report(what); }), false, timeout},
                  decode_into<std::string>(std::move(done), message_bytes_most_,
                                           [](auto& client, auto& answer) { client.recv_report(answer); }));
}

peer_channel::stats peer_client::read_stats() const
{
    return channel_.read_stats();
}

} // namespace skylarkhub
