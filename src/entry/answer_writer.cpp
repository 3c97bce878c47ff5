#include "entry/answer_writer.h"

#include <algorithm>

namespace verbena::entry {

namespace {

constexpr std::string_view done_event = "data: [DONE]\n\n";
constexpr std::string_view event_stream = "text/event-stream";
constexpr std::string_view event_end = "\n\n";

} // namespace

stream_writer::stream_writer(net::http_exchange& exchange, time_point arrived,
                             std::function<void(clock::duration)> first_byte)
    : m_exchange(exchange), m_arrived(arrived), m_first_byte(std::move(first_byte))
{
}

void stream_writer::head(unsigned status, std::string content_type)
{
    m_status = status;
    m_content_type = std::move(content_type);
}

net::task<result<void>> stream_writer::start()
{
    m_first_byte(clock::now() - m_arrived);
    net::http_header_list headers;
    headers.emplace_back("Cache-Control", "no-store");
    co_return co_await m_exchange.start_stream(m_status, m_content_type, std::move(headers));
}

net::task<result<void>> stream_writer::data(std::string bytes)
{
    if (!m_exchange.started()) {
        const result<void> started = co_await start();
        if (!started) {
            co_return started;
        }
    }
    m_tail.append(bytes, bytes.size() - std::min(bytes.size(), event_end.size()));
    m_tail.erase(0, m_tail.size() - std::min(m_tail.size(), event_end.size()));
    co_return co_await m_exchange.write(bytes);
}

net::task<result<void>> stream_writer::finish()
{
    if (!m_exchange.started()) {
        const result<void> started = co_await start();
        if (!started) {
            co_return started;
        }
    }
    if (m_content_type.starts_with(event_stream)) {
        const result<void> written = co_await m_exchange.write(done_event);
        if (!written) {
            co_return written;
        }
    }
    co_return co_await m_exchange.finish();
}

net::task<void> stream_writer::fail(const caller_error& failure)
{
    if (!m_content_type.starts_with(event_stream) || m_tail != event_end) {
        co_return;
    }
    const std::string event = to_event(failure);
    (void)co_await m_exchange.write(event);
}

void buffered_answer::head(unsigned status, std::string content_type)
{
    m_status = status;
    m_content_type = std::move(content_type);
}

net::task<result<void>> buffered_answer::data(std::string bytes)
{
    if (m_body.size() + bytes.size() > m_limit) {
        co_return make_error(error_kind::too_large, "response too large to be buffered",
                             "send the request with stream: true");
    }
    m_body += bytes;
    co_return success();
}

void buffered_answer::reset()
{
    m_body.clear();
    m_status = 200;
}

net::http_response buffered_answer::to_response() const
{
    return net::http_response{m_status, m_content_type, m_body, {}};
}

} // namespace verbena::entry
