#include "forward/load_exchange.h"

#include "base/event_log.h"
#include "forward/crash_messages.h"
#include "node/freshness.h"

namespace verbena::forward {

namespace {

// Notes are batched for this long, so that one frame carries several. The delay is small against the tens of
// milliseconds that an endpoint needs for the shortest prompt. A scheduler carries the notes of many entries.
constexpr milliseconds flush_delay{3};
constexpr milliseconds scheduler_flush_delay{10};

constexpr milliseconds connect_interval{100};
constexpr milliseconds connect_timeout{500};

// An entry that goes on is connected again within this time after a loss of its connection, unless its links are cut.
constexpr milliseconds reconnect_time{1'500};

// Maximum number of notes in one frame; a frame holds 256 KiB.
constexpr std::size_t max_notes = 1'000;

} // namespace

result<std::shared_ptr<load_exchange>> load_exchange::create(net::asio::io_context& io, options settings,
                                                             fleet& endpoints, node::config_view& config,
                                                             report_target_source& targets,
                                                             std::shared_ptr<placement_handler> placements)
{
    auto exchange = std::make_shared<load_exchange>(io, std::move(settings), endpoints, config, targets,
                                                    std::move(placements));
    BOOST_OUTCOME_TRY(exchange->m_server,
                      net::frame_server::create(io, exchange->m_options.listen,
                                                exchange->m_options.connections, *exchange));
    return exchange;
}

load_exchange::load_exchange(net::asio::io_context& io, options settings, fleet& endpoints,
                             node::config_view& config, report_target_source& targets,
                             std::shared_ptr<placement_handler> placements)
    : m_strand(net::asio::make_strand(io)), m_options(std::move(settings)), m_fleet(endpoints),
      m_config(config), m_targets(targets), m_placements(std::move(placements)),
      m_pool(std::make_shared<net::peer_pool>(io, m_options.connections, this)), m_flush_timer(m_strand)
{
}

void load_exchange::start()
{
    m_server->start();
    net::asio::co_spawn(
        m_strand, [self = shared_from_this()] { return self->connect_loop(); }, net::asio::detached);
}

void load_exchange::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
}

std::size_t load_exchange::peers() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(
        m_peers.begin(), m_peers.end(), [](const auto& item) { return item.second.stream != nullptr; }));
}

net::task<void> load_exchange::connect_loop()
{
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_stopping) {
                co_return;
            }
        }
        update_peers();
        co_await net::sleep_for(connect_interval);
    }
}

void load_exchange::update_peers()
{
    const std::vector<report_target> targets = m_targets.report_targets(clock::now());
    // A connect may run before co_spawn() returns, and it takes the mutex.
    for (const report_target& target : take_unconnected(targets)) {
        const result<host_port> address = parse_host_port(target.address);
        if (address) {
            net::asio::co_spawn(
                m_strand,
                [self = shared_from_this(), target, to = address.value()] {
                    return self->connect(target, to);
                },
                net::asio::detached);
        }
    }
}

std::vector<report_target> load_exchange::take_unconnected(const std::vector<report_target>& targets)
{
    std::vector<std::shared_ptr<net::frame_stream>> ended;
    std::vector<report_target> unconnected;
    {
        const std::lock_guard lock(m_mutex);
        for (auto item = m_peers.begin(); item != m_peers.end();) {
            peer& other = item->second;
            const auto target =
                std::find_if(targets.begin(), targets.end(),
                             [&item](const report_target& value) { return value.address == item->first; });
            const bool changed = target == targets.end() || target->as_scheduler != other.as_scheduler;
            if (other.stream && (changed || !other.stream->is_open())) {
                ended.push_back(std::move(other.stream));
                other.stream = nullptr;
            }
            item = changed && !other.connecting ? m_peers.erase(item) : std::next(item);
        }
        for (const report_target& target : targets) {
            peer& other = m_peers.try_emplace(target.address).first->second;
            if (!other.stream && !other.connecting) {
                other.connecting = true;
                other.as_scheduler = target.as_scheduler;
                unconnected.push_back(target);
            }
        }
    }
    for (const auto& stream : ended) {
        // Ends the notes at a peer that takes them no more.
        stream->close(make_error(error_kind::unavailable, "the work is reported to another entry"));
    }
    return unconnected;
}

