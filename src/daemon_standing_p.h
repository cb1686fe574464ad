// Runs standing work that is due. Any entry may; the one that ranks first for a row acts at once and the others only
// when it is late, and the transaction on the row lets one of them win.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "job_accept_p.h"
#include "peer_types.h"
#include "platform_client_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

struct standing_edges {
    platform_client& platform;
    std::function<std::vector<cell_room>()> rooms;
    std::function<std::vector<incarnation_id>()> live; // everywhere, this entry included
    std::function<void(const std::vector<cell_part>&)> accepted;
    std::function<void(const team_id&, bool run, std::int64_t missed)> counted;
};

class standing_runner : public std::enable_shared_from_this<standing_runner> {
public:
    standing_runner(incarnation_id self, standing_edges edges);

    // Reads the rows again; one scan at a time.
    void refresh();
    // Runs what is due among the rows last read.
    void tick();
    std::vector<wire::standing_row> rows() const;

private:
    struct known_row {
        wire::standing_row row;
        row_version version;
        bool busy = false;
    };
    bool ranks_first(const wire::standing_row& row) const;
    void look(const wire::standing_row& row, row_version version);
    void check_open(const wire::standing_row& row, row_version version, std::size_t cell);
    void run(const wire::standing_row& row, row_version version);
    void settle(const wire::standing_row& row);

    const incarnation_id self_;
    const standing_edges edges_;
    std::atomic<bool> refreshing_{false};
    mutable absl::Mutex mutex_;
    std::vector<known_row> rows_ ABSL_GUARDED_BY(mutex_);
};

} // namespace skylarkhub
