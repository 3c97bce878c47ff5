#pragma once

#include "entry/endpoint_choice.h"
#include "net/peer_pool.h"

#include <memory>
#include <optional>

namespace verbena::entry {

// Takes the answer of a request as it arrives.
class answer_sink {
public:
    answer_sink() = default;
    answer_sink(const answer_sink&) = delete;
    answer_sink& operator=(const answer_sink&) = delete;
    virtual ~answer_sink() = default;

    virtual void head(unsigned status, std::string content_type) = 0;

    // Takes the next bytes; returns when there is room for more. An error means that the caller is gone.
    virtual net::task<result<void>> data(std::string bytes) = 0;

    // True once a byte has reached the caller; the request cannot be sent elsewhere then.
    virtual bool started() const = 0;
};

// How an attempt ended. `not_run` is set only with the agent's proof, or when nothing was sent.
struct attempt_result {
    attempt_outcome outcome = attempt_outcome::unknown;
    wire::refusal refusal = wire::refusal::none;
    std::string message;
    milliseconds retry_after{0};
    // The first byte of the answer has arrived.
    bool answering = false;
    // The caller took no more bytes or left; the request ends here.
    bool caller_gone = false;
};

// Runs one attempt at one agent: sends the request, receives the answer, and resumes at the exact byte on a
// new connection when the old one breaks or goes silent.
class attempt_client {
public:
    struct options {
        incarnation self = 0;
        milliseconds connect_timeout{1'000};
    };

    attempt_client(std::shared_ptr<net::peer_pool> pool, options settings, endpoint_choice& choice,
                   const node::config_view& config, metrics& counters);

    // `dispatch_window` bounds when a request that may not be repeated may still be dispatched. `gone` is
    // polled to end the attempt when the caller has left.
    net::task<attempt_result> run(const caller_request& request, const chosen_endpoint& endpoint,
                                  std::uint32_t attempt, milliseconds dispatch_window, answer_sink& sink,
                                  std::shared_ptr<class caller_watch> watch);

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
    endpoint_choice& m_choice;
    const node::config_view& m_config;
    metrics& m_metrics;
};

// Knows whether the caller has left or its deadline has passed, and closes the stream of the running attempt
// then.
class caller_watch {
public:
    // The stream that is to be closed when the caller leaves; cancels the attempt at the agent first.
    void follow(const std::shared_ptr<net::frame_stream>& stream, const attempt_id& id);
    void leave();
    bool left() const;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<net::frame_stream> m_stream;
    attempt_id m_id;
    bool m_left = false;
};

// Tells the agent that the attempt is over for this entry: cancels it while it is open, acknowledges it when
// it has ended.
void send_cancel(const std::shared_ptr<net::frame_stream>& stream, const attempt_id& id);

} // namespace verbena::entry
