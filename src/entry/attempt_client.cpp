#include "entry/attempt_client.h"

#include <xxhash.h>

namespace verbena::entry {

namespace {

// Limit of resume attempts after a connection failure; the outcome of the attempt is unknown after them.
constexpr int max_resume_attempts = 3;
constexpr milliseconds resume_backoff{100};

// Bytes after which received messages are no longer merged into one write to the caller.
constexpr std::size_t write_batch_bytes = 32 * 1024;

std::unique_ptr<wire::request_id> to_wire(const request_id& id)
{
    return std::make_unique<wire::request_id>(id.high, id.low);
}

bool matches(const wire::request_id* id, std::uint32_t number, const attempt_id& expected)
{
    return id != nullptr && request_id{id->high(), id->low()} == expected.request &&
           number == expected.number;
}

} // namespace

void send_cancel(const std::shared_ptr<net::frame_stream>& stream, const attempt_id& id)
{
    wire::cancelT cancel;
    cancel.id = to_wire(id.request);
    cancel.attempt = id.number;
    stream->send(net::make_frame(std::move(cancel)));
}

void request_cancellation::attach(const std::shared_ptr<net::frame_stream>& stream, const attempt_id& id)
{
    {
        const std::lock_guard lock(m_mutex);
        m_stream = stream;
        m_id = id;
        if (!m_cancelled) {
            return;
        }
    }
    cancel();
}

void request_cancellation::cancel()
{
    std::shared_ptr<net::frame_stream> stream;
    {
        const std::lock_guard lock(m_mutex);
        m_cancelled = true;
        stream = std::exchange(m_stream, nullptr);
    }
    if (stream) {
        send_cancel(stream, m_id);
        stream->close(make_error(error_kind::timeout, "caller disconnected or deadline exceeded"));
    }
}

bool request_cancellation::cancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled;
}

// Receives the messages of one attempt and forwards the response to the sink. Keeps its state across
// connections, so that a resumed stream continues here.
class attempt_client::receiver {
public:
    receiver(attempt_id id, const caller_request& request, answer_sink& sink, endpoint_selector& selector,
             const std::string& endpoint, metrics& counters)
        : m_id(id), m_request(request), m_sink(sink), m_selector(selector), m_endpoint(endpoint),
          m_metrics(counters)
    {
        XXH3_64bits_reset(m_hash.get());
    }

    // Reads until the attempt has ended or the stream has failed; empty for a failed stream.
    net::task<std::optional<attempt_result>> read(std::shared_ptr<net::frame_stream> stream)
    {
        while (true) {
            result<net::received_frame> message = co_await stream->receive();
            if (!message) {
                co_return std::nullopt;
            }
            std::string bytes;
            std::optional<attempt_result> end;
            std::optional<net::received_frame> next(std::move(message.value()));
            while (next && !end && bytes.size() < write_batch_bytes) {
                end = handle(*next->frame, bytes, stream);
                if (!end) {
                    next = bytes.size() < write_batch_bytes ? stream->try_receive() : std::nullopt;
                }
            }
            if (!bytes.empty()) {
                const result<void> written = co_await m_sink.data(std::move(bytes));
                if (!written) {
                    attempt_result disconnected;
                    disconnected.caller_gone = true;
                    disconnected.message = written.error().message;
                    co_return disconnected;
                }
            }
            if (end) {
                co_return end;
            }
        }
    }

    std::uint64_t received() const { return m_received; }
    bool admitted() const { return m_admitted; }
    incarnation agent() const { return m_agent; }

private:
    struct hash_deleter {
        void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
    };

    std::optional<attempt_result> handle(const wire::frame& frame, std::string& bytes,
                                         const std::shared_ptr<net::frame_stream>& stream)
    {
        switch (frame.message_type()) {
        case wire::body::admitted:
            return handle_admitted(*frame.message_as_admitted());
        case wire::body::refused:
            return handle_refused(*frame.message_as_refused(), *stream);
        case wire::body::answer_head:
            return handle_head(*frame.message_as_answer_head());
        case wire::body::answer_data:
            return handle_data(*frame.message_as_answer_data(), bytes, stream);
        case wire::body::answer_end:
            return handle_end(*frame.message_as_answer_end());
        case wire::body::failed:
            return handle_failed(*frame.message_as_failed(), *stream);
        default:
            count_dropped("unexpected_message");
            return std::nullopt;
        }
    }

    void count_dropped(const char* reason)
    {
        m_metrics.add("verbena_entry_dropped_messages_total", {{"reason", reason}});
    }

    std::optional<attempt_result> handle_admitted(const wire::admitted& message)
    {
        if (matches(message.id(), message.attempt(), m_id)) {
            m_admitted = true;
            m_agent = message.agent_incarnation();
        } else {
            count_dropped("other_attempt");
        }
        return std::nullopt;
    }

