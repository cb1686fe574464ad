// Learned sizes of tasks: what a job's tasks really use, against what was declared for them.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>

#include "config.h"
#include "place_names_p.h"
#include "place_p.h"

namespace skylarkhub::detail {

// How many tasks peaked at which ratio of use to declared size, in eighths of an octave from 1/16 to 16.
class ratio_histogram {
public:
    static constexpr int bucket_count = 64;
    using shares = std::array<double, bucket_count>;

    static int bucket_of(double ratio);
    static double upper_edge(int bucket);

    void add(int bucket);
    void move(int from, int to);

    // Own counts with `weight` tasks' worth of the parent's shares mixed in; adds up to 1.
    shares mixed(const shares& parent, double weight) const;

private:
    std::array<float, bucket_count> counts_{};
    float total_ = 0;
};

// What a job's tasks are known by when their size is learned: team and name, then kind, then everything.
struct size_key {
    name_index family = any_name;
    name_index kind = any_name;
};

class size_book {
public:
    // One lagging measurement of one task. `throttled` when it may have been while that was taken.
    void learn(instant taken, const task_id& task, const size_key& key, const resources& declared,
               const resources& used, bool throttled);

    // What the ledger is to hold for a task that starts: a high quantile of what its like has used.
    resources for_start(const size_key& key, const resources& declared) const;

    // What is known of one task: the highest use measured so far, the processors it took when last measured without a
    // throttle (0 when it never was), and for how long it has been measured.
    struct measured {
        resources peak;
        std::int64_t free_cpu = 0;
        duration span{0};
    };
    // Null when it was never measured; valid until the next call that is not const.
    const measured* find(const task_id& task) const;

    // What the ledger is to hold for a task that runs. `start` is what for_start gives for it now.
    static resources for_running(const measured& task, const resources& start, const resources& committed);

    // Processors that a task of this key takes on average; the declared amount while nothing is known.
    double typical_cpu(const size_key& key, const resources& declared) const;

    // Forgets tasks that were not measured for `age`, and families when there are too many of them.
    void sweep(instant now, duration age);

private:
    enum dimension : std::uint8_t { cpu, memory, dimension_count };
    struct level {
        std::array<ratio_histogram, dimension_count> peaks;
        double cpu_sum = 0; // of use over declared, forgetting old samples
        double cpu_weight = 0;
        instant last{};
    };
    struct task_record {
        measured known;
        std::array<std::int8_t, dimension_count> bucket{};
        size_key key;
        instant first{};
        instant last{};
    };

    double high_ratio(const size_key& key, dimension d) const;
    void count_peak(task_record& record, const resources& declared, bool first);

    level overall_;
    absl::flat_hash_map<name_index, level> kinds_;
    absl::flat_hash_map<name_index, level> families_;
    absl::flat_hash_map<task_id, task_record> tasks_;
};

} // namespace skylarkhub::detail
