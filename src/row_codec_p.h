// Rows of the table: Thrift's compact protocol, then base64, because the table keeps strings.
#pragma once

#include <absl/strings/escaping.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "peer_types.h"

namespace skylarkhub {

// Encodes any generated struct of schema/peer.thrift as a table value.
template <class Row> std::string encode_row(const Row& row)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    row.write(&protocol);
    return absl::Base64Escape(buffer->getBufferAsString());
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
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
        reinterpret_cast<std::uint8_t*>(bytes.data()), static_cast<std::uint32_t>(bytes.size()));
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    Row row;
    try {
        row.read(&protocol);
    }
    catch (const apache::thrift::TException& error) {
        if (last_reason != nullptr) {
            *last_reason = error.what();
        }
        return std::nullopt;
    }
    return row;
}

} // namespace skylarkhub
