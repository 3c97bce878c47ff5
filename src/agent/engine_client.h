#pragma once

#include "net/http_client.h"

#include <memory>
#include <string>
#include <vector>

namespace verbena::agent {

struct engine_request {
    std::string id;
    std::uint32_t priority = 0; // 0 is the highest
    std::string method = "POST";
    std::string target;
    std::string key; // idempotency key of the caller, forwarded to the service
    std::string body;
};

struct engine_status {
    incarnation engine = 0;
    bool cold = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t used_tokens = 0;
    std::uint64_t capacity_tokens = 0;
};

// Request that the engine holds, from any sender.
struct held_request {
    std::string id;
    std::uint64_t tokens = 0;
};

// Client of the agent's endpoint.
class engine_client {
public:
    engine_client() = default;
    engine_client(const engine_client&) = delete;
    engine_client& operator=(const engine_client&) = delete;
    virtual ~engine_client() = default;

    // Sends a request and waits for the head of the response. Sets `sent` once the request may have reached
    // the endpoint.
    virtual net::task<result<std::unique_ptr<net::http_stream>>>
    start(engine_request request, milliseconds time_left, std::shared_ptr<bool> sent) = 0;

    // Resumes the stream of a request at a token index on a new connection. Fails with `not_found` when the
    // engine no longer holds the request, and with `timeout` when the head of its response does not arrive
    // within `head_timeout`.
    virtual net::task<result<std::unique_ptr<net::http_stream>>>
    resume(std::string id, std::uint32_t from_token, milliseconds head_timeout) = 0;

    // Ends a request and frees its memory. Also succeeds when the engine does not hold the request.
    virtual net::task<result<void>> cancel(std::string id) = 0;

    virtual net::task<result<engine_status>> status() = 0;

    // All requests that the engine holds.
    virtual net::task<result<std::vector<held_request>>> held() = 0;

    // Sends an order with its fencing number. Fails with `conflict` when the engine has seen a higher number.
    virtual net::task<result<void>> order(std::uint64_t fencing, std::string action, std::string name) = 0;
};

// Client of a model engine that has the chat-completions API with extensions for cancel, resume, status and
// orders.
std::unique_ptr<engine_client> make_model_engine(host_port address);

// Client of a plain HTTP service, which has no status, resume, cancel or orders.
std::unique_ptr<engine_client> make_plain_service(host_port address);

} // namespace verbena::agent
