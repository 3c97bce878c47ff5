#include "raft/membership.h"

#include "raft/encoding.h"

#include <algorithm>

namespace verbena::raft {

const member* membership::find(member_id id) const
{
    const auto found =
        std::find_if(members.begin(), members.end(), [id](const member& m) { return m.id == id; });
    return found == members.end() ? nullptr : &*found;
}

std::size_t membership::voter_count() const
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const member& m) { return m.voter; }));
}

bool membership::is_voter(member_id id, folder_id folder) const
{
    const member* found = find(id);
    return found != nullptr && found->voter && found->folder == folder;
}

bool membership::has_same_voters(const membership& other) const
{
    const auto votes_in_other = [&other](const member& m) {
        return !m.voter || other.is_voter(m.id, m.folder);
    };
    return voter_count() == other.voter_count() &&
           std::all_of(members.begin(), members.end(), votes_in_other);
}

membership make_initial_membership(std::vector<member> members)
{
    membership value;
    value.members = std::move(members);
    std::sort(value.members.begin(), value.members.end(),
              [](const member& a, const member& b) { return a.id < b.id; });
    for (member& m : value.members) {
        m.voter = true;
        m.folder = 0;
        value.highest_id = std::max(value.highest_id, m.id);
    }
    return value;
}

bytes encode(const membership& value)
{
    bytes out;
    byte_writer writer(out);
    writer.number(value.highest_id);
    writer.number(static_cast<std::uint16_t>(value.members.size()));
    for (const member& m : value.members) {
        writer.number(m.id);
        writer.number(m.folder);
        writer.number(static_cast<std::uint8_t>(m.voter));
        writer.number(static_cast<std::uint16_t>(m.address.size()));
        writer.raw({reinterpret_cast<const std::uint8_t*>(m.address.data()), m.address.size()});
    }
    return out;
}

result<membership> decode_membership(std::span<const std::uint8_t> data)
{
    byte_reader reader(data);
    membership value;
    value.highest_id = reader.number<member_id>();
    const auto count = reader.number<std::uint16_t>();
    for (std::uint16_t i = 0; i < count && reader.ok(); ++i) {
        member m;
        m.id = reader.number<member_id>();
        m.folder = reader.number<folder_id>();
        m.voter = reader.number<std::uint8_t>() != 0;
        const auto address = reader.raw(reader.number<std::uint16_t>());
        m.address.assign(address.begin(), address.end());
        value.members.push_back(std::move(m));
    }
    if (!reader.ok() || !reader.rest().empty()) {
        return make_error(error_kind::corrupt, "a membership record is malformed",
                          "remove this member and add it again under a new member id");
    }
    return value;
}

namespace {

result<membership> with_added(membership value, const membership_change& change)
{
    if (change.id <= value.highest_id) {
        return make_error(error_kind::conflict,
                          "member id " + std::to_string(change.id) + " is in use or was used before",
                          "use an id above " + std::to_string(value.highest_id));
    }
    if (change.address.size() > UINT16_MAX) {
        return make_error(error_kind::invalid_request, "the address is too long", "use host:port");
    }
    value.highest_id = change.id;
    value.members.push_back(member{change.id, 0, false, change.address});
    return value;
}

result<membership> with_removed(membership value, const membership_change& change)
{
    if (value.find(change.id) == nullptr) {
        return make_error(error_kind::not_found,
                          "member " + std::to_string(change.id) + " is not in the group",
                          "list the members and use one of their ids");
    }
    std::erase_if(value.members, [&change](const member& m) { return m.id == change.id; });
    if (value.voter_count() == 0) {
        return make_error(error_kind::conflict, "the last voter cannot be removed",
                          "add another member first");
    }
    return value;
}

} // namespace

result<membership> apply_change(const membership& current, const membership_change& change)
{
    if (change.action == membership_change::kind::add) {
        return with_added(current, change);
    }
    return with_removed(current, change);
}

} // namespace verbena::raft
