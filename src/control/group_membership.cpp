#include "base/event_log.h"
#include "base/log.h"
#include "base/random.h"
#include "control/raft_host.h"
#include "node/control_client.h"
#include "raft/files.h"

#include <algorithm>

// Membership without an operator: how a member without a configured id forms or joins a group, and how the
// decisions of the membership policy are carried out.
namespace verbena::control {

namespace {

// Time to wait for the reply of another control process.
constexpr milliseconds reply_timeout{500};

// Interval between join requests.
constexpr milliseconds join_request_interval{150};

std::string text_of(const host_port& address)
{
    return address.host + ":" + std::to_string(address.port);
}

// Logs the outcome of a membership change.
std::function<void(const result<void>&)> change_logger(const membership_step& step)
{
    const char* action = step.change.action == raft::membership_change::kind::add ? "add" : "remove";
    return [action, id = step.subject.id, address = step.subject.address,
            reason = step.reason](const result<void>& outcome) {
        event_log::write(event::membership_changedT{
            {}, action, id, address, reason, outcome ? "committed" : describe(outcome.error())});
    };
}

// Never returns 0, which marks folders that were initialised together with the group.
raft::folder_id make_folder_id()
{
    const raft::folder_id id = make_incarnation();
    return id == 0 ? 1 : id;
}

} // namespace

result<void> raft_host::determine_member_id()
{
    BOOST_OUTCOME_TRY(const bool empty, raft::storage::is_empty(*m_disk));
    if (!empty) {
        BOOST_OUTCOME_TRY(const raft::identity stored, raft::detail::read_identity(*m_disk));
        m_options.member_id = stored.member;
        return success();
    }
    const bool first = std::find(m_options.initial_members.begin(), m_options.initial_members.end(),
                                 m_options.address) != m_options.initial_members.end();
    if (m_options.form_group && first) {
        return form_group();
    }
    log::warn("data folder is empty; requesting membership from the group");
    return success();
}

// All initial members are configured with the same list, so each derives the same ids from the sorted
// addresses.
result<void> raft_host::form_group()
{
    std::vector<std::string> addresses;
    for (const host_port& address : m_options.initial_members) {
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

void raft_host::request_membership_in_background()
{
    if (!m_disk || m_requesting_membership || m_options.initial_members.empty() ||
        m_options.address.port == 0) {
        return;
    }
    m_requesting_membership = true;
    net::asio::co_spawn(
        m_strand, [self = shared_from_this()] { return self->request_membership(); }, net::asio::detached);
}

std::vector<host_port> raft_host::contacts() const
{
    std::vector<host_port> targets = m_options.initial_members;
    for (const std::string& address : member_addresses()) {
        const result<host_port> parsed = parse_host_port(address);
        if (parsed && std::find(targets.begin(), targets.end(), parsed.value()) == targets.end()) {
            targets.push_back(parsed.value());
        }
    }
    std::erase(targets, m_options.address);
    return targets;
}

// Sends one join request per call, to the known members in turn. A reply that names another leader is
// followed at once.
net::task<void> raft_host::request_membership()
{
    const std::vector<host_port> targets = contacts();
    raft::folder_id own_folder = 0;
    if (m_options.member_id != 0) {
        const result<raft::identity> stored = raft::detail::read_identity(*m_disk);
        own_folder = stored ? stored.value().folder : 0;
    }
    const raft::member_id previous_id = m_options.member_id;
    if (!targets.empty()) {
        const host_port& target = targets[m_next_join_target++ % targets.size()];
        std::optional<wire::join_replyT> reply = co_await send_join_request(target, own_folder);
        if (reply && reply->member_id == 0 && !reply->leader.empty()) {
            const result<host_port> leader = parse_host_port(reply->leader);
            if (leader && leader.value() != m_options.address) {
                reply = co_await send_join_request(leader.value(), own_folder);
            }
        }
        log_join_outcome(target, reply);
        const bool still_without_leader = !knows_leader() && m_options.member_id == previous_id;
        if (reply && reply->member_id != 0 && reply->member_id != previous_id && still_without_leader) {
            stop_on_error(become_member(reply->member_id, make_folder_id()));
            m_last_leader_contact = clock::now();
        }
    }
    co_await net::sleep_for(join_request_interval);
    m_requesting_membership = false;
}

void raft_host::log_join_outcome(const host_port& target, const std::optional<wire::join_replyT>& reply)
{
    const char* outcome = !reply                  ? "no_reply"
                          : reply->member_id != 0 ? "assigned"
                          : reply->leader.empty() ? "no_leader"
                                                  : "wait";
    if (outcome == m_logged_join_outcome) {
        return;
    }
    m_logged_join_outcome = outcome;
    event_log::write(event::membership_requestedT{{},
                                                  m_options.member_id,
                                                  text_of(target),
                                                  outcome,
                                                  reply ? reply->leader : std::string(),
                                                  reply ? reply->member_id : 0});
}

net::task<std::optional<wire::join_replyT>> raft_host::send_join_request(host_port address,
                                                                         std::uint64_t folder)
{
    wire::join_requestT request;
    request.address = text_of(m_options.address);
    request.folder = folder;
    request.member_id = m_options.member_id;
    const auto answer = co_await ask(std::move(address), net::make_frame(std::move(request)));
    const wire::join_reply* reply = answer ? answer->frame->message_as_join_reply() : nullptr;
    if (reply == nullptr) {
        co_return std::nullopt;
    }
    wire::join_replyT unpacked;
    reply->UnPackTo(&unpacked);
    co_return unpacked;
}

net::task<std::optional<net::received_frame>> raft_host::ask(host_port address, wire::frameT question)
{
    auto opened = co_await m_pool->open_stream(std::move(address), reply_timeout);
    if (!opened) {
        co_return std::nullopt;
    }
    const std::shared_ptr<net::frame_stream> stream = opened.value();
    const net::stream_guard guard(stream);
    stream->send(question);
    net::steady_timer timer(m_strand);
    node::close_after(timer, stream, reply_timeout);
    result<net::received_frame> answer = co_await stream->receive();
    timer.cancel();
    if (!answer) {
        co_return std::nullopt;
    }
    co_return std::move(answer.value());
}

// Discards the data folder: the group has removed the former member, or there was none, so the contents are
// obsolete.
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
    if (!m_replica || !parse_host_port(address)) {
        return reply;
    }
    const join_decision decision =
        m_policy.join(m_replica->consensus(), {address, {request.member_id(), request.folder()}});
    if (decision.step) {
        start_change(*decision.step);
    }
    reply.member_id = decision.assigned;
    return reply;
}

wire::folder_replyT raft_host::answer(const wire::folder_query& query) const
{
    wire::folder_replyT reply;
    reply.nonce = query.nonce();
    // A process without a data folder, or at another address, knows nothing about the folder of the member.
    const bool concerned = m_disk && !m_faulted && query.address() != nullptr &&
                           query.address()->str() == text_of(m_options.address);
    const raft::member_folder asked{query.member_id(), query.folder()};
    if (concerned && m_replica) {
        const raft::core& own = m_replica->consensus();
        reply.lost = asked != raft::member_folder{own.self(), own.folder()};
    } else if (concerned) {
        reply.lost = m_options.member_id == 0;
    }
    return reply;
}

net::task<void> raft_host::ask_for_folder(raft::member voter)
{
    const result<host_port> address = parse_host_port(voter.address);
    if (!address || !m_asked.insert(voter.id).second) {
        co_return;
    }
    wire::folder_queryT query;
    query.nonce = make_incarnation();
    query.address = voter.address;
    query.member_id = voter.id;
    query.folder = voter.folder;
    const std::uint64_t nonce = query.nonce;
    const auto answer = co_await ask(address.value(), net::make_frame(std::move(query)));
    m_asked.erase(voter.id);
    const wire::folder_reply* reply = answer ? answer->frame->message_as_folder_reply() : nullptr;
    const raft::member_folder folder{voter.id, voter.folder};
    if (reply != nullptr && reply->nonce() == nonce && reply->lost() && m_replica &&
        !m_replica->consensus().known_lost_folders().contains(folder)) {
        event_log::write(event::folder_lostT{{}, m_options.member_id, voter.id, voter.address});
        m_replica->report_lost_folder(folder);
    }
}

std::optional<host_port> raft_host::leader_query_target()
{
    const result<host_port> leader = parse_host_port(leader_address());
    if (leader) {
        return leader.value();
    }
    const std::vector<host_port> candidates = contacts();
    if (is_member() || candidates.empty()) {
        return std::nullopt;
    }
    return candidates[m_next_query_target++ % candidates.size()];
}

void raft_host::set_reported_group(std::string leader, std::vector<std::string> members)
{
    if (is_member()) {
        return;
    }
    if (!members.empty()) {
        m_reported_members = std::move(members);
    }
    if (!leader.empty() && leader != m_reported_leader) {
        event_log::write(event::dependencyT{{}, "control leader", "regained", leader});
        m_reported_leader = std::move(leader);
    }
}

void raft_host::forget_reported_leader(const std::string& address)
{
    if (is_member() || address != m_reported_leader) {
        return;
    }
    event_log::write(event::dependencyT{{}, "control leader", "lost", address});
    m_reported_leader.clear();
}

std::vector<host_port> raft_host::outsiders() const
{
    std::vector<host_port> found;
    if (!is_leader()) {
        return found;
    }
    const std::vector<std::string> members = member_addresses();
    for (const host_port& address : m_options.initial_members) {
        if (std::find(members.begin(), members.end(), text_of(address)) == members.end()) {
            found.push_back(address);
        }
    }
    return found;
}

void raft_host::broadcast(const wire::frameT& message)
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
        for (const raft::member& member : m_replica->consensus().membership().members) {
            addresses.push_back(member.address);
        }
    } else {
        addresses = m_reported_members;
    }
    return addresses;
}

bool raft_host::accepts_changes(time_point now)
{
    if (m_accepts_changes || !m_forms_itself || !m_machine.is_empty()) {
        return true;
    }
    const std::size_t voters = m_replica->consensus().membership().voter_count();
    const bool waited = m_leader_since && now - *m_leader_since > formation_timeout;
    if (voters < needed_voters() && !waited) {
        return false;
    }
    if (voters < needed_voters()) {
        log::warn("accepting changes with " + std::to_string(voters) + " of " +
                  std::to_string(needed_voters()) +
                  " voters; the group cannot lose as many members as its settings tolerate");
    }
    m_accepts_changes = true;
    return true;
}

void raft_host::maintain_membership(time_point now)
{
    const raft::core& state = m_replica->consensus();
    for (const raft::member& voter : m_policy.voters_to_ask(state, now)) {
        net::asio::co_spawn(
            m_strand, [self = shared_from_this(), voter] { return self->ask_for_folder(voter); },
            net::asio::detached);
    }
    if (const std::optional<membership_step> step = m_policy.next_removal(state, now)) {
        start_change(*step);
    }
}

void raft_host::start_change(const membership_step& step)
{
    change_membership(step.change, change_logger(step));
}

} // namespace verbena::control
