#pragma once

#include "net/http_client.h"

#include <memory>
#include <string>
#include <vector>

namespace verbena::agent {

struct engine_request {
    std::string id;
    std::uint32_t priority = 0; // 0 goes first
    std::string method = "POST";
    std::string target;
    std::string key; // idempotency key of the caller, passed on for the service's own records
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

// A request that the engine holds, whoever sent it.
struct held_request {
    std::string id;
    std::uint64_t tokens = 0;
};

// What the agent asks of the endpoint beside it.
class engine_client {
public:
    engine_client() = default;
    engine_client(const engine_client&) = delete;
    engine_client& operator=(const engine_client&) = delete;
    virtual ~engine_client() = default;

    // Sends a request and waits for the head of the answer. `sent` is set once the request may have reached
    // the endpoint.
    virtual net::task<result<std::unique_ptr<net::http_stream>>>
    start(engine_request request, milliseconds time_left, std::shared_ptr<bool> sent) = 0;

    // Continues a stream at a token index on a new connection.
    virtual net::task<result<std::unique_ptr<net::http_stream>>> resume(std::string id,
                                                                        std::uint32_t from) = 0;

    // Ends a request and frees its memory. Success also when the engine does not hold it.
    virtual net::task<result<void>> cancel(std::string id) = 0;

    virtual net::task<result<engine_status>> status() = 0;
    virtual net::task<result<std::vector<held_request>>> held() = 0;

    // Sends an order with its fencing number.
    virtual net::task<result<void>> order(std::uint64_t fencing, std::string action, std::string name) = 0;
};

// A model engine with the chat-completions interface and its extensions for cancel, resume, status and
// orders.
std::unique_ptr<engine_client> make_model_engine(host_port address);

// A plain HTTP service: no status, nothing to resume or cancel.
std::unique_ptr<engine_client> make_plain_service(host_port address);

} // namespace verbena::agent
