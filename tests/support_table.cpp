#include "support_table.h"

namespace skylarkhub::test {

table_row fake_table::read(const std::string& key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() ? table_row{key, std::nullopt, {}, {}} : found->second;
}

table_result fake_table::commit(const table_transaction& transaction)
{
    table_result result{transaction.operation, table_outcome::applied, {}, {}};
    for (const table_check& check : transaction.checks) {
        const table_row now = read(check.key);
        if (checks_ && now.version != check.version) {
            result.outcome = table_outcome::conflict;
            result.rows.push_back(now);
        }
    }
    if (result.outcome == table_outcome::conflict) {
        return result;
    }
    for (const table_write& write : transaction.writes) {
        const auto before = rows_.find(write.key);
        observe_(write.key, before == rows_.end() ? nullptr : &before->second, write.value);
        last_version_ = last_version_.next();
        const row_version version = write.value ? last_version_ : row_version{};
        const table_row row{write.key, write.value, version, transaction.operation};
        result.rows.push_back({write.key, std::nullopt, version, transaction.operation});
        if (write.value) {
            rows_[write.key] = row;
        }
        else {
            rows_.erase(write.key);
        }
    }
    return result;
}

table_scan_result fake_table::scan(const std::string& prefix) const
{
    table_scan_result result{prefix, true, {}, {}};
    for (auto row = rows_.lower_bound(prefix); row != rows_.end() && row->first.starts_with(prefix); ++row) {
        result.rows.push_back(row->second);
    }
    return result;
}

} // namespace skylarkhub::test
