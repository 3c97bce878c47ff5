#include "agent/engine_events.h"

#include <algorithm>

namespace verbena::agent {

namespace {

// Limit of connections that break without another one left; the request fails after them.
constexpr int max_breaks = 3;

// Time in which the engine answers whether it holds a request, while another connection of the request
// stands.
constexpr milliseconds look_timeout{2'000};

// The text without its first events.
std::string skip_events(const std::string& events, std::uint32_t count)
{
    constexpr std::string_view separator = "\n\n";
    std::size_t begin = 0;
    for (std::uint32_t i = 0; i < count; ++i) {
        begin = events.find(separator, begin) + separator.size();
    }
    return events.substr(begin);
}

} // namespace

engine_event_reader::engine_event_reader(std::shared_ptr<engine_client> engine, options reader_options,
                                         engine_event_sink& sink)
    : m_engine(std::move(engine)), m_options(std::move(reader_options)), m_sink(sink)
{
}

milliseconds engine_event_reader::time_left() const
{
    return std::max(std::chrono::duration_cast<milliseconds>(m_options.deadline - clock::now()),
                    milliseconds(1));
}

time_point engine_event_reader::next_check() const
{
    return m_events == 0 ? m_options.deadline
                         : std::min(m_options.deadline, m_last_activity + m_options.silence);
}

void engine_event_reader::end(result<std::uint32_t> outcome)
{
    if (!m_outcome) {
        m_outcome = std::move(outcome);
    }
}

void engine_event_reader::close(source& value)
{
    value.closed = true;
    if (value.stream) {
        value.stream->close();
    }
}

void engine_event_reader::close_others(const source& kept)
{
    std::erase_if(m_sources, [&](const std::shared_ptr<source>& other) {
        if (other.get() == &kept) {
            return false;
        }
        close(*other);
        return true;
    });
}

void engine_event_reader::remove(const std::shared_ptr<source>& value)
{
    close(*value);
    std::erase(m_sources, value);
}

void engine_event_reader::open_source(milliseconds head_timeout)
{
    auto value = std::make_shared<source>();
    value->begin = m_events;
    value->resumed = true;
    m_sources.push_back(value);
    m_sink.on_resume();
    net::asio::co_spawn(
        *m_executor,
        [self = shared_from_this(), value, head_timeout] { return self->run_source(value, head_timeout); },
        net::asio::detached);
}

net::task<void> engine_event_reader::run_source(std::shared_ptr<source> value, milliseconds head_timeout)
{
    if (!value->stream) {
        auto opened = co_await m_engine->resume(m_options.id, value->begin, head_timeout);
        if (value->closed) {
            co_return;
        }
        if (!opened) {
            on_not_opened(value, opened.error());
            co_return;
        }
        value->stream = std::move(opened.value());
    }
    while (!value->closed) {
        const result<std::string> chunk = co_await value->stream->read_some(time_left());
        if (value->closed) {
            co_return;
        }
        if (!chunk) {
            on_ended(value, chunk.error());
        } else if (chunk.value().empty() || !take(*value, chunk.value())) {
            on_ended(value, make_error(error_kind::io,
                                       "the engine closed the stream before the end of the response"));
        }
        m_wakeup->cancel();
    }
}

bool engine_event_reader::take(source& value, const std::string& bytes)
{
    m_last_activity = clock::now();
    const std::uint32_t first = value.begin + value.splitter.events();
    const std::string events = value.splitter.feed(bytes);
    const std::uint32_t last = value.begin + value.splitter.events();
    m_finished = m_finished || value.splitter.finished();
    if (last > m_events) {
        const std::uint32_t known = m_events - first;
        m_events = last;
        m_not_held = false;
        // The engine goes on with this connection, so the others are no longer needed.
        close_others(value);
        m_sink.on_events(skip_events(events, known));
    }
    if (!value.splitter.done()) {
        return true;
    }
    // A resume that is answered without an event does not show that the text is complete.
    const bool whole = m_finished || !value.resumed || value.splitter.events() != 0;
    if (last != m_events || !whole) {
        return false;
    }
    end(m_events);
    return true;
}

void engine_event_reader::on_not_opened(const std::shared_ptr<source>& value, const error& reason)
{
    remove(value);
    if (!m_sources.empty()) {
        // An engine that no longer holds the request may already have written the rest of its events to the
        // connection that stands.
        m_not_held = m_not_held || reason.kind == error_kind::not_found;
    } else if (reason.kind == error_kind::timeout && m_events != 0) {
        // The connection that stood when this one was opened has broken; the engine may still hold the
        // request.
        open_source(time_left());
    } else {
        end(reason);
    }
    m_wakeup->cancel();
}

void engine_event_reader::on_ended(const std::shared_ptr<source>& value, const error& reason)
{
    const bool at_end = value->begin + value->splitter.events() == m_events;
    remove(value);
    if (m_finished && at_end) {
        end(m_events);
    } else if (m_sources.empty()) {
        if (++m_breaks > max_breaks || !m_sink.is_wanted() || clock::now() >= m_options.deadline) {
            end(reason);
        } else {
            // Before the first event another endpoint may still be asked; later only this one can go on.
            open_source(m_events == 0 ? std::min(look_timeout, time_left()) : time_left());
        }
    }
}

void engine_event_reader::on_silence()
{
    m_last_activity = clock::now();
    if (m_finished) {
        end(m_events);
        return;
    }
    if (!m_sink.is_wanted()) {
        end(make_error(error_kind::unavailable, "the response is no longer wanted"));
        return;
    }
    const std::shared_ptr<source> newest = m_sources.back();
    if (m_not_held || !newest->stream) {
        return;
    }
    // An earlier second connection is silent too: only a new one shows whether the engine holds the request.
    if (m_sources.size() > 1) {
        remove(newest);
    }
    open_source(std::min(look_timeout, time_left()));
}

net::task<result<std::uint32_t>> engine_event_reader::read(std::unique_ptr<net::http_stream> first)
{
    m_executor = co_await net::asio::this_coro::executor;
    m_wakeup = std::make_unique<net::steady_timer>(*m_executor);
    m_last_activity = clock::now();
    auto value = std::make_shared<source>();
    value->stream = std::move(first);
    m_sources.push_back(value);
    net::asio::co_spawn(
        *m_executor, [self = shared_from_this(), value] { return self->run_source(value, milliseconds(0)); },
        net::asio::detached);
    while (!m_outcome) {
        m_wakeup->expires_at(next_check());
        co_await m_wakeup->async_wait(net::no_throw);
        const time_point now = clock::now();
        if (!m_outcome && now >= m_options.deadline) {
            end(make_error(error_kind::timeout, "deadline exceeded before the end of the response"));
        } else if (!m_outcome && now >= next_check()) {
            on_silence();
        }
    }
    for (const auto& open : m_sources) {
        close(*open);
    }
    m_sources.clear();
    co_return *m_outcome;
}

} // namespace verbena::agent
