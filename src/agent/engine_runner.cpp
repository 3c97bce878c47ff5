#include "agent/agent_service.h"
#include "agent/engine_events.h"

namespace verbena::agent {

namespace {

// Time limit of an unrepeatable request. It runs on after its deadline, so that its outcome can be looked up
// by its idempotency key.
constexpr std::chrono::minutes max_unrepeatable_run_time{10};

constexpr const char* event_stream = "text/event-stream";

bool is_event_stream(const net::http_stream& stream)
{
    return stream.content_type().starts_with(event_stream);
}

} // namespace

time_point agent_service::run_deadline(const attempt& value) const
{
    return value.submit.repeatable ? value.deadline : value.dispatched_at + max_unrepeatable_run_time;
}

void agent_service::dispatch_queued()
{
    admission::work work = m_admission.take_work(state(), clock::now());
    for (const auto& [value, reason] : work.refused) {
        count("dropped_from_queue", value->submit);
        value->log.refuse(reason.reason, reason.message);
    }
    for (const auto& value : work.dispatch) {
        net::asio::co_spawn(
            net::asio::make_strand(m_process.io()),
            [self = shared_from_this(), value] { return self->run(value); }, net::asio::detached);
    }
}

void agent_service::end_failed(const std::shared_ptr<attempt>& value, attempt_outcome outcome,
                               const std::string& message)
{
    count(outcome == attempt_outcome::not_run ? "not_run" : "unknown", value->submit);
    m_admission.ended(value, std::nullopt, clock::now());
    value->log.fail(outcome, message);
}

void agent_service::end_done(const std::shared_ptr<attempt>& value, const answer_end& end)
{
    const time_point now = clock::now();
    policy::service_sample sample;
    sample.prompt_tokens = value->submit.prompt_tokens;
    sample.output_tokens = end.tokens;
    sample.prefill = end.first_byte - value->dispatched_at;
    sample.decode = now - end.first_byte;
    const bool has_sample = m_settings.kind != "plain" && end.tokens != 0;
    m_admission.released(value);
    m_admission.ended(value, has_sample ? std::optional(sample) : std::nullopt, now);
    count("done", value->submit);
    m_process.counters().observe(
        "verbena_agent_service_seconds",
        {{"team", value->submit.team}, {"length", to_string(classify(value->submit.prompt_tokens))}},
        now - value->dispatched_at);
    value->log.finish(end.tokens);
}

net::task<void> agent_service::run(std::shared_ptr<attempt> value)
{
    engine_request request;
    request.id = value->engine_id();
    request.priority = m_admission.engine_rank(value, clock::now());
    request.method = value->submit.method.empty() ? "POST" : value->submit.method;
    request.target = value->submit.path;
    request.key = value->submit.key;
    request.body = value->body;
    auto sent = std::make_shared<bool>(false);
    const auto time_left = std::chrono::duration_cast<milliseconds>(run_deadline(*value) - clock::now());
    auto opened = co_await m_engine->start(std::move(request), std::max(time_left, milliseconds(1)), sent);
    if (!opened) {
        // Without a connection nothing can have reached the endpoint.
        end_failed(value, *sent ? attempt_outcome::unknown : attempt_outcome::not_run,
                   opened.error().message);
        co_await cancel_at_engine(value);
        co_return;
    }
    std::unique_ptr<net::http_stream> stream = std::move(opened.value());
    const bool is_model = m_settings.kind != "plain";
    if (is_model && stream->status() >= 500) {
        end_failed(value, attempt_outcome::unknown,
                   "the engine responded with HTTP status " + std::to_string(stream->status()));
        co_await cancel_at_engine(value);
        co_return;
    }
    value->log.set_head(stream->status(), stream->content_type());
    const bool events = is_model && is_event_stream(*stream);
    // Not a conditional expression: GCC 12 copies the result of one that contains co_await bitwise and then
    // destroys the original.
    result<answer_end> end = answer_end{};
    if (events) {
        end = co_await read_events(value, std::move(stream));
    } else {
        end = co_await read_answer(value, std::move(stream));
    }
    if (!end) {
        end_failed(value, attempt_outcome::unknown, end.error().message);
        co_await cancel_at_engine(value);
        co_return;
    }
    end_done(value, end.value());
    dispatch_queued();
}

net::task<result<agent_service::answer_end>>
agent_service::read_answer(std::shared_ptr<attempt> value, std::unique_ptr<net::http_stream> stream)
{
    answer_end end;
    end.first_byte = clock::now();
    while (true) {
        const auto time_left = std::chrono::duration_cast<milliseconds>(run_deadline(*value) - clock::now());
        const result<std::string> chunk = co_await stream->read_some(std::max(time_left, milliseconds(1)));
        if (!chunk) {
            co_return chunk.error();
        }
        if (chunk.value().empty()) {
            co_return end;
        }
        value->log.append(chunk.value());
    }
}

// Adds the events of an attempt to its response.
class agent_service::attempt_events : public engine_event_sink {
public:
    attempt_events(agent_service& service, std::shared_ptr<attempt> value)
        : m_service(service), m_attempt(std::move(value))
    {
    }

    void on_events(const std::string& events) override
    {
        if (m_attempt->log.size() == 0) {
            m_first_byte = clock::now();
            m_service.m_admission.first_token(m_attempt, m_first_byte);
            m_service.dispatch_queued();
        }
        m_attempt->log.append(events);
    }

    void on_resume() override
    {
        m_service.m_process.counters().add("verbena_agent_engine_resumes_total", {});
    }

    bool is_wanted() const override
    {
        return !m_service.m_admission.cancel_requested(m_attempt) && m_attempt->log.is_open();
    }

    time_point first_byte() const { return m_first_byte; }

private:
    agent_service& m_service;
    std::shared_ptr<attempt> m_attempt;
    time_point m_first_byte;
};

net::task<result<agent_service::answer_end>>
agent_service::read_events(std::shared_ptr<attempt> value, std::unique_ptr<net::http_stream> stream)
{
    engine_event_reader::options options;
    options.id = value->engine_id();
    options.deadline = run_deadline(*value);
    options.silence = milliseconds(m_settings.engine_silence);
    attempt_events sink(*this, value);
    const auto reader = std::make_shared<engine_event_reader>(m_engine, std::move(options), sink);
    const result<std::uint32_t> events = co_await reader->read(std::move(stream));
    if (!events) {
        co_return events.error();
    }
    answer_end end;
    end.first_byte = sink.first_byte();
    end.tokens = events.value();
    co_return end;
}

net::task<void> agent_service::cancel_at_engine(std::shared_ptr<attempt> value)
{
    const result<void> cancelled = co_await m_engine->cancel(value->engine_id());
    if (cancelled) {
        m_admission.released(value);
    } else {
        m_process.counters().add("verbena_agent_cancel_failures_total", {});
    }
    dispatch_queued();
}

void agent_service::cancel(const std::shared_ptr<attempt>& value, const char* reason)
{
    if (m_admission.cancel_queued(value, clock::now())) {
        count("cancelled_in_queue", value->submit);
        value->log.fail(attempt_outcome::not_run, reason);
        return;
    }
    if (!m_admission.request_cancel(value)) {
        return;
    }
    count("cancelled", value->submit);
    value->log.fail(attempt_outcome::unknown, reason);
    net::asio::co_spawn(
        net::asio::make_strand(m_process.io()),
        [self = shared_from_this(), value] { return self->cancel_at_engine(value); }, net::asio::detached);
}

} // namespace verbena::agent
