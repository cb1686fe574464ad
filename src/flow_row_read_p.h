// Decodes rows of flows that were read from the table.
#pragma once

#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include "flow_edges_p.h"
#include "flow_row_p.h"
#include "flow_row_pack_p.h"
#include "row_codec_p.h"

namespace skylarkhub {

// Empty when the row cannot be decoded. The caller decides what follows; the error is logged here, since a job that is
// skipped without a log line would stop making progress for no visible reason.
template <class Row> std::optional<Row> read_flow_row(const flow_edges& edges, const store_row& row)
{
    std::string reason;
    auto decoded = decode_compact<Row>(row.value, &reason);
    if constexpr (std::is_same_v<Row, wire::flow_job_row>) {
        if (decoded && !unpack_job_row(*decoded)) {
            decoded.reset();
            reason = "packed fields contradict each other";
        }
    }
    if (!decoded) {
        edges.note(log_level::error, "row", "unreadable",
                   {{"table", row.key.table},
                    {"key", row.key.key},
                    {"version", std::to_string(row.version.value())},
                    {"reason", reason}});
    }
    return decoded;
}

// Combines the index rows of a job (its state and its cancellation) into one. Empty when no row can be decoded.
inline std::optional<wire::flow_job_row> read_index(const flow_edges& edges, const std::vector<store_row>& rows)
{
    std::optional<wire::flow_job_row> state;
    for (const store_row& row : rows) {
        const auto decoded = read_flow_row<wire::flow_job_row>(edges, row);
        if (!decoded) {
            continue;
        }
        if (!state) {
            state = *decoded;
        }
        state->cancelled = state->cancelled || decoded->cancelled;
    }
    return state;
}

} // namespace skylarkhub
