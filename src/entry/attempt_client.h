#pragma once

#include "entry/endpoint_selector.h"
#include "net/peer_pool.h"

#include <memory>
#include <optional>

namespace verbena::entry {

// Receives the response of a request as it arrives.
class answer_sink {
public:
    answer_sink() = default;
    answer_sink(const answer_sink&) = delete;
    answer_sink& operator=(const answer_sink&) = delete;
    virtual ~answer_sink() = default;

    virtual void head(unsigned status, std::string content_type) = 0;

    // Takes the next bytes of the body; returns when there is room for more. An error means that the caller
    // can no longer receive the response.
    virtual net::task<result<void>> data(std::string bytes) = 0;

    // True once data has been sent to the caller; the request can no longer be retried then.
    virtual bool started() const = 0;
};

// Result of an attempt. The outcome is `not_run` only when the agent has proved it or nothing was sent.
struct attempt_result {
    attempt_outcome outcome = attempt_outcome::unknown;
    wire::refusal refusal = wire::refusal::none;
    std::string message;
    milliseconds retry_after{0};
    // The first byte of the response has arrived.
    bool answering = false;
    // The caller has disconnected or stopped reading, or its deadline has passed.
    bool caller_gone = false;
};

// Runs one attempt at one agent: sends the request, receives the response, and after a connection failure or
// time-out resumes on a new connection at the next byte.
class attempt_client {
public:
    struct options {
        incarnation self = 0;
        milliseconds connect_timeout{1'000};
    };

    attempt_client(std::shared_ptr<net::peer_pool> pool, options client_options, endpoint_selector& selector,
                   const node::config_view& config, metrics& counters);

    // `dispatch_window` limits how long after its arrival at the agent an unrepeatable request may still be
    // dispatched. `cancellation` ends the attempt when the caller has disconnected or its deadline has
    // passed.
    net::task<attempt_result> run(const caller_request& request, const chosen_endpoint& endpoint,
                                  std::uint32_t attempt, milliseconds dispatch_window, answer_sink& sink,
                                  std::shared_ptr<class request_cancellation> cancellation);

private:
    struct progress {
        bool submitted = false;
        bool admitted = false;
        incarnation agent = 0;
        std::uint64_t received = 0;
        std::uint64_t hash_state = 0;
    };

    class receiver;

    net::task<result<void>> send_request(const caller_request& request, const chosen_endpoint& endpoint,
                                         std::uint32_t attempt, milliseconds dispatch_window,
                                         std::shared_ptr<net::frame_stream> stream);
    wire::submitT make_submit(const caller_request& request, const chosen_endpoint& endpoint,
                              std::uint32_t attempt, milliseconds dispatch_window) const;
    net::task<std::shared_ptr<net::frame_stream>> resume(const caller_request& request,
                                                         const chosen_endpoint& endpoint,
                                                         std::uint32_t attempt, incarnation agent,
                                                         std::uint64_t offset);

    std::shared_ptr<net::peer_pool> m_pool;
    options m_options;
    endpoint_selector& m_selector;
    const node::config_view& m_config;
    metrics& m_metrics;
};

// Cancels a request whose caller has disconnected or whose deadline has passed: closes the stream of the
// running attempt. Thread-safe.
class request_cancellation {
public:
    // Sets the stream of the running attempt. cancel() sends a cancel message on it, then closes it. When the
    // request has already been cancelled, this happens at once.
    void attach(const std::shared_ptr<net::frame_stream>& stream, const attempt_id& id);
    void cancel();
    bool cancelled() const;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<net::frame_stream> m_stream;
    attempt_id m_id;
    bool m_cancelled = false;
};

// Tells the agent that this entry is done with the attempt: cancels an open attempt, acknowledges an ended
// one.
void send_cancel(const std::shared_ptr<net::frame_stream>& stream, const attempt_id& id);

} // namespace verbena::entry
