#include "forward/load_exchange.h"

#include "base/event_log.h"
#include "node/freshness.h"

namespace verbena::forward {

namespace {

// Notes are batched for this long, so that one frame carries several. The delay is small against the tens of
// milliseconds that an endpoint needs for the shortest prompt.
constexpr milliseconds flush_delay{3};

constexpr milliseconds connect_interval{250};
constexpr milliseconds connect_timeout{500};

// Maximum number of notes in one frame; a frame holds 256 KiB.
constexpr std::size_t max_notes = 1'000;

std::string address_text(const host_port& address)
{
    return address.host + ":" + std::to_string(address.port);
}

wire::frameT to_frame(incarnation self, bool whole, const std::vector<wire::dispatch_noteT>& notes)
{
    wire::load_notesT message;
    message.incarnation = self;
    message.whole = whole;
    for (std::size_t i = 0; i < std::min(notes.size(), max_notes); ++i) {
        message.notes.push_back(std::make_unique<wire::dispatch_noteT>(notes[i]));
    }
    return net::make_frame(std::move(message));
}

} // namespace

result<std::shared_ptr<load_exchange>> load_exchange::create(net::asio::io_context& io, options settings,
                                                             fleet& endpoints, node::config_view& config,
                                                             peer_list peers)
{
    auto exchange =
        std::make_shared<load_exchange>(io, std::move(settings), endpoints, config, std::move(peers));
    BOOST_OUTCOME_TRY(exchange->m_server,
                      net::frame_server::create(io, exchange->m_options.listen,
                                                exchange->m_options.connections, *exchange));
    return exchange;
}

load_exchange::load_exchange(net::asio::io_context& io, options settings, fleet& endpoints,
                             node::config_view& config, peer_list peers)
    : m_strand(net::asio::make_strand(io)), m_options(std::move(settings)), m_fleet(endpoints),
      m_config(config), m_peer_list(std::move(peers)),
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
    const std::vector<std::string> listed = m_peer_list();
    const std::string own = address_text(m_options.listen);
    const std::lock_guard lock(m_mutex);
    for (const std::string& name : listed) {
        if (name != own) {
            m_peers.try_emplace(name);
        }
    }
    for (auto item = m_peers.begin(); item != m_peers.end();) {
        peer& other = item->second;
        if (other.stream && !other.stream->parent()->is_open()) {
            other.stream = nullptr;
        }
        const bool wanted = std::find(listed.begin(), listed.end(), item->first) != listed.end();
        if (!wanted && !other.stream && !other.connecting) {
            item = m_peers.erase(item);
            continue;
        }
        const result<host_port> address = parse_host_port(item->first);
        if (wanted && !other.stream && !other.connecting && address) {
            other.connecting = true;
            net::asio::co_spawn(
                m_strand,
                [self = shared_from_this(), name = item->first, target = address.value()] {
                    return self->connect(name, target);
                },
                net::asio::detached);
        }
        ++item;
    }
}

net::task<void> load_exchange::connect(std::string name, host_port address)
{
    auto opened = co_await m_pool->open_stream(std::move(address), connect_timeout);
    const std::vector<wire::dispatch_noteT> notes = m_fleet.own_notes();
    const std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(name);
    if (found == m_peers.end()) {
        co_return;
    }
    found->second.connecting = false;
    if (opened) {
        found->second.stream = opened.value();
        found->second.stream->send(to_frame(m_options.connections.self.incarnation, true, notes));
        event_log::write(event::dependencyT{{}, "entry " + name, "regained", ""});
    }
}

void load_exchange::add(wire::dispatch_noteT note)
{
    const std::lock_guard lock(m_mutex);
    m_queued.push_back(std::move(note));
    if (m_flushing) {
        return;
    }
    m_flushing = true;
    m_flush_timer.expires_after(flush_delay);
    m_flush_timer.async_wait([self = shared_from_this()](const net::error_code&) { self->flush(); });
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
            if (other.stream && !other.stream->parent()->is_open()) {
                event_log::write(event::dependencyT{{}, "entry " + name, "lost", "connection closed"});
                other.stream = nullptr;
            }
            if (other.stream) {
                streams.push_back(other.stream);
            }
        }
    }
    const wire::frameT frame = to_frame(m_options.connections.self.incarnation, false, notes);
    for (const auto& stream : streams) {
        stream->send(frame);
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
    net::asio::co_spawn(
        m_strand,
        [self = shared_from_this(), stream, message = std::move(first)]() mutable {
            return self->receive_notes(stream, std::move(message));
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
    apply(*notes);
    while (true) {
        const result<net::received_frame> next = co_await stream->receive();
        if (!next) {
            break;
        }
        notes = next.value().frame->message_as_load_notes();
        if (notes != nullptr) {
            apply(*notes);
        }
    }
    m_fleet.remove_entry(entry, clock::now());
}

} // namespace verbena::forward
