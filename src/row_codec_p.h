// Rows and messages in Thrift's compact protocol, as bytes or, for tables that keep strings, in base64.
#pragma once

#include <absl/strings/escaping.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "config.h"
#include "peer_types.h"

namespace skylarkhub {

// Encodes any generated struct of schema/*.thrift.
template <class Row> std::string encode_compact(const Row& row)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    row.write(&protocol);
    return buffer->getBufferAsString();
}

// Empty when `bytes` is not such a struct, with the reason in `last_reason`.
template <class Row> std::optional<Row> decode_compact(const std::string& bytes, std::string* last_reason = nullptr)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())), static_cast<std::uint32_t>(bytes.size()));
    // Without a limit a few bytes can announce a list that takes all memory.
    const auto list_most = static_cast<std::int32_t>(std::min<std::size_t>(bytes.size() + 1, config::peer_list_most));
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer, 0,
                                                                                                   list_most);
    Row row;
    try {
        row.read(&protocol);
    }
    catch (const std::exception& error) { // Thrift's own, or that a damaged length is too long to be allocated
        if (last_reason != nullptr) {
            *last_reason = error.what();
        }
        return std::nullopt;
    }
    return row;
}

// Encodes any generated struct of schema/peer.thrift as a table value.
template <class Row> std::string encode_row(const Row& row)
{
    return absl::Base64Escape(encode_compact(row));
}

// Decodes a table value; empty when it is not such a row, with the reason in `last_reason`.
template <class Row> std::optional<Row> decode_row(const std::string& value, std::string* last_reason = nullptr)
{
    std::string bytes;
    if (!absl::Base64Unescape(value, &bytes)) {
        if (last_reason != nullptr) {
            *last_reason = "value is not base64";
        }
        return std::nullopt;
    }
    return decode_compact<Row>(bytes, last_reason);
}

} // namespace skylarkhub
