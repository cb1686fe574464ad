// Maintains the cells that an entry knows: their racks, their workers, the changes of their jobs, and this entry's rank
// as their candidate owner.
#include <algorithm>
#include <limits>

#include "flow_entry_p.h"
#include "flow_limits_p.h"
#include "flow_row_read_p.h"
#include "log_line_p.h"
#include "row_codec_p.h"

namespace skylarkhub {

using namespace flow_limits;

flow_cell& flow_entry::find_or_create_cell(const cell_id& id, const data_centre_id& data_centre)
{
    auto& cell = cells_[id];
    if (!cell) {
        cell = std::make_unique<flow_cell>(id, self_, edges_, make_hooks(data_centre),
                                           static_cast<std::size_t>(bounds_.row_bytes));
        cell_places_[id] = data_centre;
        next_ranks_ = instant{};
    }
    return *cell;
}

// --- layouts ---

void flow_entry::read_layouts(instant now)
{
    if (reading_layouts_) {
        return;
    }
    reading_layouts_ = true;
    const bool starting = now - started_at_ < layouts_start;
    next_layouts_read_ = now + (starting ? layout_list_interval : layouts_interval);
    edges_.read({layouts_table, shared_part, "", ""}, [this, asked = now](instant then, const store_page& page) {
        reading_layouts_ = false;
        if (!page.reached) {
            next_layouts_read_ = then + register_retry;
            return;
        }
        for (const store_row& row : page.rows) {
            apply_layout(then, row);
        }
        layouts_known_ = true;
        layouts_read_at_ = asked;
    });
}

void flow_entry::apply_layout(instant now, const store_row& row)
{
    const data_centre_id data_centre(row.key.key);
    data_centre_cells& known = layouts_[data_centre];
    if (row.version <= known.version) {
        return;
    }
    const auto decoded = read_flow_row<wire::flow_layout_row>(edges_, row);
    if (!decoded) {
        return;
    }
    known.version = row.version;
    known.layout = from_row(*decoded);
    for (const auto& [rack, assigned] : known.layout) {
        racks_[rack] = assigned.cell;
        find_or_create_cell(assigned.cell, data_centre);
    }
    // Requests a new list instead of using the last one, since a worker may have restarted meanwhile.
    next_list_ = now;
}

// A new rack is assigned once the list is complete and the layout row, which another entry may have written, has been
// read. The entries of the data centre write at about the same time; the version check lets one write succeed.
void flow_entry::assign_racks(instant now)
{
    for (auto& [data_centre, known] : layouts_) {
        if (!has_new_racks(known.layout, known.listed)) {
            known.unassigned_since = instant{};
            continue;
        }
        if (known.unassigned_since == instant{}) {
            known.unassigned_since = now;
        }
        next_list_ = std::min(next_list_, now + layout_list_interval);
        if (layouts_read_at_ < known.unassigned_since && layouts_known_) {
            read_layouts(now);
            continue;
        }
        const duration wait = data_centre == self_.data_centre ? duration(0) : layout_wait_remote;
        const duration unassigned_for = now - known.unassigned_since;
        const bool settled = now - known.changed_at >= layout_settle || unassigned_for >= max_layout_settle;
        if (layouts_known_ && !known.writing && !stopping_ && unassigned_for >= wait && settled) {
            write_layout(now, data_centre);
        }
    }
}

void flow_entry::write_layout(instant, const data_centre_id& data_centre)
{
    data_centre_cells& known = layouts_[data_centre];
    known.writing = true;
    const cell_layout wanted = extend_layout(data_centre, known.layout, known.listed);
    store_transaction t;
    t.checks.push_back({layout_key(data_centre), known.version});
    t.puts.push_back({layout_key(data_centre), encode_compact(to_row(wanted))});
    const std::string value = t.puts.front().value;
    edges_.commit(std::move(t), [this, data_centre, value](instant then, const store_result& result) {
        data_centre_cells& written = layouts_[data_centre];
        written.writing = false;
        switch (result.outcome) {
        case table_outcome::applied:
            apply_layout(then, {layout_key(data_centre), value, result.version, false});
            edges_.note(log_level::info, "layout", "extended",
                        {{"data_centre", data_centre.str()},
                         {"racks", std::to_string(written.layout.size())},
                         {"cells", std::to_string(count_workers(written.layout, {}).size())}});
            return;
        case table_outcome::conflict:
            for (const store_row& row : result.rows) {
                apply_layout(then, row);
            }
            return;
        case table_outcome::refused:
        case table_outcome::unknown:
            edges_.note(log_level::warning, "layout", "extend_failed",
                        {{"data_centre", data_centre.str()}, {"reason", result.reason}});
            read_layouts(then); // the write may have been applied
            return;
        }
    });
}

// --- changes of jobs ---

// Watches the table of job rows once for all owned cells. With one watch for each cell, an owner would read the changes
// of the whole site once for each cell, over a possibly narrow link.
//
// Failure: an answer holds a limited number of rows and does not say whether further ones follow. Symptom: an owner
// that takes one answer every watch_interval falls behind on a large site, until lost messages are made up for only
// after the table has discarded the changes. So a round of calls goes on up to a version that the table reports during
// the round. It does not go on to an answer without rows: on a busy site some rows are written during each call.
void flow_entry::watch_jobs(instant now)
{
    if (news_watch_.under_way || news_read_.under_way > 0 || !watched_job_version()) {
        return;
    }
    next_watch_ = now + watch_interval;
    if (table_away_) {
        read_news(now);
        return;
    }
    news_watch_ = {true, now, 0, std::nullopt};
    watch_next_jobs(now);
}

std::optional<row_version> flow_entry::watched_job_version() const
{
    std::optional<row_version> known;
    for (const auto& [id, cell] : cells_) {
        const auto of_cell = cell->job_watch_version();
        if (of_cell && (!known || *of_cell < *known)) {
            known = of_cell;
        }
    }
    return known;
}

void flow_entry::report_news_delay(instant now)
{
    duration behind{0};
    for (const auto& [id, cell] : cells_) {
        behind = std::max(behind, now - cell->job_news_complete_at().value_or(now));
    }
    stats_.news_behind_ms = behind / 1ms;
    if (behind < news_behind_logged_after || now < next_news_behind_line_) {
        return;
    }
    next_news_behind_line_ = now + watch_interval;
    const row_version goal = news_watch_.goal ? news_watch_.goal->version : row_version(0);
    edges_.note(log_level::warning, "table", "news_behind",
                {{"entry", self_.entry.str()},
                 {"behind_ms", std::to_string(stats_.news_behind_ms)},
                 {"version", std::to_string(watched_job_version().value_or(row_version(0)).value())},
                 {"goal", std::to_string(goal.value())},
                 {"answers", std::to_string(news_watch_.answers)},
                 {"table_away", table_away_ ? "yes" : "no"},
                 {"reads_cells", news_read_.under_way > 0 ? "yes" : "no"}});
}

void flow_entry::watch_next_jobs(instant now)
{
    const auto known = watched_job_version();
    if (!known) {
        news_watch_.under_way = false; // this entry lost its cells during the round
        return;
    }
    edges_.watch({news_table, *known, duration(0)},
                 [this, asked = now, after = *known](instant then, const store_page& page) {
                     if (page.history_compacted) {
                         for (auto& [id, cell] : cells_) {
                             cell->on_job_history_compacted(then);
                         }
                     }
                     if (page.reached && !page.history_compacted) {
                         on_jobs_changed(then, asked, after, page);
                         return;
                     }
                     news_watch_.under_way = false;
                 });
}

// A page that is followed by others is complete only up to the highest version of its rows; rows that it omits must not
// count as known.
row_version flow_entry::last_complete_version(const store_page& page, row_version after)
{
    if (!page.more) {
        return page.version;
    }
    row_version shown = after;
    for (const store_row& row : page.rows) {
        shown = std::max(shown, row.version);
    }
    return std::min(shown, std::max(after, page.version));
}

void flow_entry::on_jobs_changed(instant now, instant asked, row_version after, const store_page& page)
{
    ++news_watch_.answers;
    apply_job_rows(now, after, page.rows);
    const row_version shown = last_complete_version(page, after);
    const std::optional<table_mark>& goal = news_watch_.goal;
    const bool goal_reached = goal && shown >= goal->version;
    const std::optional<instant> complete_at = !page.more     ? std::optional(asked)
                                               : goal_reached ? std::optional(goal->asked)
                                                              : std::nullopt;
    for (auto& [id, cell] : cells_) {
        cell->on_job_watch_advanced(after, shown, complete_at);
    }
    if (complete_at || shown <= after) {
        news_watch_.under_way = false;
    }
    else if (now - news_watch_.began >= watch_interval) {
        news_watch_.under_way = false;
        read_news(now);
    }
    else if (!goal && (news_watch_.answers > 1 || page.rows.size() >= many_changes)) {
        read_watch_goal(now);
    }
    else {
        watch_next_jobs(now);
    }
}

void flow_entry::read_watch_goal(instant now)
{
    edges_.read(single_row_range(entry_key(self_.entry)), [this, asked = now](instant then, const store_page& page) {
        if (!page.reached || page.version == row_version(0)) { // without a version nothing shows what is complete
            news_watch_.under_way = false;
            return;
        }
        news_watch_.goal = {page.version, asked};
        watch_next_jobs(then);
    });
}

// Passes the rows newer than `after` to their cells, and returns how many there were.
std::int64_t flow_entry::apply_job_rows(instant now, row_version after, const std::vector<store_row>& rows)
{
    std::int64_t newer = 0;
    for (const store_row& row : rows) {
        const job_row_name name = parse_job_row_key(row.key);
        const auto cell = cells_.find(name.cell);
        if (row.removed || row.version <= after || cell == cells_.end() || !cell->second->job_watch_version()) {
            continue;
        }
        ++newer;
        const auto decoded = read_flow_row<wire::flow_job_row>(edges_, row);
        if (decoded) {
            cell->second->on_job_row(now, name, *decoded, row.version);
        }
    }
    return newer;
}

// Failure: the table does not answer this entry, so its watches fail, or the changes of the site come in faster than
// the entry's link carries them. Symptom: a job whose notification was lost, or a task handed to a cell of this entry,
// waits until the table answers again or discards its history. Reads can be relayed through a peer, and return only the
// rows of the owned cells but all that a watch would.
void flow_entry::read_news(instant now)
{
    if (news_read_.under_way > 0) {
        return;
    }
    news_read_ = {};
    news_read_.asked = now;
    news_read_.version = row_version(std::numeric_limits<std::int64_t>::max());
    news_read_.through_peer = table_away_;
    for (const auto& [id, cell] : cells_) {
        if (cell->job_watch_version()) {
            news_read_.cells[id] = cell->epoch();
        }
        for (int part = 0; cell->job_watch_version() && part < job_parts; ++part) {
            news_read_.unread.emplace_back(id, cell_rows(news_table, id, job_part(part)));
        }
    }
    for (int i = 0; i < job_read_concurrency; ++i) {
        read_next_news(now);
    }
}

void flow_entry::read_next_news(instant now)
{
    if (news_read_.through_peer && !table_away_) {
        news_read_.whole = news_read_.whole && news_read_.unread.empty();
        news_read_.unread.clear(); // the next watch returns them
    }
    if (!news_read_.unread.empty()) {
        const auto [id, range] = std::move(news_read_.unread.back());
        news_read_.unread.pop_back();
        ++news_read_.under_way;
        edges_.read(range, [this, id = id, range = range](instant then, const store_page& page) {
            --news_read_.under_way;
            on_news_read(then, id, range, page);
            read_next_news(then);
        });
        return;
    }
    if (news_read_.under_way > 0) {
        return;
    }
    for (const auto& [id, owned] : news_read_.cells) {
        flow_cell& cell = *cells_.at(id);
        if (news_read_.whole && cell.epoch() == owned) {
            cell.on_news_read(news_read_.version, news_read_.asked);
        }
    }
    news_read_.cells.clear();
    if (news_read_.through_peer && news_read_.answered > 0 && now >= next_news_line_) {
        next_news_line_ = now + watch_interval;
        edges_.note(log_level::info, "table", "news_through_peer",
                    {{"entry", self_.entry.str()},
                     {"pages", std::to_string(news_read_.answered)},
                     {"rows", std::to_string(news_read_.rows)}});
    }
}

void flow_entry::on_news_read(instant now, const cell_id& id, store_range range, const store_page& page)
{
    const auto known = cells_.at(id)->job_watch_version();
    if (!page.reached || !known) {
        news_read_.whole = false; // the next round of reads repeats it
        return;
    }
    ++news_read_.answered;
    news_read_.version = std::min(news_read_.version, page.version);
    news_read_.rows += apply_job_rows(now, *known, page.rows);
    if (page.more && !page.rows.empty()) {
        range.from = page.rows.back().key.key + '\0';
        news_read_.unread.emplace_back(id, std::move(range));
    }
}

// --- candidate owners ---

// A peer's report takes precedence over the owner named in the cell's row.
entry_id flow_entry::live_owner(instant now, const cell_id& id, const flow_cell& cell) const
{
    if (cell.owns_or_is_taking_over()) {
        return self_.entry;
    }
    if (const peer* const reporting = find_owner(now, id)) {
        return reporting->leaving ? entry_id() : reporting->identity.entry;
    }
    const wire::flow_cell_row& row = cell.row();
    const auto named = peers_.find(entry_id(row.owner));
    const bool lives = named != peers_.end() && is_live(named->second, now) && !named->second.leaving &&
                       named->second.identity.incarnation.str() == row.incarnation;
    return lives && !row.released ? named->second.identity.entry : entry_id();
}

void flow_entry::rank_cells(instant now)
{
    if (now < next_ranks_) {
        return;
    }
    std::map<cell_id, std::int64_t> workers;
    for (const auto& [data_centre, known] : layouts_) {
        workers.merge(count_workers(known.layout, known.listed));
    }
    std::map<entry_id, std::int64_t> owned;
    std::vector<ranking_cell> cells;
    bool all_owned = true;
    for (const auto& [id, cell] : cells_) {
        ranking_cell c{id, cell_places_.at(id), workers[id], live_owner(now, id, *cell)};
        owned[c.owner] += c.workers;
        all_owned = all_owned && c.owner.valid();
        cells.push_back(std::move(c));
    }
    std::vector<ranking_entry> entries;
    entries.push_back({self_.entry, self_.data_centre, self_.cores, owned[self_.entry]});
    for (const auto& [id, p] : peers_) {
        if (is_live(p, now) && !p.leaving) {
            entries.push_back({id, p.identity.data_centre, p.identity.cores, owned[id]});
        }
    }
    ranks_ = rank_for_ownership(self_.entry, std::move(entries), cells);
    // The ranks may be as old as ranking_interval, since an owner that fails is replaced only after a longer time.
    next_ranks_ = all_owned ? now + ranking_interval : now;
}

} // namespace skylarkhub
