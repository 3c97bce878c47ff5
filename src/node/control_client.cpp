#include "node/control_client.h"

#include "base/event_log.h"

namespace verbena::node {

namespace {

// Members are a few milliseconds away. A first packet to a machine that is just starting is lost, and the
// kernel sends the next one after a second, so a new connection is faster.
constexpr milliseconds connect_timeout{300};

constexpr milliseconds follow_interval{100};

// Interval of polls before the first confirmation, and the shortest one that poll_now() causes.
constexpr milliseconds first_interval{60};
constexpr milliseconds shortest_interval{20};
constexpr milliseconds pause_step{50};

// Without a confirmed reply for this long the members of the settings are asked as well.
constexpr milliseconds seeds_after{2'000};

// An entry that no member has named for this long is forgotten; members name those heard within 5 s.
constexpr milliseconds entry_memory{3'000};

// Pause between two tries of a key call while the group elects a leader.
constexpr milliseconds key_retry_pause{100};

std::string address_text(const host_port& address)
{
    return address.host + ":" + std::to_string(address.port);
}

} // namespace

namespace {

// One line for each change, not for each poll.
void note_member(const std::string& name, std::optional<bool>& answering, bool answers,
                 const std::string& why)
{
    if (answering != answers) {
        event_log::write(event::dependencyT{{}, "control " + name, answers ? "regained" : "lost", why});
    }
    answering = answers;
}

} // namespace

void close_after(net::asio::steady_timer& timer, const std::shared_ptr<net::frame_stream>& stream,
                 milliseconds timeout)
{
    timer.expires_after(timeout);
    timer.async_wait([stream](const net::error_code& failure) {
        if (!failure) {
            stream->close(make_error(error_kind::timeout, "no answer in time", "retry"));
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
    if (m_wanted_load.exchange(bytes) != bytes) {
        m_load_permit = false;
    }
}

void control_client::start()
{
    net::asio::co_spawn(
        net::asio::make_strand(m_io), [self = shared_from_this()] { return self->follow_members(); },
        net::asio::detached);
}

void control_client::set_seeds(std::vector<host_port> seeds)
{
    const std::lock_guard lock(m_mutex);
    m_seeds = std::move(seeds);
}

std::vector<std::string> control_client::entries(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> found;
    for (const auto& [address, named] : m_entries) {
        if (now - named < entry_memory) {
            found.push_back(address);
        }
    }
    return found;
}

// The settings' members are asked at the start, and again when none of the others answers.
void control_client::adopt_wanted(time_point now)
{
    m_wanted = m_members;
    if (m_members.empty() || now - m_last_reply > seeds_after) {
        for (const host_port& seed : m_seeds) {
            m_wanted.insert(address_text(seed));
        }
    }
}

bool control_client::is_wanted(const std::string& name) const
{
    const std::lock_guard lock(m_mutex);
    return m_wanted.contains(name);
}

net::task<void> control_client::follow_members()
{
    while (!m_stopping) {
        std::vector<std::string> added;
        {
            const std::lock_guard lock(m_mutex);
            adopt_wanted(clock::now());
            for (const std::string& name : m_wanted) {
                if (m_polled.insert(name).second) {
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
        co_await net::sleep_for(follow_interval);
    }
}

net::task<void> control_client::poll_member(host_port member)
{
    const std::string name = address_text(member);
    co_await poll_until_unwanted(std::move(member), name);
    if (m_directory != nullptr) {
        m_directory->forget_member(name);
    }
    const std::lock_guard lock(m_mutex);
    m_polled.erase(name);
}

net::task<void> control_client::poll_until_unwanted(host_port member, std::string name)
{
    std::shared_ptr<net::frame_stream> stream;
    time_point last_answer = clock::now();
    announced told;
    std::optional<bool> answering;
    while (!m_stopping && is_wanted(name)) {
        const time_point begin = clock::now();
        if (!stream) {
            auto opened = co_await m_pool->open_stream(member, connect_timeout);
            if (opened) {
                stream = opened.value();
            } else {
                note_member(name, answering, false, opened.error().message);
            }
        }
        if (stream) {
            const result<void> polled = co_await poll_once(member, stream, told);
            if (polled) {
                last_answer = clock::now();
                note_member(name, answering, true, "");
            } else {
                note_member(name, answering, false, polled.error().message);
                m_metrics.add("verbena_poll_failures_total", {{"member", name}});
                stream->close(polled.error());
                stream = nullptr;
            }
        }
        if (m_directory != nullptr && clock::now() - last_answer > std::chrono::seconds(10)) {
            m_directory->forget_member(name);
            last_answer = clock::now();
        }
        co_await pause(begin);
    }
}

// Until the first configuration is confirmed, members are asked more often: they may be electing a leader.
net::task<void> control_client::pause(time_point begin)
{
    const bool unconfirmed = !m_config.age(clock::now());
    const milliseconds interval =
        unconfirmed ? std::min(m_options.interval, first_interval) : m_options.interval;
    m_poll_now = false;
    while (clock::now() - begin < interval && !m_poll_now && !m_stopping) {
        const auto left = std::chrono::duration_cast<milliseconds>(begin + interval - clock::now());
        co_await net::sleep_for(std::clamp(left, milliseconds(1), pause_step));
    }
    // Bounds how often poll_now() has an effect.
    if (clock::now() - begin < shortest_interval) {
        co_await net::sleep_for(shortest_interval);
    }
}

net::task<result<void>> control_client::poll_once(const host_port& member,
                                                  const std::shared_ptr<net::frame_stream>& stream,
                                                  announced& told)
{
    const std::string name = address_text(member);
    wire::pollT poll;
    poll.name = m_options.self.name;
    poll.role = m_options.self.role;
    poll.incarnation = m_options.self.incarnation;
    poll.revision = m_config.held_revision();
    poll.frame_address = m_options.frame_address;
    if (m_directory != nullptr) {
        const directory_view::position at = m_directory->position_of(name);
        poll.directory_epoch = at.epoch;
        poll.directory_version = at.version;
    }
    if (m_announce) {
        poll.announce = m_announce();
        const bool unchanged = poll.announce && told.last && *poll.announce == *told.last;
        told.skip_next = unchanged && !told.skip_next;
        told.last = poll.announce ? std::make_unique<wire::announcementT>(*poll.announce) : nullptr;
        if (told.skip_next) {
            poll.announce = nullptr;
        }
    }
    const std::uint64_t wanted = m_wanted_load;
    poll.wants_load_bytes = wanted;
    const time_point asked = clock::now();
    poll.nonce = static_cast<std::uint64_t>(asked.time_since_epoch().count());
    const std::uint64_t nonce = poll.nonce;
    stream->send(net::make_frame(std::move(poll)));
    net::asio::steady_timer timer(co_await net::asio::this_coro::executor);
    close_after(timer, stream, m_options.reply_timeout);
    const result<net::received_frame> answer = co_await stream->receive();
    timer.cancel();
    if (!answer) {
        co_return answer.error();
    }
    const wire::poll_reply* reply = answer.value().frame->message_as_poll_reply();
    if (reply == nullptr || reply->nonce() != nonce) {
        co_return make_error(error_kind::invalid_frame, "unexpected reply to a poll", "check the versions");
    }
    take_reply(name, *reply, asked);
    if (reply->load_permit() && wanted != 0 && wanted == m_wanted_load) {
        m_load_permit = true;
    }
    co_return success();
}

void control_client::take_reply(const std::string& member, const wire::poll_reply& reply, time_point asked)
{
    if (reply.config() != nullptr && reply.confirmed()) {
        m_config.update({reply.config()->data(), reply.config()->size()});
    }
    if (reply.confirmed()) {
        m_config.confirm(reply.revision(), asked - milliseconds(reply.age_ms()));
    }
    note_group(reply);
    if (m_directory != nullptr) {
        wire::poll_replyT unpacked;
        reply.UnPackTo(&unpacked);
        m_directory->apply(member, unpacked);
    }
}

void control_client::note_group(const wire::poll_reply& reply)
{
    const std::lock_guard lock(m_mutex);
    const time_point now = clock::now();
    if (reply.leader() != nullptr && reply.leader()->size() != 0) {
        m_leader = reply.leader()->str();
    }
    if (reply.entries() != nullptr) {
        for (const auto* address : *reply.entries()) {
            m_entries[address->str()] = now;
        }
        std::erase_if(m_entries, [now](const auto& item) { return now - item.second > entry_memory; });
    }
    // A member without a quorum may hold an old list.
    if (reply.confirmed()) {
        m_last_reply = now;
        if (reply.members() != nullptr && reply.members()->size() != 0) {
            m_members.clear();
            for (const auto* address : *reply.members()) {
                m_members.insert(address->str());
            }
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
    net::asio::steady_timer timer(co_await net::asio::this_coro::executor);
    close_after(timer, stream, timeout);
    const result<net::received_frame> answer = co_await stream->receive();
    timer.cancel();
    stream->close(make_error(error_kind::unavailable, "call ended"));
    if (!answer) {
        co_return answer.error();
    }
    const wire::key_reply* reply = answer.value().frame->message_as_key_reply();
    if (reply == nullptr) {
        co_return make_error(error_kind::invalid_frame, "unexpected reply to a key call",
                             "check the versions");
    }
    wire::key_replyT unpacked;
    reply->UnPackTo(&unpacked);
    co_return unpacked;
}

// A key call is idempotent on the leader (same request id and attempt), so it may be sent again after a lost
// answer.
net::task<result<wire::key_replyT>> control_client::call_key(wire::frameT call, milliseconds timeout)
{
    const time_point end = clock::now() + timeout;
    std::optional<wire::key_replyT> last;
    for (std::size_t attempt = 0; clock::now() < end; ++attempt) {
        const host_port target = next_target(last ? &*last : nullptr, attempt);
        const auto left = std::chrono::duration_cast<milliseconds>(end - clock::now());
        const result<wire::key_replyT> reply =
            co_await call_member(target, call, std::min(left, milliseconds(1'500)));
        if (reply && reply.value().state != wire::key_state::not_leader) {
            co_return reply.value();
        }
        last = reply ? std::optional<wire::key_replyT>(reply.value()) : std::nullopt;
        if (!last || last->leader.empty()) {
            co_await net::sleep_for(key_retry_pause);
        }
    }
    co_return make_error(error_kind::unavailable, "no control leader answered", "retry in a second");
}

} // namespace verbena::node
