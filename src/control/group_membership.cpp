#include "base/log.h"
#include "base/random.h"
#include "control/raft_host.h"
#include "node/control_client.h"
#include "raft/files.h"

#include <algorithm>

// How a member without a configured id finds its group, and how a group without an operator replaces members.
namespace verbena::control {

namespace {

constexpr milliseconds ask_timeout{500};

// Pause between two questions for membership.
constexpr milliseconds ask_pause{150};

std::string text_of(const host_port& address)
{
    return address.host + ":" + std::to_string(address.port);
}

// A folder number is never 0, which stands for folders that were initialised with the group.
raft::folder_id make_folder_id()
{
    const raft::folder_id drawn = make_incarnation();
    return drawn == 0 ? 1 : drawn;
}

} // namespace

result<void> raft_host::find_member_id()
{
    BOOST_OUTCOME_TRY(const bool empty, raft::storage::is_empty(*m_disk));
    if (!empty) {
        BOOST_OUTCOME_TRY(const raft::identity who, raft::detail::read_identity(*m_disk));
        m_options.member_id = who.member;
        return success();
    }
    const bool first = std::find(m_options.first_members.begin(), m_options.first_members.end(),
                                 m_options.address) != m_options.first_members.end();
    if (m_options.form_group && first) {
        return form_group();
    }
    log::warn("the data folder is empty: this process asks the group for membership");
    return success();
}

// All first members get the same list, so each derives the same ids from its order.
result<void> raft_host::form_group()
{
    std::vector<std::string> addresses;
    for (const host_port& address : m_options.first_members) {
        addresses.push_back(text_of(address));
    }
    std::sort(addresses.begin(), addresses.end());
    std::vector<raft::member> members;
    for (const std::string& address : addresses) {
        members.push_back({members.size() + 1, 0, true, address});
        if (address == text_of(m_options.address)) {
            m_options.member_id = members.back().id;
        }
    }
    return raft::storage::initialise(*m_disk, m_options.cluster, m_options.member_id,
                                     raft::make_initial_membership(std::move(members)));
}

void raft_host::seek_in_background()
{
    if (m_seeking || m_options.first_members.empty() || m_options.address.port == 0) {
        return;
    }
    m_seeking = true;
    net::asio::co_spawn(
        m_strand, [self = shared_from_this()] { return self->seek_membership(); }, net::asio::detached);
}

// Asks the known members in turn, one question a call.
net::task<void> raft_host::seek_membership()
{
    std::vector<host_port> asked = m_options.first_members;
    for (const std::string& address : member_addresses()) {
        const result<host_port> parsed = parse_host_port(address);
        if (parsed && std::find(asked.begin(), asked.end(), parsed.value()) == asked.end()) {
            asked.push_back(parsed.value());
        }
    }
    std::erase(asked, m_options.address);
    raft::folder_id own_folder = 0;
    if (m_options.member_id != 0) {
        const result<raft::identity> who = raft::detail::read_identity(*m_disk);
        own_folder = who ? who.value().folder : 0;
    }
    const raft::member_id before = m_options.member_id;
    if (!asked.empty()) {
        const host_port target = asked[m_next_asked++ % asked.size()];
        std::optional<wire::join_replyT> reply = co_await ask_membership(target, own_folder);
        if (reply && reply->member_id == 0 && !reply->leader.empty()) {
            const result<host_port> leader = parse_host_port(reply->leader);
            if (leader && leader.value() != m_options.address) {
                reply = co_await ask_membership(leader.value(), own_folder);
            }
        }
        const bool still_lost = !knows_leader() && m_options.member_id == before;
        if (reply && reply->member_id != 0 && reply->member_id != before && still_lost) {
            check(become_member(reply->member_id, make_folder_id()));
            m_heard_group = clock::now();
        }
    }
    co_await net::sleep_for(ask_pause);
    m_seeking = false;
}

net::task<std::optional<wire::join_replyT>> raft_host::ask_membership(host_port address, std::uint64_t folder)
{
    auto opened = co_await m_pool->open_stream(std::move(address), ask_timeout);
    if (!opened) {
        co_return std::nullopt;
    }
    const std::shared_ptr<net::frame_stream> stream = opened.value();
    const net::stream_guard guard(stream);
    wire::join_requestT request;
    request.address = text_of(m_options.address);
    request.folder = folder;
    request.member_id = m_options.member_id;
    stream->send(net::make_frame(std::move(request)));
    net::asio::steady_timer timer(m_strand);
    node::close_after(timer, stream, ask_timeout);
    const result<net::received_frame> answer = co_await stream->receive();
    timer.cancel();
    const wire::join_reply* reply = answer ? answer.value().frame->message_as_join_reply() : nullptr;
    if (reply == nullptr) {
        co_return std::nullopt;
    }
    wire::join_replyT unpacked;
    reply->UnPackTo(&unpacked);
    co_return unpacked;
}

// The group has removed the former member, or there was none: whatever the folder holds no longer counts.
result<void> raft_host::become_member(raft::member_id id, raft::folder_id folder)
{
    log::warn("joining the group as member " + std::to_string(id));
    if (m_replica) {
        m_replica->close();
        m_replica = nullptr;
    }
    BOOST_OUTCOME_TRY(raft::storage::clear(*m_disk));
    BOOST_OUTCOME_TRY(raft::storage::join(*m_disk, m_options.cluster, id, folder));
    m_options.member_id = id;
    m_links.clear();
    return open_replica();
}

wire::join_replyT raft_host::join(const wire::join_request& request)
{
    wire::join_replyT reply;
    reply.leader = leader_address();
    const std::string address = request.address() == nullptr ? std::string() : request.address()->str();
    if (!is_leader() || !parse_host_port(address)) {
        return reply;
    }
    const auto log_outcome = [address](const char* step) {
        return [address, step](const result<void>& outcome) {
            log::info(std::string(step) + " " + address + ": " +
                      (outcome ? std::string("committed") : describe(outcome.error())));
        };
    };
    const raft::membership& group = m_replica->state().membership();
    for (const raft::member& known : group.members) {
        if (known.address != address) {
            continue;
        }
        const bool same = known.id == request.member_id() && known.folder == request.folder();
        if (!known.voter || same) {
            reply.member_id = known.id;
            return reply;
        }
        // The process at this address no longer has the folder under which the member voted.
        remove_member(known.id, log_outcome("removing the member that lost its folder at"));
        return reply;
    }
    add_member(group.highest_id + 1, address, log_outcome("adding the member at"));
    return reply;
}

void raft_host::tell_members(const wire::frameT& message)
{
    for (auto& [id, peer] : m_links) {
        if (peer.stream && peer.stream->parent()->is_open()) {
            peer.stream->send(message);
        }
    }
}

std::vector<std::string> raft_host::member_addresses() const
{
    std::vector<std::string> addresses;
    if (m_replica) {
        for (const raft::member& known : m_replica->state().membership().members) {
            addresses.push_back(known.address);
        }
    }
    return addresses;
}

// A member that was replaced or cut off for long only weakens the quorum. It is removed as soon as the others
// are enough; should it come back, it asks for membership again.
void raft_host::replace_silent_members(time_point now)
{
    if (!is_leader()) {
        m_silent_since.clear();
        return;
    }
    const raft::core_status state = m_replica->state().status(now);
    const std::size_t wanted = 2 * m_options.tolerated_losses + 1;
    raft::member_id silent = 0;
    for (const raft::member_status& line : state.members) {
        if (line.answering || line.member.id == m_options.member_id) {
            m_silent_since.erase(line.member.id);
            continue;
        }
        const time_point since = m_silent_since.try_emplace(line.member.id, now).first->second;
        const milliseconds limit = line.member.voter ? silent_voter_limit : silent_learner_limit;
        const bool longest = silent == 0 || since < m_silent_since.at(silent);
        if (now - since > limit && longest) {
            silent = line.member.id;
        }
    }
    if (silent == 0) {
        return;
    }
    const raft::membership& group = m_replica->state().membership();
    const raft::member* member = group.find(silent);
    if (member == nullptr || (member->voter && group.voter_count() <= wanted)) {
        return;
    }
    m_silent_since[silent] = now;
    remove_member(silent, [silent](const result<void>& outcome) {
        log::info("removing the silent member " + std::to_string(silent) + ": " +
                  (outcome ? std::string("committed") : describe(outcome.error())));
    });
}

} // namespace verbena::control
