// Requests for places on workers of other cells, for lasting tasks that move: asked of the owners of those cells, and
// answered for the cells of this entry.
#include <algorithm>

#include "flow_entry_p.h"
#include "flow_row_p.h"

namespace skylarkhub {

namespace {

wire::flow_place_ask to_wire(const cell_id& cell, const place_need& need, bool reserve)
{
    wire::flow_place_ask ask;
    ask.cell = cell.str();
    ask.job = need.task.job.str();
    ask.occurrence = need.task.occurrence;
    ask.step_number = need.task.step;
    ask.index = need.task.index;
    ask.service_name = need.service;
    ask.step = to_row(need.step);
    ask.reserve = reserve;
    return ask;
}

place_need need_of(const wire::flow_place_ask& ask)
{
    return {{job_id(ask.job), ask.occurrence, ask.step_number, ask.index}, ask.service_name, from_row(ask.step)};
}

place_answer answer_of(const std::optional<wire::flow_message>& message, epoch heard)
{
    if (!message) {
        return {place_outcome::refused, heard};
    }
    if (!message->__isset.place_answer) {
        return {place_outcome::promised, heard}; // an entry of an earlier release takes what is handed to it
    }
    const std::int32_t outcome = message->place_answer.outcome;
    const bool known = outcome >= 0 && outcome <= static_cast<std::int32_t>(place_outcome::promised);
    return {known ? static_cast<place_outcome>(outcome) : place_outcome::refused, epoch(message->place_answer.epoch)};
}

} // namespace

void flow_entry::ask_for_place(instant now, const cell_id& to, const place_need& need, bool reserve,
                               std::function<void(instant, place_answer)> done)
{
    const auto own = cells_.find(to);
    if (own != cells_.end() && own->second->owns()) {
        edges_.after(duration(0), [cell = own->second.get(), need, reserve, done = std::move(done)](instant then) {
            done(then, cell->promise_place(then, need, reserve));
        });
        return;
    }
    const peer* const owner = find_owner(now, to);
    if (owner == nullptr) {
        edges_.after(duration(0), [done = std::move(done)](instant then) { done(then, place_answer{}); });
        return;
    }
    const auto news = std::find_if(owner->cells.begin(), owner->cells.end(),
                                   [&](const wire::flow_cell_news& cell) { return cell.cell == to.str(); });
    wire::flow_message message;
    message.__set_place_ask(to_wire(to, need, reserve));
    edges_.send_message(owner->identity.address, message,
                        [heard = epoch(news->epoch),
                         done = std::move(done)](instant then, const std::optional<wire::flow_message>& answer) {
                            done(then, answer_of(answer, heard));
                        });
}

wire::flow_message flow_entry::serve_place(instant now, const wire::flow_place_ask& ask)
{
    place_answer answer;
    const auto cell = cells_.find(cell_id(ask.cell));
    if (cell != cells_.end()) {
        answer = cell->second->promise_place(now, need_of(ask), ask.reserve);
    }
    wire::flow_place_answer told;
    told.outcome = static_cast<std::int32_t>(answer.outcome);
    told.epoch = answer.epoch.value();
    wire::flow_message message;
    message.__set_place_answer(told);
    return message;
}

} // namespace skylarkhub
