// A table in memory: versions, checks and transactions of the published interface. Outages, lost answers and late
// effects belong to the way to it, see support_world.h.
#pragma once

#include <functional>
#include <map>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::test {

class fake_table {
public:
    // Called for each row that a transaction changes, with the values before and after.
    using observer =
        std::function<void(const std::string& key, const table_row* before, const std::optional<std::string>& after)>;

    // Without `checks` a commit applies whatever the versions are.
    fake_table(observer observe, bool checks) : observe_(std::move(observe)), checks_(checks) {}

    table_result commit(const table_transaction& transaction);
    table_row read(const std::string& key) const;
    table_scan_result scan(const std::string& prefix) const;

private:
    observer observe_;
    bool checks_ = true;
    std::map<std::string, table_row> rows_;
    row_version last_version_;
};

} // namespace skylarkhub::test
