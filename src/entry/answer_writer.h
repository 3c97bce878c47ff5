#pragma once

#include "entry/attempt_client.h"

namespace verbena::entry {

// Writes a streamed response to the caller as it arrives. The HTTP response starts with the first byte of the
// body, so that an attempt that fails before it can be retried. [DONE] and the last chunk are sent only after
// the length and checksum of the response have been verified.
class stream_writer : public answer_sink {
public:
    stream_writer(net::http_exchange& exchange, time_point arrived,
                  std::function<void(clock::duration)> first_byte);

    void head(unsigned status, std::string content_type) override;
    net::task<result<void>> data(std::string bytes) override;
    bool started() const override { return m_exchange.started(); }

    // Ends a complete response.
    net::task<result<void>> finish();

    // Reports an interrupted response to the caller with an event, if the response consists of events and
    // ends with a whole one; the connection is then closed without the last chunk.
    net::task<void> fail(const caller_error& failure);

private:
    net::task<result<void>> start();

    net::http_exchange& m_exchange;
    time_point m_arrived;
    std::function<void(clock::duration)> m_first_byte;
    unsigned m_status = 200;
    std::string m_content_type;
    // The last bytes sent; shows whether they end an event.
    std::string m_tail;
};

// Buffers a response that is not streamed; it is sent after it has been verified. `limit` is in bytes.
class buffered_answer : public answer_sink {
public:
    explicit buffered_answer(std::size_t limit) : m_limit(limit) {}

    void head(unsigned status, std::string content_type) override;
    net::task<result<void>> data(std::string bytes) override;
    bool started() const override { return false; }

    // Discards the data of a failed attempt.
    void reset();

    unsigned status() const { return m_status; }
    const std::string& content_type() const { return m_content_type; }
    const std::string& body() const { return m_body; }
    net::http_response to_response() const;

private:
    std::size_t m_limit;
    unsigned m_status = 200;
    std::string m_content_type;
    std::string m_body;
};

} // namespace verbena::entry
