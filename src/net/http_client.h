#pragma once

#include "base/settings.h"
#include "net/asio.h"
#include "net/http_server.h"

#include <memory>
#include <string>

namespace verbena::net {

struct http_call {
    std::string method = "POST";
    std::string target = "/";
    http_header_list headers;
    std::string body;
};

// One outgoing request whose response body is read incrementally. Used by one coroutine at a time.
class http_stream {
public:
    http_stream() = default;
    http_stream(const http_stream&) = delete;
    http_stream& operator=(const http_stream&) = delete;
    virtual ~http_stream() = default;

    virtual unsigned status() const = 0;
    virtual std::string content_type() const = 0;
    virtual std::string header(const std::string& name) const = 0;
    virtual http_header_list headers() const = 0;

    // Returns the next bytes of the body; an empty string means that the body is complete. A connection that
    // ends before the last chunk is an error, and so is a gap of more than `inactivity_timeout` without bytes
    // of the body.
    virtual task<result<std::string>> read_some(milliseconds inactivity_timeout) = 0;

    // Closes the connection; a pending read fails.
    virtual void close() = 0;
};

// Connects, sends the request and reads the response head. The error is `unavailable` if the address refuses
// connections. `connect_timeout` bounds connection establishment;
// `head_timeout` bounds sending the request and, separately, reading the head. `sent` is set once bytes of
// the request may have reached the peer: before that, a failure proves that the peer has not seen the
// request.
task<result<std::unique_ptr<http_stream>>> open_http(host_port address, http_call call,
                                                     milliseconds connect_timeout, milliseconds head_timeout,
                                                     std::shared_ptr<bool> sent = nullptr);

// Sends a request and reads the complete response within `timeout`. Fails when its body exceeds `max_body`
// bytes.
task<result<http_response>> fetch_http(host_port address, http_call call, milliseconds timeout,
                                       std::size_t max_body = 8 * 1024 * 1024);

} // namespace verbena::net
