#include "agent/agent_service.h"
#include "agent/sse.h"

namespace verbena::agent {

namespace {

// Tries to continue an engine's stream on a new connection before the attempt fails.
constexpr int engine_resumes = 3;

// A request that may not be repeated is followed to its end for this long, also after its deadline, so that
// its outcome can be found by its key.
constexpr std::chrono::minutes longest_unrepeatable{10};

constexpr const char* event_stream = "text/event-stream";

bool is_event_stream(const net::http_stream& stream)
{
    return stream.content_type().starts_with(event_stream);
}

} // namespace

time_point agent_service::run_end(const attempt& value) const
{
    return value.submit.repeatable ? value.deadline : value.dispatched + longest_unrepeatable;
}

void agent_service::pump()
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
    sample.prefill = end.first_byte - value->dispatched;
    sample.decode = now - end.first_byte;
    const bool learn = m_settings.kind != "plain" && end.tokens != 0;
    m_admission.released(value);
    m_admission.ended(value, learn ? std::optional(sample) : std::nullopt, now);
    count("done", value->submit);
    m_process.counters().observe(
        "verbena_agent_service_seconds",
        {{"team", value->submit.team}, {"length", to_string(classify(value->submit.prompt_tokens))}},
        now - value->dispatched);
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
    const auto time_left = std::chrono::duration_cast<milliseconds>(run_end(*value) - clock::now());
    auto opened = co_await m_engine->start(std::move(request), std::max(time_left, milliseconds(1)), sent);
    if (!opened) {
        // Before the connection was made nothing can have reached the endpoint.
        end_failed(value, *sent ? attempt_outcome::unknown : attempt_outcome::not_run,
                   opened.error().message);
        co_await cancel_at_engine(value);
        co_return;
    }
    std::unique_ptr<net::http_stream> stream = std::move(opened.value());
    const bool model = m_settings.kind != "plain";
    if (model && stream->status() >= 500) {
        end_failed(value, attempt_outcome::unknown,
                   "the engine answered " + std::to_string(stream->status()));
        co_await cancel_at_engine(value);
        co_return;
    }
    value->log.set_head(stream->status(), stream->content_type());
    const bool events = model && is_event_stream(*stream);
    // GCC 12 copies the result of a conditional expression with co_await bit by bit and destroys the
    // original.
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
    pump();
}

net::task<result<agent_service::answer_end>>
agent_service::read_answer(std::shared_ptr<attempt> value, std::unique_ptr<net::http_stream> stream)
{
    answer_end end;
    end.first_byte = clock::now();
    while (true) {
        const auto left = std::chrono::duration_cast<milliseconds>(run_end(*value) - clock::now());
        const result<std::string> piece = co_await stream->read_some(std::max(left, milliseconds(1)));
        if (!piece) {
            co_return piece.error();
        }
        if (piece.value().empty()) {
            co_return end;
        }
        value->log.append(piece.value());
    }
}

net::task<result<std::unique_ptr<net::http_stream>>>
agent_service::resume_at_engine(std::shared_ptr<attempt> value, std::uint32_t events)
{
    m_process.counters().add("verbena_agent_engine_resumes_total", {});
    co_return co_await m_engine->resume(value->engine_id(), events);
}

net::task<result<agent_service::answer_end>>
agent_service::read_events(std::shared_ptr<attempt> value, std::unique_ptr<net::http_stream> stream)
{
    answer_end end;
    sse_splitter splitter;
    int resumes = 0;
    while (true) {
        const auto left = std::chrono::duration_cast<milliseconds>(run_end(*value) - clock::now());
        const milliseconds silence(m_settings.engine_silence);
        // The first token of a long prompt takes as long as its prefill.
        const milliseconds bound = splitter.events() == 0 ? left : std::min(left, silence);
        const result<std::string> piece = co_await stream->read_some(std::max(bound, milliseconds(1)));
        if (piece) {
            const std::string whole = splitter.feed(piece.value());
            if (!whole.empty()) {
                if (value->log.size() == 0) {
                    end.first_byte = clock::now();
                    m_admission.first_token(value, end.first_byte);
                    pump();
                }
                value->log.append(whole);
            }
        }
        end.tokens = splitter.events();
        if (splitter.done() || (splitter.finished() && (!piece || piece.value().empty()))) {
            co_return end;
        }
        if (piece && !piece.value().empty()) {
            continue;
        }
        const error reason =
            piece ? make_error(error_kind::io, "the engine ended the stream early") : piece.error();
        if (++resumes > engine_resumes || m_admission.cancel_requested(value) || !value->log.is_open()) {
            co_return reason;
        }
        splitter.discard_partial();
        auto resumed = co_await resume_at_engine(value, splitter.events());
        if (!resumed) {
            co_return reason;
        }
        stream = std::move(resumed.value());
    }
}

net::task<void> agent_service::cancel_at_engine(std::shared_ptr<attempt> value)
{
    const result<void> cancelled = co_await m_engine->cancel(value->engine_id());
    if (cancelled) {
        m_admission.released(value);
    } else {
        m_process.counters().add("verbena_agent_cancel_failures_total", {});
    }
    pump();
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
