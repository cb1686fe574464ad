// A set of occurrences of a recurring job.
#pragma once

#include <cstdint>
#include <map>

namespace skylarkhub {

// Kept as spans: the occurrences of a job end nearly in order, so a few spans describe any number of them.
class occurrence_set {
public:
    // Adds the occurrences from `first` up to `end`, which is excluded.
    void add(std::int32_t first, std::int32_t end);
    bool contains(std::int32_t occurrence) const;
    // The lowest occurrence from `from` on that is not in the set.
    std::int32_t next_absent(std::int32_t from) const;
    // Number of occurrences in the set.
    std::int64_t size() const;
    // The spans in ascending order: first occurrence, and the one after the last.
    const std::map<std::int32_t, std::int32_t>& spans() const { return spans_; }

private:
    std::map<std::int32_t, std::int32_t> spans_; // neither empty nor adjacent
};

} // namespace skylarkhub
