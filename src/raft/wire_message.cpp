#include "raft/wire_message.h"

namespace verbena::raft {

namespace {

error malformed(const std::string& what)
{
    return make_error(error_kind::invalid_frame, "a consensus message has " + what,
                      "run the same version everywhere");
}

} // namespace

wire::raft_messageT to_wire(message value)
{
    wire::raft_messageT table;
    table.kind = static_cast<std::uint8_t>(value.kind);
    table.from = value.from;
    table.to = value.to;
    table.term = value.term;
    table.log_index = value.index;
    table.log_term = value.log_term;
    table.commit = value.commit;
    table.reject = value.reject;
    table.hint = value.hint;
    table.context = value.context;
    table.snapshot = std::move(value.snapshot);
    table.snapshot_index = value.snapshot_index;
    table.snapshot_term = value.snapshot_term;
    table.snapshot_offset = value.snapshot_offset;
    table.snapshot_total = value.snapshot_total;
    table.folder = value.folder;
    for (entry& item : value.entries) {
        auto line = std::make_unique<wire::raft_entryT>();
        line->index = item.index;
        line->term = item.term;
        line->kind = static_cast<std::uint8_t>(item.kind);
        line->data = std::move(item.data);
        table.entries.push_back(std::move(line));
    }
    return table;
}

result<message> from_wire(const wire::raft_message& table)
{
    wire::raft_messageT native;
    table.UnPackTo(&native);
    return from_wire(std::move(native));
}

result<message> from_wire(wire::raft_messageT table)
{
    if (table.kind >= message_kind_count) {
        return malformed("the unknown kind " + std::to_string(table.kind));
    }
    message value;
    value.kind = static_cast<message_kind>(table.kind);
    value.from = table.from;
    value.to = table.to;
    value.term = table.term;
    value.folder = table.folder;
    value.index = table.log_index;
    value.log_term = table.log_term;
    value.commit = table.commit;
    value.reject = table.reject;
    value.hint = table.hint;
    value.context = table.context;
    value.snapshot = std::move(table.snapshot);
    value.snapshot_index = table.snapshot_index;
    value.snapshot_term = table.snapshot_term;
    value.snapshot_offset = table.snapshot_offset;
    value.snapshot_total = table.snapshot_total;
    for (auto& line : table.entries) {
        if (line == nullptr || line->kind > static_cast<std::uint8_t>(entry_kind::no_op)) {
            return malformed("an entry of unknown kind");
        }
        if (line->index != value.index + value.entries.size() + 1) {
            return malformed("entries that do not follow one another");
        }
        value.entries.push_back(
            {line->index, line->term, static_cast<entry_kind>(line->kind), std::move(line->data)});
    }
    return value;
}

} // namespace verbena::raft