net::task<void> load_exchange::connect(report_target target, host_port address)
{
    auto opened = co_await m_pool->open_stream(std::move(address), connect_timeout);
    if (!opened) {
        m_targets.on_unreachable(target.address, opened.error().message);
    }
    wire::load_notesT hello;
    hello.incarnation = self();
    hello.whole = true;
    hello.failure_domain = m_options.failure_domain;
    hello.schedules = target.as_scheduler;
    const std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(target.address);
    if (found == m_peers.end()) {
        co_return;
    }
    found->second.connecting = false;
    if (!opened) {
        co_return;
    }
    for (wire::dispatch_noteT& note : m_fleet.own_notes()) {
        hello.notes.push_back(std::make_unique<wire::dispatch_noteT>(std::move(note)));
    }
    found->second.stream = opened.value();
    found->second.stream->send(net::make_frame(std::move(hello)));
    send_all_records(found->second.stream);
    net::asio::co_spawn(
        m_strand,
        [self = shared_from_this(), stream = found->second.stream] { return self->receive_records(stream); },
        net::asio::detached);
    event_log::write(event::dependencyT{{}, "entry " + target.address, "regained", ""});
}

void load_exchange::send_all_records(const std::shared_ptr<net::frame_stream>& stream)
{
    const time_point now = clock::now();
    stream->send(net::make_frame(to_message(m_fleet.crash_records(now), now)));
    const std::vector<endpoint_limit> limits = m_fleet.limits();
    if (!limits.empty()) {
        stream->send(net::make_frame(to_message(limits)));
    }
}

void load_exchange::apply_records(const net::received_frame& message)
{
    const time_point now = clock::now();
    if (const wire::crash_records* records = message.frame->message_as_crash_records()) {
        m_fleet.apply_crash_records(read_crash_records(*records, now), now);
    } else if (const wire::endpoint_limits* limits = message.frame->message_as_endpoint_limits()) {
        m_fleet.apply_limits(read_limits(*limits), now);
    }
}

net::task<void> load_exchange::receive_records(std::shared_ptr<net::frame_stream> stream)
{
    while (true) {
        const result<net::received_frame> next = co_await stream->receive();
        if (!next) {
            co_return;
        }
        apply_records(next.value());
    }
}

void load_exchange::send_crash_records(const std::vector<policy::crash_statement>& records)
{
    send_to_all(net::make_frame(to_message(records, clock::now())));
}

void load_exchange::send_limits(const std::vector<endpoint_limit>& limits)
{
    send_to_all(net::make_frame(to_message(limits)));
}

void load_exchange::send_to_all(const wire::frameT& frame)
{
    std::set<std::shared_ptr<net::frame_stream>> streams;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [name, other] : m_peers) {
            if (other.stream) {
                streams.insert(other.stream);
            }
        }
        for (const auto& [entry, known] : m_reporters) {
            streams.insert(known.streams.begin(), known.streams.end());
        }
    }
    for (const auto& stream : streams) {
        stream->send(frame);
    }
}

std::shared_ptr<net::connection> load_exchange::connection_to(const std::string& address) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(address);
    if (found == m_peers.end() || !found->second.stream) {
        return nullptr;
    }
    const std::shared_ptr<net::frame_stream>& stream = found->second.stream;
    return stream->is_open() ? stream->parent() : nullptr;
}

void load_exchange::drop(const std::string& address, const std::string& reason)
{
    std::shared_ptr<net::frame_stream> stream;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_peers.find(address);
        if (found != m_peers.end()) {
            stream = std::move(found->second.stream);
            found->second.stream = nullptr;
        }
    }
    if (stream) {
        stream->parent()->close(make_error(error_kind::unavailable, reason));
    }
    net::asio::post(m_strand, [self = shared_from_this()] { self->update_peers(); });
}

bool load_exchange::is_reporter(incarnation entry) const
{
    const std::lock_guard lock(m_mutex);
    return m_reporters.contains(entry);
}

bool load_exchange::has_reporters(const std::string& failure_domain) const
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_reporters.begin(), m_reporters.end(), [&failure_domain](const auto& item) {
        return item.second.failure_domain == failure_domain;
    });
}

bool load_exchange::has_scheduler_of(const std::string& failure_domain) const
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_reporters.begin(), m_reporters.end(), [&failure_domain](const auto& item) {
        return item.second.schedules && item.second.failure_domain == failure_domain;
    });
}

void load_exchange::add(wire::dispatch_noteT note)
{
    const std::lock_guard lock(m_mutex);
    if (m_peers.empty()) {
        return; // a peer that connects later gets all current work
    }
    m_queued.push_back(std::move(note));
    if (m_flushing) {
        return;
    }
    m_flushing = true;
    const bool as_scheduler = std::any_of(m_peers.begin(), m_peers.end(),
                                          [](const auto& item) { return item.second.as_scheduler; });
    net::asio::post(m_strand, [self = shared_from_this(), as_scheduler] {
        self->m_flush_timer.expires_after(as_scheduler ? scheduler_flush_delay : flush_delay);
        self->m_flush_timer.async_wait([self](const net::error_code&) { self->flush(); });
    });
}

