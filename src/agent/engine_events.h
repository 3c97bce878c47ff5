#pragma once

#include "agent/engine_client.h"
#include "agent/sse.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace verbena::agent {

// Receives the events of one request.
class engine_event_sink {
public:
    engine_event_sink() = default;
    engine_event_sink(const engine_event_sink&) = delete;
    engine_event_sink& operator=(const engine_event_sink&) = delete;
    virtual ~engine_event_sink() = default;

    // Takes the next complete events, each of them once and in order.
    virtual void on_events(const std::string& events) = 0;

    // Called before a connection is opened to resume the request.
    virtual void on_resume() = 0;

    // False when nobody waits for the events any more; the request is not resumed then.
    virtual bool is_wanted() const = 0;
};

// Reads the events of one request from a model engine until the text is complete, the last connection breaks
// and the engine no longer holds the request, its connections break too often, or the deadline passes. An
// engine that is silent is asked on a second connection whether it holds the request; the first connection is
// kept until the second one has given an event. All calls run on the executor of read().
class engine_event_reader : public std::enable_shared_from_this<engine_event_reader> {
public:
    struct options {
        std::string id;
        time_point deadline;
        // Time without a byte after which the engine is asked. Applies after the first event, because the
        // prefill of a long prompt may exceed it.
        milliseconds silence{};
    };

    engine_event_reader(std::shared_ptr<engine_client> engine, options reader_options,
                        engine_event_sink& sink);

    // Returns the number of events of the complete answer. `sink` is not used after the return.
    net::task<result<std::uint32_t>> read(std::unique_ptr<net::http_stream> first);

private:
    // One connection that gives events from an index on.
    struct source {
        std::unique_ptr<net::http_stream> stream; // null until the engine has answered the resume
        std::uint32_t begin = 0;
        bool resumed = false;
        bool closed = false;
        sse_splitter splitter;
    };

    net::task<void> run_source(std::shared_ptr<source> value, milliseconds head_timeout);
    // Returns false when the source has ended.
    bool take(source& value, const std::string& bytes);
    void open_source(milliseconds head_timeout);
    void on_not_opened(const std::shared_ptr<source>& value, const error& reason);
    void on_ended(const std::shared_ptr<source>& value, const error& reason);
    void on_silence();
    void close(source& value);
    void close_others(const source& kept);
    void remove(const std::shared_ptr<source>& value);
    void end(result<std::uint32_t> outcome);
    milliseconds time_left() const;
    time_point next_check() const;

    std::shared_ptr<engine_client> m_engine;
    const options m_options;
    engine_event_sink& m_sink;
    std::optional<net::asio::any_io_executor> m_executor;
    std::unique_ptr<net::steady_timer> m_wakeup;
    // The connection that stands longest is the first.
    std::vector<std::shared_ptr<source>> m_sources;
    std::uint32_t m_events = 0;
    bool m_finished = false;
    // The engine does not hold the request, as of the last event; it is not asked again before the next one.
    bool m_not_held = false;
    int m_breaks = 0;
    // Time of the last byte or of the last look at a silent engine.
    time_point m_last_activity;
    std::optional<result<std::uint32_t>> m_outcome;
};

} // namespace verbena::agent
