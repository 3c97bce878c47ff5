#include "agent/agent_service.h"
#include "node/freshness.h"

#include <algorithm>

namespace verbena::agent {

namespace {

wire::request_id to_wire(const request_id& id)
{
    return wire::request_id(id.high, id.low);
}

std::unique_ptr<wire::request_id> to_wire_pointer(const request_id& id)
{
    return std::make_unique<wire::request_id>(to_wire(id));
}

error stream_closed(const char* message)
{
    return make_error(error_kind::unavailable, message);
}

} // namespace

void agent_service::count(const char* event, const wire::submitT& submit)
{
    m_process.counters().add(
        "verbena_agent_attempts_total",
        {{"event", event}, {"team", submit.team}, {"length", to_string(classify(submit.prompt_tokens))}});
}

void agent_service::on_stream(const std::shared_ptr<net::frame_stream>& stream, net::received_frame first)
{
    const auto spawn = [&stream](auto work) {
        net::asio::co_spawn(stream->parent()->executor(), std::move(work), net::asio::detached);
    };
    auto self = shared_from_this();
    register_peer(stream->parent());
    if (const wire::submit* message = first.frame->message_as_submit();
        message != nullptr && message->id() != nullptr) {
        wire::submitT submit;
        message->UnPackTo(&submit);
        spawn([self, stream, submit = std::move(submit)]() mutable {
            return self->serve_submit(stream, std::move(submit));
        });
        return;
    }
    if (const wire::resume* message = first.frame->message_as_resume();
        message != nullptr && message->id() != nullptr) {
        wire::resumeT resume;
        message->UnPackTo(&resume);
        spawn([self, stream, resume = std::move(resume)]() mutable {
            return self->serve_resume(stream, std::move(resume));
        });
        return;
    }
    if (const wire::attempt_query* query = first.frame->message_as_attempt_query();
        query != nullptr && query->id() != nullptr) {
        serve_query(stream, *query);
        return;
    }
    if (const wire::freshness_query* query = first.frame->message_as_freshness_query()) {
        node::reply_freshness(stream, *query, m_config);
        return;
    }
    stream->close(stream_closed("unexpected first message"));
}

bool agent_service::serves_model(const std::string& model) const
{
    const std::lock_guard lock(m_orders_mutex);
    const std::vector<std::string>& models = m_orders.models();
    return std::find(models.begin(), models.end(), model) != models.end();
}

std::optional<refusal> agent_service::check_identity(const wire::submitT& submit, time_point received) const
{
    if (submit.agent_incarnation != 0 && submit.agent_incarnation != m_process.self_incarnation()) {
        return refusal{wire::refusal::wrong_incarnation, "the endpoint's agent has restarted",
                       milliseconds(0)};
    }
    if (m_settings.kind != "plain" && !serves_model(submit.model)) {
        return refusal{wire::refusal::model_not_loaded, "the endpoint has not loaded the model",
                       milliseconds(0)};
    }
    if (!submit.repeatable && submit.agent_incarnation == 0) {
        return refusal{wire::refusal::bad_request,
                       "an unrepeatable request must name the agent's incarnation", milliseconds(0)};
    }
    const auto waited = clock::now() - received;
    if (!submit.repeatable && waited > milliseconds(submit.dispatch_window_ms)) {
        return refusal{wire::refusal::closed, "the dispatch window has passed", milliseconds(0)};
    }
    return std::nullopt;
}

void agent_service::send_refused(const std::shared_ptr<net::frame_stream>& stream, const attempt_id& id,
                                 const refusal& reason)
{
    wire::refusedT message;
    message.id = to_wire_pointer(id.request);
    message.attempt = id.number;
    message.agent_incarnation = m_process.self_incarnation();
    message.reason = reason.reason;
    message.message = reason.message;
    message.retry_after_ms = static_cast<std::uint32_t>(reason.retry_after.count());
    message.load = std::make_unique<wire::load_summaryT>(m_admission.load());
    stream->send(net::make_frame(std::move(message)));
}

net::task<result<std::string>> agent_service::receive_body(std::shared_ptr<net::frame_stream> stream,
                                                           std::uint32_t length)
{
    std::string body;
    while (body.size() < length) {
        const result<net::received_frame> message = co_await stream->receive();
        if (!message) {
            co_return message.error();
        }
        const wire::submit_data* data = message.value().frame->message_as_submit_data();
        if (data == nullptr || data->bytes() == nullptr || data->bytes()->size() > length - body.size()) {
            co_return make_error(error_kind::invalid_frame, "unexpected message in a request body");
        }
        body.append(reinterpret_cast<const char*>(data->bytes()->data()), data->bytes()->size());
        stream->grant_window(data->bytes()->size());
    }
    co_return body;
}

net::task<void> agent_service::serve_submit(std::shared_ptr<net::frame_stream> stream, wire::submitT submit)
{
    const net::stream_guard guard(stream);
    const time_point received = clock::now();
    const attempt_id id = to_attempt_id(*submit.id, submit.attempt);
    std::optional<refusal> refused = check_identity(submit, received);
    if (!refused) {
        refused = m_admission.check(submit, state(), received);
    }
    if (refused) {
        count("refused", submit);
        send_refused(stream, id, *refused);
        co_return;
    }
    result<std::string> body = co_await receive_body(stream, submit.body_length);
    if (!body) {
        count("body_incomplete", submit);
        co_return;
    }
    refused = check_identity(submit, received);
    admission::enqueue_result outcome;
    if (!refused) {
        auto value = std::make_shared<attempt>(id, submit, std::move(body.value()), received,
                                               m_process.io().get_executor(), m_admission.answer_counter());
        outcome = m_admission.enqueue(value, state(), clock::now());
        refused = outcome.refused;
    }
    if (refused) {
        count("refused", submit);
        send_refused(stream, id, *refused);
        co_return;
    }
    count(outcome.added ? "admitted" : "duplicate", submit);
    wire::admittedT admitted;
    admitted.id = to_wire_pointer(id.request);
    admitted.attempt = id.number;
    admitted.agent_incarnation = m_process.self_incarnation();
    admitted.queue_ms = static_cast<std::uint32_t>(outcome.queue_estimate.count());
    stream->send(net::make_frame(std::move(admitted)));
    dispatch_queued();
    co_await deliver(stream, outcome.value, 0);
}

net::task<void> agent_service::serve_resume(std::shared_ptr<net::frame_stream> stream, wire::resumeT resume)
{
    const net::stream_guard guard(stream);
    const attempt_id id = to_attempt_id(*resume.id, resume.attempt);
    const std::shared_ptr<attempt> value =
        resume.agent_incarnation == m_process.self_incarnation() ? m_admission.find(id) : nullptr;
    if (!value) {
        wire::failedT failed;
        failed.id = to_wire_pointer(id.request);
        failed.attempt = id.number;
        failed.result = wire::outcome::unknown;
        failed.message = "the endpoint's agent does not know the attempt";
        stream->send(net::make_frame(std::move(failed)));
        co_return;
    }
    m_process.counters().add("verbena_agent_resumes_total", {});
    co_await deliver(stream, value, resume.offset);
}

void agent_service::serve_query(const std::shared_ptr<net::frame_stream>& stream,
                                const wire::attempt_query& query)
{
    const attempt_id id = to_attempt_id(*query.id(), query.attempt());
    wire::attempt_stateT reply;
    reply.id = to_wire_pointer(id.request);
    reply.attempt = id.number;
    const std::shared_ptr<attempt> value = m_admission.find(id);
    if (query.agent_incarnation() != m_process.self_incarnation()) {
        reply.phase = wire::attempt_phase::wrong_incarnation;
    } else if (!value) {
        // Closing the attempt makes "never seen" final: a copy that arrives later is refused.
        reply.not_run = m_admission.close_unseen(id, clock::now());
        reply.phase = wire::attempt_phase::never_seen;
    } else {
        const answer_log::slice view = value->log.read(0, net::max_data_slice);
        const bool done = view.current_state == answer_log::state::done;
        const bool open = view.current_state == answer_log::state::open;
        const bool queued = m_admission.phase_of(value) == attempt_phase::queued;
        reply.phase = done ? wire::attempt_phase::done
                           : (open ? (queued ? wire::attempt_phase::queued : wire::attempt_phase::running)
                                   : wire::attempt_phase::failed);
        reply.not_run = !open && !done && view.outcome == attempt_outcome::not_run;
        reply.status = static_cast<std::uint16_t>(view.status);
        reply.content_type = view.content_type;
        reply.answer.assign(view.bytes.begin(), view.bytes.end());
    }
    stream->send(net::make_frame(std::move(reply)));
    stream->close(stream_closed("answered"));
}

net::task<bool> agent_service::send_slice(std::shared_ptr<net::frame_stream> stream, const attempt_id& id,
                                          std::uint64_t offset, std::string bytes)
{
    wire::answer_dataT data;
    data.id = to_wire_pointer(id.request);
    data.attempt = id.number;
    data.offset = offset;
    data.bytes.assign(bytes.begin(), bytes.end());
    const result<void> sent = co_await stream->send_data(net::make_frame(std::move(data)), bytes.size());
    co_return sent.has_value();
}

void agent_service::send_end(const std::shared_ptr<net::frame_stream>& stream,
                             const std::shared_ptr<attempt>& value, const answer_log::slice& view)
{
    auto load = std::make_unique<wire::load_summaryT>(m_admission.load());
    if (view.current_state == answer_log::state::done) {
        wire::answer_endT end;
        end.id = to_wire_pointer(value->id.request);
        end.attempt = value->id.number;
        end.total = view.total;
        end.hash = view.hash;
        end.tokens = view.tokens;
        end.load = std::move(load);
        stream->send(net::make_frame(std::move(end)));
        return;
    }
    if (view.reason != wire::refusal::none) {
        send_refused(stream, value->id, refusal{view.reason, view.message, milliseconds(0)});
        return;
    }
    wire::failedT failed;
    failed.id = to_wire_pointer(value->id.request);
    failed.attempt = value->id.number;
    failed.result =
        view.outcome == attempt_outcome::not_run ? wire::outcome::not_run : wire::outcome::unknown;
    failed.message = view.message;
    failed.load = std::move(load);
    stream->send(net::make_frame(std::move(failed)));
}

net::task<void> agent_service::receive_from_entry(std::shared_ptr<net::frame_stream> stream,
                                                  std::shared_ptr<attempt> value, std::uint64_t delivery)
{
    while (true) {
        const result<net::received_frame> message = co_await stream->receive();
        if (!message) {
            m_admission.delivery_broken(value, delivery, clock::now());
            value->log.wake();
            co_return;
        }
        if (message.value().frame->message_as_cancel() == nullptr) {
            continue;
        }
        if (value->log.is_open()) {
            cancel(value, "cancelled by the entry");
        } else {
            m_admission.acknowledged(value);
        }
    }
}

net::task<void> agent_service::deliver(std::shared_ptr<net::frame_stream> stream,
                                       std::shared_ptr<attempt> value, std::uint64_t offset)
{
    const std::uint64_t delivery = m_admission.begin_delivery(value);
    auto stream_ended = std::make_shared<bool>(false);
    net::asio::co_spawn(
        stream->parent()->executor(),
        [self = shared_from_this(), stream, value, delivery, stream_ended]() -> net::task<void> {
            co_await self->receive_from_entry(stream, value, delivery);
            *stream_ended = true;
        },
        net::asio::detached);
    bool head_sent = false;
    bool end_sent = false;
    while (!*stream_ended && m_admission.is_current(value, delivery)) {
        const answer_log::slice view = value->log.read(offset, net::max_data_slice);
        if (view.has_head && !head_sent) {
            wire::answer_headT head;
            head.id = to_wire_pointer(value->id.request);
            head.attempt = value->id.number;
            head.agent_incarnation = m_process.self_incarnation();
            head.status = static_cast<std::uint16_t>(view.status);
            head.content_type = view.content_type;
            stream->send(net::make_frame(std::move(head)));
            head_sent = true;
        }
        if (!view.bytes.empty()) {
            const std::size_t size = view.bytes.size();
            const bool sent = co_await send_slice(stream, value->id, offset, view.bytes);
            if (!sent) {
                break;
            }
            offset += size;
            continue;
        }
        if (view.current_state != answer_log::state::open && !end_sent) {
            send_end(stream, value, view);
            end_sent = true;
        }
        co_await value->log.wait_changed();
    }
}

} // namespace verbena::agent