void load_exchange::flush()
{
    std::vector<wire::dispatch_noteT> notes;
    std::vector<std::shared_ptr<net::frame_stream>> streams;
    {
        const std::lock_guard lock(m_mutex);
        notes.swap(m_queued);
        m_flushing = false;
        for (auto& [name, other] : m_peers) {
            if (other.stream && !other.stream->is_open()) {
                event_log::write(event::dependencyT{{}, "entry " + name, "lost", "connection closed"});
                other.stream = nullptr;
            }
            if (other.stream) {
                streams.push_back(other.stream);
            }
        }
    }
    for (std::size_t begin = 0; begin < notes.size() && !streams.empty(); begin += max_notes) {
        const std::size_t end = std::min(begin + max_notes, notes.size());
        wire::load_notesT message;
        message.incarnation = self();
        for (std::size_t i = begin; i < end; ++i) {
            message.notes.push_back(std::make_unique<wire::dispatch_noteT>(std::move(notes[i])));
        }
        const wire::frameT frame = net::make_frame(std::move(message));
        for (const auto& stream : streams) {
            stream->send(frame);
        }
    }
}

void load_exchange::apply(const wire::load_notes& notes)
{
    wire::load_notesT unpacked;
    notes.UnPackTo(&unpacked);
    m_fleet.apply_notes(unpacked, clock::now());
}

void load_exchange::on_stream(const std::shared_ptr<net::frame_stream>& stream, net::received_frame first)
{
    if (const wire::freshness_query* query = first.frame->message_as_freshness_query()) {
        node::reply_freshness(stream, *query, m_config);
        return;
    }
    if (const wire::backlog_query* query = first.frame->message_as_backlog_query()) {
        m_placements->on_backlog_query(stream, *query);
        return;
    }
    if (first.frame->message_as_placement_request() != nullptr) {
        answer_placement(stream, std::move(first));
        return;
    }
    net::asio::co_spawn(
        m_strand,
        [self = shared_from_this(), stream, message = std::move(first)]() mutable {
            return self->receive_notes(stream, std::move(message));
        },
        net::asio::detached);
}

// The work of an entry that does not report to this one could never be removed after the entry's end.
void load_exchange::answer_placement(const std::shared_ptr<net::frame_stream>& stream,
                                     net::received_frame message)
{
    if (!is_reporter(message.frame->message_as_placement_request()->entry())) {
        wire::placement_replyT reply;
        reply.state = wire::placement_state::unavailable;
        stream->send(net::make_frame(std::move(reply)));
        stream->close(make_error(error_kind::unavailable, "the entry does not report its work"));
        return;
    }
    net::asio::co_spawn(
        m_strand,
        [handler = m_placements, stream, ask = std::move(message)]() mutable {
            return handler->on_request(stream, std::move(ask));
        },
        net::asio::detached);
}

net::task<void> load_exchange::receive_notes(std::shared_ptr<net::frame_stream> stream,
                                             net::received_frame first)
{
    const net::stream_guard guard(stream);
    const wire::load_notes* notes = first.frame->message_as_load_notes();
    if (notes == nullptr) {
        co_return;
    }
    const incarnation entry = notes->incarnation();
    {
        const std::lock_guard lock(m_mutex);
        reporter& known = m_reporters[entry];
        known.failure_domain =
            notes->failure_domain() == nullptr ? std::string() : notes->failure_domain()->str();
        known.schedules = notes->schedules();
        known.streams.insert(stream);
    }
    apply(*notes);
    send_all_records(stream);
    while (true) {
        const result<net::received_frame> next = co_await stream->receive();
        if (!next) {
            break;
        }
        notes = next.value().frame->message_as_load_notes();
        if (notes != nullptr) {
            apply(*notes);
        } else {
            apply_records(next.value());
        }
    }
    bool last = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_reporters.find(entry);
        last = found != m_reporters.end() && found->second.streams.erase(stream) != 0 &&
               found->second.streams.empty();
        if (last) {
            m_reporters.erase(found);
        }
    }
    // A newer stream of the same entry has replaced its work already.
    if (!last) {
        co_return;
    }
    // Requests of an entry that has lost its connection go on at their endpoints, and it reports them again as soon as
    // it is connected. Without them the endpoints would look free, and be overrun, in the meantime.
    co_await net::sleep_for(reconnect_time);
    {
        const std::lock_guard lock(m_mutex);
        if (m_reporters.contains(entry)) {
            co_return;
        }
    }
    m_fleet.remove_entry(entry, clock::now());
}

} // namespace verbena::forward
