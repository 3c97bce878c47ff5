#include "control/raft_host.h"

#include "base/event_log.h"
#include "base/log.h"
#include "base/random.h"
#include "control/bootstrap.h"
#include "raft/wire_message.h"

#include <charconv>

namespace verbena::control {

namespace {

constexpr milliseconds tick_interval{20};
// Half of the shortest election timeout. The first packet to a VM that is still booting is lost, and a vote
// must not wait for the kernel to retransmit it.
constexpr milliseconds connect_timeout{200};

// Time for other members to report that the group already exists.
constexpr milliseconds bootstrap_timeout{500};

// Delay before reconnecting to a member.
constexpr milliseconds reconnect_delay{100};

result<std::vector<raft::member>> parse_peers(const std::string& text)
{
    std::vector<raft::member> members;
    for (const std::string& item : split_list(text)) {
        const auto separator = item.find('=');
        std::uint64_t id = 0;
        const auto parsed = std::from_chars(item.data(), item.data() + std::min(separator, item.size()), id);
        if (separator == std::string::npos || parsed.ec != std::errc() || id == 0) {
            return make_error(error_kind::invalid_settings, "[control] peers: '" + item + "' is not valid",
                              "write id=host:port, separated by commas");
        }
        const std::string address = item.substr(separator + 1);
        BOOST_OUTCOME_TRY(parse_host_port(address));
        members.push_back({id, 0, true, address});
    }
    return members;
}

error not_member_error()
{
    return make_error(error_kind::not_leader, "this process is not a member of the group yet",
                      "send the call to another control member");
}

} // namespace

result<std::shared_ptr<raft_host>> raft_host::create(net::asio::io_context& io, const options& settings,
                                                     control::state_machine& machine,
                                                     std::shared_ptr<net::peer_pool> pool,
                                                     std::function<void(const error&)> on_fault)
{
    auto host = std::make_shared<raft_host>(io, settings, machine, std::move(pool), std::move(on_fault));
    BOOST_OUTCOME_TRY(host->open(settings));
    return host;
}

raft_host::raft_host(net::asio::io_context& io, const options& settings, control::state_machine& machine,
                     std::shared_ptr<net::peer_pool> pool, std::function<void(const error&)> on_fault)
    : m_io(io), m_strand(net::asio::make_strand(io)), m_options(settings), m_machine(machine),
      m_pool(std::move(pool)), m_on_fault(std::move(on_fault)), m_policy(settings.tolerated_losses)
{
}

result<void> raft_host::prepare_folder(const options& settings)
{
    BOOST_OUTCOME_TRY(const bool empty, raft::storage::is_empty(*m_disk));
    if (!empty) {
        return success();
    }
    if (!settings.initialise) {
        log::warn("data folder is empty; waiting for an operator to add this member");
        return raft::storage::join(*m_disk, settings.cluster, settings.member_id, make_incarnation());
    }
    return initialise_folder(settings);
}

result<void> raft_host::initialise_folder(const options& settings)
{
    BOOST_OUTCOME_TRY(std::vector<raft::member> members, parse_peers(settings.peers));
    const raft::membership group = raft::make_initial_membership(std::move(members));
    if (group.find(settings.member_id) == nullptr) {
        return make_error(error_kind::invalid_settings, "[control] peers does not list this member",
                          "add member_id with its address to peers");
    }
    std::vector<host_port> others;
    for (const raft::member& member : group.members) {
        if (member.id != settings.member_id) {
            BOOST_OUTCOME_TRY(host_port address, parse_host_port(member.address));
            others.push_back(std::move(address));
        }
    }
    const net::peer_info self{wire::role::control, "init-" + std::to_string(settings.member_id),
                              settings.cluster, 1};
    BOOST_OUTCOME_TRY(check_new_group(others, self, bootstrap_timeout));
    return raft::storage::initialise(*m_disk, settings.cluster, settings.member_id, group);
}

result<void> raft_host::open(const options& settings)
{
    if (settings.data_folder.empty()) {
        if (settings.member_id != 0) {
            return make_error(error_kind::invalid_settings, "[control] data is empty",
                              "set a data folder, or remove member_id from a process without a disk");
        }
        log::info("no data folder is set; this process redirects callers to the leader");
        return success();
    }
    BOOST_OUTCOME_TRY(m_disk, raft::posix_disk::open(settings.data_folder));
    m_last_leader_contact = clock::now();
    if (settings.member_id == 0) {
        m_forms_itself = true;
        BOOST_OUTCOME_TRY(determine_member_id());
        return m_options.member_id == 0 ? result<void>(success()) : open_replica();
    }
    BOOST_OUTCOME_TRY(prepare_folder(settings));
    return open_replica();
}

result<void> raft_host::open_replica()
{
    BOOST_OUTCOME_TRY(auto files, raft::storage::open(*m_disk, m_options.cluster, m_options.member_id));
    BOOST_OUTCOME_TRY(m_replica, raft::replica::open(std::move(files), m_machine, *this, raft::options{},
                                                     random_engine(make_incarnation()), clock::now()));
    return success();
}

void raft_host::start()
{
    net::asio::co_spawn(
        m_strand, [self = shared_from_this()] { return self->run_timer(); }, net::asio::detached);
}

net::task<void> raft_host::run_timer()
{
    bool was_leader = false;
    while (!m_faulted) {
        const time_point now = clock::now();
        if (m_replica) {
            stop_on_error(m_replica->tick(now));
            connect_members(now);
            maintain_membership(now);
            log_group(now);
            log_failed_election(now);
        }
        if (knows_leader()) {
            m_last_leader_contact = now;
        } else if (m_options.member_id == 0 || now - m_last_leader_contact > leader_loss_timeout) {
            request_membership_in_background();
        }
        if (is_leader() != was_leader) {
            was_leader = is_leader();
            m_leader_since = was_leader ? std::optional(now) : std::nullopt;
            const std::string term = std::to_string(m_replica->consensus().term());
            log::info(was_leader ? "became leader in term " + term : "lost leadership, term " + term);
            event_log::write(event::member_stateT{{},
                                                  was_leader ? "leading" : "following",
                                                  m_replica->consensus().term(),
                                                  m_options.member_id,
                                                  ""});
        }
        co_await net::sleep_for(tick_interval);
    }
}

void raft_host::stop_on_error(const result<void>& outcome)
{
    if (!outcome && !m_faulted) {
        m_faulted = true;
        m_on_fault(outcome.error());
    }
}

void raft_host::step(const wire::raft_message& message, const std::shared_ptr<net::frame_stream>& stream)
{
    const result<raft::message> input = raft::from_wire(message);
    if (input && !m_faulted) {
        // A joining member has an empty log and knows no addresses, so it replies on the leader's stream.
        if (!m_replica) {
            return;
        }
        link& peer = m_links[input.value().from];
        if (!peer.stream && address_of(input.value().from).empty()) {
            peer.stream = stream;
        }
        stop_on_error(m_replica->step(input.value(), clock::now()));
    }
}

std::string raft_host::address_of(raft::member_id id) const
{
    const raft::member* found = m_replica ? m_replica->consensus().find_member(id) : nullptr;
    return found == nullptr ? std::string() : found->address;
}

std::string raft_host::leader_address() const
{
    return m_replica ? address_of(m_replica->consensus().leader()) : m_reported_leader;
}

void raft_host::send(raft::message output)
{
    const raft::member_id to = output.to;
    link& peer = m_links[to];
    if (peer.stream) {
        peer.stream->send(net::make_frame(raft::to_wire(std::move(output))));
        if (peer.stream->parent()->is_open()) {
            return;
        }
        peer.stream = nullptr;
    }
    connect_in_background(to, clock::now());
}

void raft_host::connect_members(time_point now)
{
    for (const raft::member& known : m_replica->consensus().membership().members) {
        const link& peer = m_links[known.id];
        if (known.id != m_options.member_id && (!peer.stream || !peer.stream->parent()->is_open())) {
            connect_in_background(known.id, now);
        }
    }
}

void raft_host::connect_in_background(raft::member_id id, time_point now)
{
    link& peer = m_links[id];
    const result<host_port> address = parse_host_port(address_of(id));
    if (peer.connecting || !address || now < peer.next_attempt) {
        return;
    }
    peer.connecting = true;
    net::asio::co_spawn(
        m_strand,
        [self = shared_from_this(), id, target = address.value()] { return self->connect(id, target); },
        net::asio::detached);
}

net::task<void> raft_host::connect(raft::member_id id, host_port address)
{
    auto opened = co_await m_pool->open_stream(std::move(address), connect_timeout);
    link& peer = m_links[id];
    peer.connecting = false;
    peer.next_attempt = clock::now() + reconnect_delay;
    peer.stream = opened ? opened.value() : nullptr;
    if (peer.stream) {
        net::asio::co_spawn(
            m_strand,
            [self = shared_from_this(), stream = peer.stream] { return self->read_replies(stream); },
            net::asio::detached);
    }
}

net::task<void> raft_host::read_replies(std::shared_ptr<net::frame_stream> stream)
{
    const net::stream_guard guard(stream);
    while (true) {
        const result<net::received_frame> next = co_await stream->receive();
        if (!next) {
            co_return;
        }
        if (const wire::raft_message* message = next.value().frame->message_as_raft_message()) {
            step(*message, stream);
        }
    }
}

void raft_host::schedule_flush()
{
    if (m_flush_scheduled) {
        return;
    }
    m_flush_scheduled = true;
    // Proposals that arrive before the flush share one disk sync.
    net::asio::post(m_strand, [self = shared_from_this()] {
        self->m_flush_scheduled = false;
        self->stop_on_error(self->m_replica->flush(clock::now()));
    });
}

void raft_host::propose(std::vector<std::uint8_t> command, proposal_handler handler)
{
    const auto done = [handler](const raft::proposal_result& outcome) {
        if (outcome.fate == raft::proposal_status::committed) {
            handler(outcome.reply);
        } else {
            handler(make_error(error_kind::unavailable, "leadership changed before the outcome was known",
                               "send the call again with the same request id"));
        }
    };
    if (!m_replica) {
        handler(not_member_error());
        return;
    }
    if (is_leader() && !accepts_changes(clock::now())) {
        handler(make_error(error_kind::unavailable,
                           "the group has " +
                               std::to_string(m_replica->consensus().membership().voter_count()) + " of " +
                               std::to_string(needed_voters()) + " voters",
                           "send the call again after a second; start more control processes"));
        return;
    }
    const auto accepted = m_replica->propose(std::move(command), done);
    if (!accepted) {
        handler(accepted.error());
        return;
    }
    schedule_flush();
}

void raft_host::change_membership(const raft::membership_change& change, const member_handler& handler)
{
    const auto done = [handler](const raft::proposal_result& outcome) {
        if (outcome.fate == raft::proposal_status::committed) {
            handler(success());
        } else {
            handler(make_error(error_kind::unavailable, "leadership changed before the outcome was known",
                               "read the status before sending the call again"));
        }
    };
    if (!m_replica) {
        handler(not_member_error());
        return;
    }
    const auto accepted = m_replica->change_membership(change, clock::now(), done);
    if (!accepted) {
        handler(accepted.error());
        return;
    }
    schedule_flush();
}

void raft_host::add_member(std::uint64_t id, const std::string& address, member_handler handler)
{
    change_membership({raft::membership_change::kind::add, id, address}, handler);
}

void raft_host::remove_member(std::uint64_t id, member_handler handler)
{
    change_membership({raft::membership_change::kind::remove, id, {}}, handler);
}

void raft_host::transfer_leadership()
{
    const result<void> started = m_replica ? m_replica->transfer_leadership(clock::now()) : success();
    if (!started) {
        log::warn("leadership transfer failed: " + describe(started.error()));
    }
}

op::status_replyT raft_host::status() const
{
    op::status_replyT reply;
    if (!m_replica) {
        return reply;
    }
    const raft::core_status state = m_replica->consensus().status(clock::now());
    reply.leader = state.leader;
    reply.term = state.term;
    reply.commit_index = state.commit;
    for (const raft::member_status& item : state.members) {
        auto member = std::make_unique<op::member_statusT>();
        member->id = item.member.id;
        member->address = item.member.address;
        member->learner = !item.member.voter;
        member->match_index = item.match;
        reply.members.push_back(std::move(member));
    }
    return reply;
}

} // namespace verbena::control