    // Rejects a message that says "not run" although the answer has begun: the attempt has run. The agent is
    // asked on a new stream, since only it knows how the attempt goes on.
    std::optional<attempt_result> reject_not_run(net::frame_stream& stream)
    {
        count_dropped("not_run_after_begin");
        stream.close(make_error(error_kind::invalid_frame, "not run, but the answer has begun",
                                "check that both processes run the same version"));
        return std::nullopt;
    }

    std::optional<attempt_result> handle_refused(const wire::refused& message, net::frame_stream& stream)
    {
        if (!matches(message.id(), message.attempt(), m_id)) {
            count_dropped("other_attempt");
            return std::nullopt;
        }
        if (m_begun) {
            return reject_not_run(stream);
        }
        m_selector.report(m_endpoint, message.load(), clock::now());
        attempt_result end;
        end.outcome = attempt_outcome::not_run;
        end.refusal = message.reason();
        end.message = message.message() == nullptr ? "" : message.message()->str();
        end.retry_after = milliseconds(message.retry_after_ms());
        return end;
    }

    std::optional<attempt_result> handle_head(const wire::answer_head& message)
    {
        if (matches(message.id(), message.attempt(), m_id)) {
            m_agent = message.agent_incarnation();
            m_begun = true;
            m_sink.head(message.status(),
                        message.content_type() == nullptr ? "" : message.content_type()->str());
        } else {
            count_dropped("other_attempt");
        }
        return std::nullopt;
    }

    std::optional<attempt_result> handle_data(const wire::answer_data& message, std::string& bytes,
                                              const std::shared_ptr<net::frame_stream>& stream)
    {
        const flatbuffers::Vector<std::uint8_t>* data = message.bytes();
        if (!matches(message.id(), message.attempt(), m_id) || data == nullptr) {
            count_dropped("other_attempt");
            return std::nullopt;
        }
        stream->grant_window(data->size());
        // A resumed stream starts at the requested byte; any other offset is data that was already
        // forwarded.
        if (message.offset() != m_received) {
            count_dropped("wrong_offset");
            return std::nullopt;
        }
        if (m_received == 0) {
            m_selector.first_token(m_endpoint, m_request);
        }
        m_begun = true;
        m_received += data->size();
        XXH3_64bits_update(m_hash.get(), data->data(), data->size());
        bytes.append(reinterpret_cast<const char*>(data->data()), data->size());
        return std::nullopt;
    }

    std::optional<attempt_result> handle_end(const wire::answer_end& message)
    {
        if (!matches(message.id(), message.attempt(), m_id)) {
            count_dropped("other_attempt");
            return std::nullopt;
        }
        m_selector.report(m_endpoint, message.load(), clock::now());
        attempt_result end;
        const bool complete =
            message.total() == m_received && message.hash() == XXH3_64bits_digest(m_hash.get());
        end.outcome = complete ? attempt_outcome::done : attempt_outcome::unknown;
        end.message = complete ? "" : "response incomplete or corrupt: length or checksum does not match";
        return end;
    }

    std::optional<attempt_result> handle_failed(const wire::failed& message, net::frame_stream& stream)
    {
        if (!matches(message.id(), message.attempt(), m_id)) {
            count_dropped("other_attempt");
            return std::nullopt;
        }
        const bool not_run = message.result() == wire::outcome::not_run;
        if (not_run && m_begun) {
            return reject_not_run(stream);
        }
        m_selector.report(m_endpoint, message.load(), clock::now());
        attempt_result end;
        end.outcome = not_run ? attempt_outcome::not_run : attempt_outcome::unknown;
        end.message = message.message() == nullptr ? "" : message.message()->str();
        return end;
    }

    attempt_id m_id;
    const caller_request& m_request;
    answer_sink& m_sink;
    endpoint_selector& m_selector;
    const std::string& m_endpoint;
    metrics& m_metrics;
    std::unique_ptr<XXH3_state_t, hash_deleter> m_hash{XXH3_createState()};
    std::uint64_t m_received = 0;
    bool m_admitted = false;
    // The head or data of the answer has arrived.
    bool m_begun = false;
    incarnation m_agent = 0;
};

attempt_client::attempt_client(std::shared_ptr<net::peer_pool> pool, options client_options,
                               endpoint_selector& selector, const node::config_view& config,
                               metrics& counters)
    : m_pool(std::move(pool)), m_options(client_options), m_selector(selector), m_config(config),
      m_metrics(counters)
{
}

