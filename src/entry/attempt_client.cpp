#include "entry/attempt_client.h"

#include <xxhash.h>

namespace verbena::entry {

namespace {

// New connections tried for one broken stream before the attempt counts as unknown.
constexpr int resume_tries = 3;
constexpr milliseconds resume_pause{100};

// Bytes written to the caller at once when many messages are waiting.
constexpr std::size_t write_batch = 32 * 1024;

std::unique_ptr<wire::request_id> to_wire(const request_id& id)
{
    return std::make_unique<wire::request_id>(id.high, id.low);
}

bool names(const wire::request_id* id, std::uint32_t number, const attempt_id& expected)
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

void caller_watch::follow(const std::shared_ptr<net::frame_stream>& stream, const attempt_id& id)
{
    {
        const std::lock_guard lock(m_mutex);
        m_stream = stream;
        m_id = id;
        if (!m_left) {
            return;
        }
    }
    leave();
}

void caller_watch::leave()
{
    std::shared_ptr<net::frame_stream> stream;
    {
        const std::lock_guard lock(m_mutex);
        m_left = true;
        stream = std::exchange(m_stream, nullptr);
    }
    if (stream) {
        send_cancel(stream, m_id);
        stream->close(make_error(error_kind::timeout, "the caller has left or its deadline has passed"));
    }
}

bool caller_watch::left() const
{
    const std::lock_guard lock(m_mutex);
    return m_left;
}

// Receives the messages of one attempt and passes the answer on. Outlives a connection: a resumed stream goes
// on here.
class attempt_client::receiver {
public:
    receiver(attempt_id id, const caller_request& request, answer_sink& sink, endpoint_choice& choice,
             const std::string& endpoint, metrics& counters)
        : m_id(id), m_request(request), m_sink(sink), m_choice(choice), m_endpoint(endpoint),
          m_metrics(counters)
    {
        XXH3_64bits_reset(m_hash.get());
    }

