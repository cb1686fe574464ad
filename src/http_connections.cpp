#include "http_connections_p.h"

namespace skylarkhub::detail {

void http_connections::add(int socket)
{
    by_socket_[socket] = {};
}

void http_connections::establish(int socket, const connection_ends& ends)
{
    const auto at = by_socket_.find(socket);
    if (at == by_socket_.end()) {
        return;
    }
    newest_ = newest_.next();
    at->second = {newest_, ends.key()};
    by_ends_[ends.key()] = at->second.number;
}

void http_connections::remove(int socket)
{
    const auto at = by_socket_.find(socket);
    if (at == by_socket_.end()) {
        return;
    }
    const auto ends = by_ends_.find(at->second.ends);
    if (ends != by_ends_.end() && ends->second == at->second.number) {
        by_ends_.erase(ends);
    }
    by_socket_.erase(at);
}

connection_number http_connections::number_of(const connection_ends& ends) const
{
    const auto at = by_ends_.find(ends.key());
    return at == by_ends_.end() ? connection_number() : at->second;
}

} // namespace skylarkhub::detail
