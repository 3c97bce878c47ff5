#pragma once

#include "forward/protocol_adapter.h"
#include "net/answer_head.h"
#include "net/answer_limits.h"

#include <functional>
#include <memory>
#include <string>

namespace verbena::forward {

// One request to an endpoint on a connection of its own, so that left-over, late or misassigned bytes of
// another request cannot reach it. Used by one coroutine; close() may be called concurrently on the same
// strand.
class endpoint_call : public std::enable_shared_from_this<endpoint_call> {
public:
    explicit endpoint_call(const net::asio::any_io_executor& executor);

    // Until this succeeds, no part of the request has been sent to the endpoint. The error is `unavailable`
    // if the address refuses connections: no process listens there.
    net::task<result<void>> connect(host_port address, milliseconds timeout);

    // Writes the request in the background, because an endpoint may answer before it has read the whole body.
    void send(std::string head, std::string body);

    // Called when a deadline expires. Returns a later one; a time in the past extends nothing.
    using deadline_extension = std::function<time_point()>;

    net::task<result<answer_metadata>> read_head(const protocol_adapter& protocol, time_point deadline,
                                                 deadline_extension extend = nullptr);

    // The next bytes of the body; empty when it is complete. An answer without a length is complete when the
    // endpoint has ended its side of the connection and has taken the whole request. A reset before that is
    // an error, whichever operation the kernel reports it to: an endpoint that has closed the connection
    // while the request was being written has broken its answer off.
    net::task<result<std::string>> read_some(time_point deadline, deadline_extension extend = nullptr);

    // Whether bytes of an answer have arrived.
    bool has_begun() const { return (m_parser && m_parser->is_header_done()) || m_buffer.size() != 0; }

    // Whether the answer has neither a length nor chunks, so that only the end of the connection ends it.
    bool ends_with_connection() const { return m_parser && m_parser->need_eof(); }

    // Closes the connection; pending operations fail.
    void close();

private:
    static net::task<void> write(std::shared_ptr<endpoint_call> self, std::string head, std::string body);

    // Waits until the endpoint's machine has acknowledged the whole request.
    net::task<result<void>> finish_request(time_point deadline, deadline_extension extend);

    void disarm();
    // `unread_waits`: how often the deadline was put off for data that had arrived.
    void arm(time_point deadline, deadline_extension extend = nullptr, int unread_waits = 0);

    net::tcp::socket m_socket;
    net::steady_timer m_timer;
    bool m_writing = false;
    net::error_code m_write_failure;
    bool m_expired = false;
    // Number of the current operation; identifies a timer handler that was already queued when it was
    // cancelled.
    std::uint64_t m_operation = 0;
    boost::beast::flat_buffer m_buffer{net::max_unparsed_bytes};
    std::optional<net::answer_parser> m_parser; // set while a head is read, and after it
};

} // namespace verbena::forward
