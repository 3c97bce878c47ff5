#include "node/control_client.h"

#include "base/event_log.h"

namespace verbena::node {

namespace {

// Members are a few milliseconds away. The first SYN to a machine that is still starting is lost and the
// kernel retransmits it only after a second, so opening a new connection is faster than waiting.
constexpr milliseconds connect_timeout{300};

// Interval at which the poll targets are updated.
constexpr milliseconds target_update_interval{100};

// Poll interval before the first confirmation, and the shortest interval that poll_now() can cause.
constexpr milliseconds startup_poll_interval{60};
constexpr milliseconds min_poll_interval{20};
// Interval at which a waiting poll loop checks for poll_now() and stop().
constexpr milliseconds wait_step{50};

// After this time without a confirmed reply the seed members are polled as well.
constexpr milliseconds seed_fallback_delay{2'000};

// A member of this failure domain that has not confirmed for this long is not relied on.
constexpr milliseconds local_confirmation_timeout{700};

// Pause between two attempts of a key call while the group elects a leader.
constexpr milliseconds key_retry_pause{100};

std::string address_text(const host_port& address)
{
    return address.host + ":" + std::to_string(address.port);
}

} // namespace

namespace {

// Logs a change between reachable and unreachable, not every poll.
void log_reachability(const std::string& name, std::optional<bool>& was_reachable, bool is_reachable,
                      const std::string& reason)
{
    if (was_reachable != is_reachable) {
        event_log::write(
            event::dependencyT{{}, "control " + name, is_reachable ? "regained" : "lost", reason});
    }
    was_reachable = is_reachable;
}

} // namespace

void close_after(net::steady_timer& timer, const std::shared_ptr<net::frame_stream>& stream,
                 milliseconds timeout)
{
    timer.expires_after(timeout);
    timer.async_wait([stream](const net::error_code& failure) {
        if (!failure) {
            stream->close(make_error(error_kind::timeout, "the peer did not reply in time", "retry"));
        }
    });
}

control_client::control_client(net::asio::io_context& io, options settings,
                               std::shared_ptr<net::peer_pool> pool, config_view& config,
                               directory_view* directory, announcer announce, metrics& counters)
    : m_io(io), m_options(std::move(settings)), m_pool(std::move(pool)), m_config(config),
      m_directory(directory), m_announce(std::move(announce)), m_metrics(counters), m_seeds(m_options.members)
{
}

result<std::vector<host_port>> control_members(const settings::node_settingsT& settings)
{
    BOOST_OUTCOME_TRY(std::vector<host_port> members, parse_host_ports(settings.control));
    if (settings.control_port != 0) {
        for (host_port& member : members) {
            member.port = static_cast<std::uint16_t>(settings.control_port);
        }
    }
    return members;
}

void control_client::request_load_permit(std::uint64_t bytes)
{
    if (m_requested_load_bytes.exchange(bytes) != bytes) {
        m_load_permit = false;
    }
}

void control_client::start()
{
    net::asio::co_spawn(
        net::asio::make_strand(m_io), [self = shared_from_this()] { return self->run_poll_loops(); },
        net::asio::detached);
}

void control_client::set_seeds(std::vector<host_port> seeds)
{
    const std::lock_guard lock(m_mutex);
    m_seeds = std::move(seeds);
}

// The seeds are polled at the start, and again when no other member replies with a confirmation.
void control_client::update_poll_targets(time_point now)
{
    m_poll_targets = m_members;
    if (m_members.empty() || now - m_last_confirmed_reply > seed_fallback_delay) {
        for (const host_port& seed : m_seeds) {
            m_poll_targets.insert(address_text(seed));
        }
        m_poll_targets.insert(m_suggested_members.begin(), m_suggested_members.end());
    }
}

bool control_client::is_poll_target(const std::string& name) const
{
    const std::lock_guard lock(m_mutex);
    return m_poll_targets.contains(name);
}

net::task<void> control_client::run_poll_loops()
{
    while (!m_stopping) {
        std::vector<std::string> added;
        {
            const std::lock_guard lock(m_mutex);
            update_poll_targets(clock::now());
            for (const std::string& name : m_poll_targets) {
                if (m_active_polls.insert(name).second) {
                    added.push_back(name);
                }
            }
        }
        for (const std::string& name : added) {
            const result<host_port> member = parse_host_port(name);
            if (member) {
                net::asio::co_spawn(
                    net::asio::make_strand(m_io),
                    [self = shared_from_this(), target = member.value()] {
                        return self->poll_member(target);
                    },
                    net::asio::detached);
            }
        }
        co_await net::sleep_for(target_update_interval);
    }
}

net::task<void> control_client::poll_member(host_port member)
{
    const std::string name = address_text(member);
    co_await poll_while_target(std::move(member), name);
    if (m_directory != nullptr) {
        m_directory->remove_member_list(name);
    }
    const std::lock_guard lock(m_mutex);
    m_active_polls.erase(name);
    m_usage_kept.erase(name);
}

net::task<void> control_client::poll_while_target(host_port member, std::string name)
{
    std::shared_ptr<net::frame_stream> stream;
    time_point last_reply = clock::now();
    member_exchange exchange;
    std::optional<bool> was_reachable;
    while (!m_stopping && is_poll_target(name)) {
        const time_point begin = clock::now();
        if (!stream) {
            auto opened = co_await m_pool->open_stream(member, connect_timeout);
            if (opened) {
                stream = opened.value();
            } else {
                log_reachability(name, was_reachable, false, opened.error().message);
            }
        }
        if (stream) {
            const result<void> polled = co_await poll_once(member, stream, exchange);
            if (polled) {
                last_reply = clock::now();
                log_reachability(name, was_reachable, true, "");
            } else {
                log_reachability(name, was_reachable, false, polled.error().message);
                m_metrics.add("verbena_poll_failures_total", {{"member", name}});
                stream->close(polled.error());
                stream = nullptr;
                // The member may have restarted and hold nothing.
                exchange.usage_wanted = false;
                exchange.usage_acknowledged = 0;
            }
        }
        if (m_directory != nullptr && clock::now() - last_reply > std::chrono::seconds(10)) {
            m_directory->remove_member_list(name);
            last_reply = clock::now();
        }
        co_await wait_for_next_poll(begin, name);
    }
}

// Members are polled more often until the first configuration is confirmed, because they may be electing a
// leader.
net::task<void> control_client::wait_for_next_poll(time_point begin, std::string member)
{
    const bool unconfirmed = !m_config.age(clock::now());
    const milliseconds regular =
        is_remote(member, clock::now()) ? m_options.remote_interval : m_options.interval;
    const milliseconds interval = unconfirmed ? std::min(regular, startup_poll_interval) : regular;
    m_poll_now = false;
    while (clock::now() - begin < interval && !m_poll_now && !m_stopping) {
        const auto remaining = std::chrono::duration_cast<milliseconds>(begin + interval - clock::now());
        co_await net::sleep_for(std::clamp(remaining, milliseconds(1), wait_step));
    }
    // Limits the poll rate that poll_now() can cause.
    if (clock::now() - begin < min_poll_interval) {
        co_await net::sleep_for(min_poll_interval);
    }
}

// Whether the member is in another failure domain while one of this domain confirms. Traffic between failure
// domains costs more, so such a member is polled less often and not asked for the configuration.
bool control_client::is_remote(const std::string& member, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_member_domains.find(member);
    return !m_options.failure_domain.empty() && found != m_member_domains.end() &&
           found->second != m_options.failure_domain &&
           now - m_last_local_confirmation < local_confirmation_timeout;
}

net::task<result<void>> control_client::poll_once(const host_port& member,
                                                  const std::shared_ptr<net::frame_stream>& stream,
                                                  member_exchange& exchange)
{
    const std::string name = address_text(member);
    wire::pollT poll;
    poll.name = m_options.self.name;
    poll.role = m_options.self.role;
    poll.incarnation = m_options.self.incarnation;
    poll.revision = m_config.held_revision();
    poll.frame_address = m_options.frame_address;
    poll.failure_domain = m_options.failure_domain;
    poll.processor_share = m_options.processor_share;
    poll.schedulers_digest = m_schedulers.digest_of(name);
    poll.without_config = m_config.held_revision() != 0 && is_remote(name, clock::now());
    if (m_directory != nullptr) {
        const directory_view::position at = m_directory->position_of(name);
        poll.directory_epoch = at.epoch;
        poll.directory_version = at.version;
    }
    if (m_announce) {
        poll.announce = m_announce();
        const bool unchanged =
            poll.announce && exchange.last_announced && *poll.announce == *exchange.last_announced;
        exchange.skip_next = unchanged && !exchange.skip_next;
        exchange.last_announced =
            poll.announce ? std::make_unique<wire::announcementT>(*poll.announce) : nullptr;
        if (exchange.skip_next) {
            poll.announce = nullptr;
        }
    }
    const std::uint64_t requested_bytes = m_requested_load_bytes;
    poll.wants_load_bytes = requested_bytes;
    const time_point sent_at = clock::now();
    poll.nonce = static_cast<std::uint64_t>(sent_at.time_since_epoch().count());
    if (wants_demand(name)) {
        poll.demand = m_options.demand();
    }
    const std::uint64_t nonce = poll.nonce;
    if (exchange.usage_wanted) {
        poll.usage_slices =
            m_options.usage->slices_after(exchange.usage_acknowledged, sent_at, usage_counter::wall_now());
    }
    stream->send(net::make_frame(std::move(poll)));
    net::steady_timer timer(co_await net::asio::this_coro::executor);
    close_after(timer, stream, m_options.reply_timeout);
    const result<net::received_frame> answer = co_await stream->receive();
    timer.cancel();
    if (!answer) {
        co_return answer.error();
    }
    const wire::poll_reply* reply = answer.value().frame->message_as_poll_reply();
    if (reply == nullptr || reply->nonce() != nonce) {
        co_return make_error(error_kind::invalid_frame, "unexpected reply to a poll",
                             "check that both processes run the same version");
    }
    apply_usage_reply(name, *reply, exchange);
    apply_reply(name, *reply, sent_at);
    if (reply->load_permit() && requested_bytes != 0 && requested_bytes == m_requested_load_bytes) {
        m_load_permit = true;
    }
    co_return success();
}

void control_client::apply_usage_reply(const std::string& member, const wire::poll_reply& reply,
                                       member_exchange& exchange)
{
    if (m_options.usage == nullptr) {
        return;
    }
    exchange.usage_wanted = reply.usage_wanted();
    exchange.usage_acknowledged = reply.usage_acknowledged();
    if (reply.usage_wanted()) {
        m_usage_acknowledged = reply.usage_acknowledged();
    }
    milliseconds kept{};
    {
        // A member whose settings do not name the duty yet must not end the count for the others.
        const std::lock_guard lock(m_mutex);
        m_usage_kept[member] = milliseconds(reply.usage_kept_ms());
        for (const auto& [name, value] : m_usage_kept) {
            kept = std::max(kept, value);
        }
    }
    m_options.usage->set_kept(kept, clock::now(), usage_counter::wall_now());
}

void control_client::apply_reply(const std::string& member, const wire::poll_reply& reply, time_point sent_at)
{
    if (reply.config() != nullptr && reply.confirmed()) {
        m_config.update({reply.config()->data(), reply.config()->size()});
    }
    if (reply.confirmed()) {
        m_config.confirm(reply.revision(), sent_at - milliseconds(reply.age_ms()));
    }
    record_group(member, reply);
    if (m_directory != nullptr) {
        wire::poll_replyT unpacked;
        reply.UnPackTo(&unpacked);
        m_directory->apply(member, unpacked);
    }
}

bool control_client::wants_demand(const std::string& member) const
{
    const std::lock_guard lock(m_mutex);
    return m_options.demand && m_demand_members.contains(member);
}

void control_client::record_group(const std::string& member, const wire::poll_reply& reply)
{
    const time_point now = clock::now();
    m_schedulers.apply(member, reply, now);
    const std::lock_guard lock(m_mutex);
    if (reply.leader() != nullptr && reply.leader()->size() != 0) {
        m_leader = reply.leader()->str();
    }
    const std::string domain = reply.failure_domain() == nullptr ? "" : reply.failure_domain()->str();
    m_member_domains[member] = domain;
    if (reply.demand_wanted()) {
        m_demand_members.insert(member);
    } else {
        m_demand_members.erase(member);
    }
    // The list of a member without a quorum may be out of date.
    if (reply.confirmed()) {
        m_last_confirmed_reply = now;
        if (!domain.empty() && domain == m_options.failure_domain) {
            m_last_local_confirmation = now;
        }
        if (reply.members() != nullptr && reply.members()->size() != 0) {
            m_members.clear();
            for (const auto* address : *reply.members()) {
                m_members.insert(address->str());
            }
        }
    } else if (reply.members() != nullptr && reply.members()->size() != 0) {
        m_suggested_members.clear();
        for (const auto* address : *reply.members()) {
            m_suggested_members.insert(address->str());
        }
    }
}

host_port control_client::next_target(const wire::key_replyT* last, std::size_t attempt) const
{
    std::string hint;
    if (last != nullptr && !last->leader.empty()) {
        hint = last->leader;
    } else if (attempt == 0) {
        const std::lock_guard lock(m_mutex);
        hint = m_leader;
    }
    if (!hint.empty()) {
        const result<host_port> parsed = parse_host_port(hint);
        if (parsed) {
            return parsed.value();
        }
    }
    const std::lock_guard lock(m_mutex);
    return m_seeds[attempt % m_seeds.size()];
}

net::task<result<wire::key_replyT>> control_client::call_member(host_port member, wire::frameT call,
                                                                milliseconds timeout)
{
    auto opened = co_await m_pool->open_stream(std::move(member), std::min(timeout, connect_timeout));
    if (!opened) {
        co_return opened.error();
    }
    const std::shared_ptr<net::frame_stream> stream = opened.value();
    stream->send(call);
    net::steady_timer timer(co_await net::asio::this_coro::executor);
    close_after(timer, stream, timeout);
    const result<net::received_frame> answer = co_await stream->receive();
    timer.cancel();
    stream->close(make_error(error_kind::unavailable, "the call has ended"));
    if (!answer) {
        co_return answer.error();
    }
    const wire::key_reply* reply = answer.value().frame->message_as_key_reply();
    if (reply == nullptr) {
        co_return make_error(error_kind::invalid_frame, "unexpected reply to a key call",
                             "check that both processes run the same version");
    }
    wire::key_replyT unpacked;
    reply->UnPackTo(&unpacked);
    co_return unpacked;
}

// A key call is idempotent on the leader (same request id and attempt), so it may be sent again after a lost
// reply.
net::task<result<wire::key_replyT>> control_client::call_key(wire::frameT call, milliseconds timeout)
{
    const time_point deadline = clock::now() + timeout;
    std::optional<wire::key_replyT> last;
    for (std::size_t attempt = 0; clock::now() < deadline; ++attempt) {
        const host_port target = next_target(last ? &*last : nullptr, attempt);
        const auto remaining = std::chrono::duration_cast<milliseconds>(deadline - clock::now());
        const result<wire::key_replyT> reply =
            co_await call_member(target, call, std::min(remaining, milliseconds(1'500)));
        if (reply && reply.value().state != wire::key_state::not_leader) {
            co_return reply.value();
        }
        last = reply ? std::optional<wire::key_replyT>(reply.value()) : std::nullopt;
        if (!last || last->leader.empty()) {
            co_await net::sleep_for(key_retry_pause);
        }
    }
    co_return make_error(error_kind::unavailable, "no control leader replied in time", "retry in a second");
}

} // namespace verbena::node