wire::submitT attempt_client::make_submit(const caller_request& request, const chosen_endpoint& endpoint,
                                          std::uint32_t attempt, milliseconds dispatch_window) const
{
    const auto time_left = std::chrono::duration_cast<milliseconds>(request.deadline - clock::now());
    wire::submitT submit;
    submit.id = to_wire(request.id);
    submit.attempt = attempt;
    submit.entry_incarnation = m_options.self;
    submit.agent_incarnation = request.repeatable ? 0 : endpoint.agent;
    submit.team = request.team;
    submit.weight = request.weight;
    submit.service = request.service;
    submit.model = request.model;
    submit.adapter = request.adapter;
    submit.path = request.path;
    submit.method = request.method;
    submit.length_class = static_cast<std::uint8_t>(request.length());
    submit.request_class = static_cast<std::uint8_t>(request.urgency);
    submit.prompt_tokens = request.prompt_tokens;
    submit.max_tokens = request.max_tokens;
    submit.time_left_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(time_left.count(), 1));
    submit.repeatable = request.repeatable;
    submit.key = request.key;
    submit.revision = m_config.held_revision();
    submit.body_length = static_cast<std::uint32_t>(request.body.size());
    submit.prefix_hash = request.prefix_hash;
    submit.streamed = request.streamed;
    submit.dispatch_window_ms =
        static_cast<std::uint32_t>(std::max<std::int64_t>(dispatch_window.count(), 0));
    return submit;
}

net::task<result<void>> attempt_client::send_request(const caller_request& request,
                                                     const chosen_endpoint& endpoint, std::uint32_t attempt,
                                                     milliseconds dispatch_window,
                                                     std::shared_ptr<net::frame_stream> stream)
{
    stream->send(net::make_frame(make_submit(request, endpoint, attempt, dispatch_window)));
    std::size_t offset = 0;
    while (offset < request.body.size()) {
        const std::size_t size = std::min(net::max_data_slice, request.body.size() - offset);
        wire::submit_dataT data;
        const auto* begin = reinterpret_cast<const std::uint8_t*>(request.body.data()) + offset;
        data.bytes.assign(begin, begin + size);
        const result<void> sent = co_await stream->send_data(net::make_frame(std::move(data)), size);
        if (!sent) {
            co_return sent.error();
        }
        offset += size;
    }
    co_return success();
}

net::task<std::shared_ptr<net::frame_stream>> attempt_client::resume(const caller_request& request,
                                                                     const chosen_endpoint& endpoint,
                                                                     std::uint32_t attempt, incarnation agent,
                                                                     std::uint64_t offset)
{
    m_metrics.add("verbena_entry_resumes_total", {{"team", request.team}});
    auto opened = co_await m_pool->open_stream(endpoint.address, m_options.connect_timeout);
    if (!opened) {
        co_return nullptr;
    }
    wire::resumeT message;
    message.id = to_wire(request.id);
    message.attempt = attempt;
    message.agent_incarnation = agent;
    message.offset = offset;
    opened.value()->send(net::make_frame(std::move(message)));
    co_return opened.value();
}

net::task<attempt_result> attempt_client::run(const caller_request& request, const chosen_endpoint& endpoint,
                                              std::uint32_t attempt, milliseconds dispatch_window,
                                              answer_sink& sink,
                                              std::shared_ptr<request_cancellation> cancellation)
{
    const attempt_id id{request.id, attempt};
    attempt_result failed;
    auto opened = co_await m_pool->open_stream(endpoint.address, m_options.connect_timeout);
    if (!opened) {
        failed.outcome = attempt_outcome::not_run;
        failed.message = "cannot connect to the endpoint's agent: " + opened.error().message;
        co_return failed;
    }
    std::shared_ptr<net::frame_stream> stream = opened.value();
    receiver incoming(id, request, sink, m_selector, endpoint.name, m_metrics);
    cancellation->attach(stream, id);
    // Send errors are ignored: receiver::read() reports a failed stream, and a refusal may arrive before the
    // whole body is sent.
    (void)co_await send_request(request, endpoint, attempt, dispatch_window, stream);
    for (int resume_attempts = 0;;) {
        std::optional<attempt_result> end = co_await incoming.read(stream);
        failed.answering = incoming.received() != 0;
        if (end) {
            end->answering = failed.answering;
            send_cancel(stream, id);
            stream->close(make_error(error_kind::unavailable, "the attempt has ended"));
            co_return *end;
        }
        if (cancellation->cancelled()) {
            failed.caller_gone = true;
            failed.message = "caller disconnected or deadline exceeded";
            co_return failed;
        }
        // A resume needs the agent's incarnation, which arrives with "admitted". Before that it is not known
        // whether the agent has the whole request.
        failed.message = "connection to the endpoint lost";
        if (incoming.agent() == 0 || ++resume_attempts > max_resume_attempts ||
            clock::now() >= request.deadline) {
            co_return failed;
        }
        co_await net::sleep_for(resume_backoff * (resume_attempts - 1));
        stream = co_await resume(request, endpoint, attempt, incoming.agent(), incoming.received());
        while (!stream && ++resume_attempts <= max_resume_attempts) {
            co_await net::sleep_for(resume_backoff * resume_attempts);
            stream = co_await resume(request, endpoint, attempt, incoming.agent(), incoming.received());
        }
        if (!stream) {
            co_return failed;
        }
        cancellation->attach(stream, id);
    }
}

} // namespace verbena::entry