    // Reads until the attempt has ended (a result) or the stream has broken (nothing).
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
            while (next && !end && bytes.size() < write_batch) {
                end = take(*next->frame, bytes, stream);
                if (!end) {
                    next = bytes.size() < write_batch ? stream->try_receive() : std::nullopt;
                }
            }
            if (!bytes.empty()) {
                const result<void> written = co_await m_sink.data(std::move(bytes));
                if (!written) {
                    attempt_result gone;
                    gone.caller_gone = true;
                    gone.message = written.error().message;
                    co_return gone;
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

    std::optional<attempt_result> take(const wire::frame& frame, std::string& bytes,
                                       const std::shared_ptr<net::frame_stream>& stream)
    {
        switch (frame.message_type()) {
        case wire::body::admitted:
            return take_admitted(*frame.message_as_admitted());
        case wire::body::refused:
            return take_refused(*frame.message_as_refused());
        case wire::body::answer_head:
            return take_head(*frame.message_as_answer_head());
        case wire::body::answer_data:
            return take_data(*frame.message_as_answer_data(), bytes, stream);
        case wire::body::answer_end:
            return take_end(*frame.message_as_answer_end());
        case wire::body::failed:
            return take_failed(*frame.message_as_failed());
        default:
            drop("unexpected_message");
            return std::nullopt;
        }
    }

    void drop(const char* reason)
    {
        m_metrics.add("verbena_entry_dropped_messages_total", {{"reason", reason}});
    }

    std::optional<attempt_result> take_admitted(const wire::admitted& message)
    {
        if (names(message.id(), message.attempt(), m_id)) {
            m_admitted = true;
            m_agent = message.agent_incarnation();
        } else {
            drop("other_attempt");
        }
        return std::nullopt;
    }

    std::optional<attempt_result> take_refused(const wire::refused& message)
    {
        if (!names(message.id(), message.attempt(), m_id)) {
            drop("other_attempt");
            return std::nullopt;
        }
        m_choice.report(m_endpoint, message.load(), clock::now());
        attempt_result end;
        end.outcome = attempt_outcome::not_run;
        end.refusal = message.reason();
        end.message = message.message() == nullptr ? "" : message.message()->str();
        end.retry_after = milliseconds(message.retry_after_ms());
        return end;
    }

    std::optional<attempt_result> take_head(const wire::answer_head& message)
    {
        if (names(message.id(), message.attempt(), m_id)) {
            m_agent = message.agent_incarnation();
            m_sink.head(message.status(),
                        message.content_type() == nullptr ? "" : message.content_type()->str());
        } else {
            drop("other_attempt");
        }
        return std::nullopt;
    }

    std::optional<attempt_result> take_data(const wire::answer_data& message, std::string& bytes,
                                            const std::shared_ptr<net::frame_stream>& stream)
    {
        const flatbuffers::Vector<std::uint8_t>* data = message.bytes();
        if (!names(message.id(), message.attempt(), m_id) || data == nullptr) {
            drop("other_attempt");
            return std::nullopt;
        }
        stream->grant(data->size());
        // A resumed stream starts at the byte that was asked for; anything else is a copy of what has been
        // passed on.
        if (message.offset() != m_received) {
            drop("wrong_offset");
            return std::nullopt;
        }
        if (m_received == 0) {
            m_choice.first_token(m_endpoint, m_request);
        }
        m_received += data->size();
        XXH3_64bits_update(m_hash.get(), data->data(), data->size());
        bytes.append(reinterpret_cast<const char*>(data->data()), data->size());
        return std::nullopt;
    }

    std::optional<attempt_result> take_end(const wire::answer_end& message)
    {
        if (!names(message.id(), message.attempt(), m_id)) {
            drop("other_attempt");
            return std::nullopt;
        }
        m_choice.report(m_endpoint, message.load(), clock::now());
        attempt_result end;
        const bool whole =
            message.total() == m_received && message.hash() == XXH3_64bits_digest(m_hash.get());
        end.outcome = whole ? attempt_outcome::done : attempt_outcome::unknown;
        end.message = whole ? "" : "the answer is not whole";
        return end;
    }

    std::optional<attempt_result> take_failed(const wire::failed& message)
    {
        if (!names(message.id(), message.attempt(), m_id)) {
            drop("other_attempt");
            return std::nullopt;
        }
        m_choice.report(m_endpoint, message.load(), clock::now());
        attempt_result end;
        end.outcome =
            message.result() == wire::outcome::not_run ? attempt_outcome::not_run : attempt_outcome::unknown;
        end.message = message.message() == nullptr ? "" : message.message()->str();
        return end;
    }

    attempt_id m_id;
    const caller_request& m_request;
    answer_sink& m_sink;
    endpoint_choice& m_choice;
    const std::string& m_endpoint;
    metrics& m_metrics;
    std::unique_ptr<XXH3_state_t, hash_deleter> m_hash{XXH3_createState()};
    std::uint64_t m_received = 0;
    bool m_admitted = false;
    incarnation m_agent = 0;
};

attempt_client::attempt_client(std::shared_ptr<net::peer_pool> pool, options settings,
                               endpoint_choice& choice, const node::config_view& config, metrics& counters)
    : m_pool(std::move(pool)), m_options(settings), m_choice(choice), m_config(config), m_metrics(counters)
{
}

wire::submitT attempt_client::make_submit(const caller_request& request, const chosen_endpoint& endpoint,
                                          std::uint32_t attempt, milliseconds dispatch_window) const
{
    const auto left = std::chrono::duration_cast<milliseconds>(request.deadline - clock::now());
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
    submit.time_left_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 1));
    submit.repeatable = request.repeatable;
    submit.key = request.key;
    submit.revision = m_config.held();
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
                                              answer_sink& sink, std::shared_ptr<caller_watch> watch)
{
    const attempt_id id{request.id, attempt};
    attempt_result broken;
    auto opened = co_await m_pool->open_stream(endpoint.address, m_options.connect_timeout);
    if (!opened) {
        broken.outcome = attempt_outcome::not_run;
        broken.message = "the endpoint's process cannot be reached: " + opened.error().message;
        co_return broken;
    }
    std::shared_ptr<net::frame_stream> stream = opened.value();
    receiver answer(id, request, sink, m_choice, endpoint.name, m_metrics);
    watch->follow(stream, id);
    // A failure to send shows as a broken stream below; a refusal may have arrived before the whole body was
    // sent.
    (void)co_await send_request(request, endpoint, attempt, dispatch_window, stream);
    for (int tries = 0;;) {
        std::optional<attempt_result> end = co_await answer.read(stream);
        broken.answering = answer.received() != 0;
        if (end) {
            end->answering = broken.answering;
            send_cancel(stream, id);
            stream->close(make_error(error_kind::unavailable, "the attempt has ended"));
            co_return *end;
        }
        if (watch->left()) {
            broken.caller_gone = true;
            broken.message = "the caller has left or its deadline has passed";
            co_return broken;
        }
        // Before "admitted" the agent may or may not have the whole request, and it gives no incarnation to
        // resume at.
        broken.message = "the connection to the endpoint broke";
        if (answer.agent() == 0 || ++tries > resume_tries || clock::now() >= request.deadline) {
            co_return broken;
        }
        co_await net::sleep_for(resume_pause * (tries - 1));
        stream = co_await resume(request, endpoint, attempt, answer.agent(), answer.received());
        while (!stream && ++tries <= resume_tries) {
            co_await net::sleep_for(resume_pause * tries);
            stream = co_await resume(request, endpoint, attempt, answer.agent(), answer.received());
        }
        if (!stream) {
            co_return broken;
        }
        watch->follow(stream, id);
    }
}

} // namespace verbena::entry
