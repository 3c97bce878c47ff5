#include "raft/wire_message.h"

namespace verbena::raft {

namespace {

error malformed(const std::string& what)
{
    return make_error(error_kind::invalid_frame, "malformed Raft message: " + what,
                      "run the same version on all members");
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
        auto wire_entry = std::make_unique<wire::raft_entryT>();
        wire_entry->index = item.index;
        wire_entry->term = item.term;
        wire_entry->kind = static_cast<std::uint8_t>(item.kind);
        wire_entry->data = std::move(item.data);
        table.entries.push_back(std::move(wire_entry));
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
        return malformed("unknown kind " + std::to_string(table.kind));
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
    for (auto& wire_entry : table.entries) {
        if (wire_entry == nullptr || wire_entry->kind > static_cast<std::uint8_t>(entry_kind::no_op)) {
            return malformed("an entry is of unknown kind");
        }
        if (wire_entry->index != value.index + value.entries.size() + 1) {
            return malformed("entry indexes are not consecutive");
        }
        value.entries.push_back({wire_entry->index, wire_entry->term,
                                 static_cast<entry_kind>(wire_entry->kind), std::move(wire_entry->data)});
    }
    return value;
}

} // namespace verbena::raft
