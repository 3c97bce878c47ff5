#include "standin/engine_service.h"

#include "standin/tokens.h"

#include <boost/asio/post.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace verbena::standin {

namespace json = boost::json;
namespace asio = net::asio;

namespace {

constexpr std::uint32_t default_max_tokens = 64;

// Appends the text of a message, whose content is a string or an array of parts.
void append_content(const json::value& content, std::string& prompt)
{
    if (content.is_string()) {
        prompt += std::string_view(content.as_string());
    } else if (content.is_array()) {
        for (const json::value& part : content.as_array()) {
            if (part.is_object()) {
                prompt += string_member(part.as_object(), "text");
            }
        }
    }
}

std::string extract_prompt(const json::object& body)
{
    std::string prompt;
    const json::value* messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array()) {
        return prompt;
    }
    for (const json::value& message : messages->as_array()) {
        if (message.is_object() && message.as_object().contains("content")) {
            append_content(message.as_object().at("content"), prompt);
        }
    }
    return prompt;
}

std::uint32_t header_number(const net::http_request& request, std::string_view name)
{
    const std::string text = "v=" + std::string(request.header(name));
    return static_cast<std::uint32_t>(query_number(text, "v").value_or(0));
}

json::object usage(std::uint32_t prompt_tokens, std::uint32_t generated)
{
    return {{"prompt_tokens", prompt_tokens},
            {"completion_tokens", generated},
            {"total_tokens", prompt_tokens + generated}};
}

json::object completion_chunk(const std::string& id, const std::string& model, json::object delta,
                              json::value finish_reason)
{
    return {{"id", id},
            {"object", "chat.completion.chunk"},
            {"created", 0},
            {"model", model},
            {"choices",
             json::array{json::object{
                 {"index", 0}, {"delta", std::move(delta)}, {"finish_reason", std::move(finish_reason)}}}}};
}

std::string to_sse_event(const json::object& event)
{
    return "data: " + json::serialize(event) + "\n\n";
}

// Server-sent events for the tokens from `from` up to, not including, `to`, one event per token.
std::string token_events(const std::string& id, const std::string& model, std::uint64_t prompt_hash,
                         std::uint32_t from, std::uint32_t to)
{
    std::string text;
    for (std::uint32_t i = from; i < to; ++i) {
        text += to_sse_event(completion_chunk(id, model, {{"content", token_text(prompt_hash, i)}}, nullptr));
    }
    return text;
}

std::string final_events(const std::string& id, const std::string& model, std::uint32_t prompt_tokens,
                         std::uint32_t generated)
{
    json::object last = completion_chunk(id, model, {}, "length");
    last["usage"] = usage(prompt_tokens, generated);
    return to_sse_event(last) + "data: [DONE]\n\n";
}

net::http_response completion_response(const std::string& id, const std::string& model,
                                       std::uint64_t prompt_hash, std::uint32_t prompt_tokens,
                                       std::uint32_t generated)
{
    std::string text;
    for (std::uint32_t i = 0; i < generated; ++i) {
        text += token_text(prompt_hash, i);
    }
    const json::object message = {{"role", "assistant"}, {"content", text}};
    const json::object choice = {{"index", 0}, {"message", message}, {"finish_reason", "length"}};
    const json::object body = {
        {"id", id},       {"object", "chat.completion"},    {"created", 0},
        {"model", model}, {"choices", json::array{choice}}, {"usage", usage(prompt_tokens, generated)}};
    net::http_response response = json_reply(body);
    response.headers.emplace_back("X-Request-Id", id);
    return response;
}

net::http_header_list request_id_header(const std::string& id)
{
    return {{"X-Request-Id", id}};
}

net::task<result<void>> write_events(net::http_exchange& exchange, const std::string& text, bool last)
{
    const result<void> written = co_await exchange.write(text);
    if (!written || !last) {
        co_return written;
    }
    co_return co_await exchange.finish();
}

bool contains(const std::vector<std::string>& items, const std::string& item)
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

} // namespace

result<std::unique_ptr<engine_service>>
engine_service::create(asio::io_context& io, engine_service_options options, exit_function exit_process)
{
    auto service = std::make_unique<engine_service>(io, std::move(options), std::move(exit_process));
    BOOST_OUTCOME_TRY(service->m_event_log.open(service->m_options.event_log_path));
    service->process_events();
    asio::co_spawn(
        service->m_strand, [self = service.get()] { return self->run_engine_loop(); }, asio::detached);
    return service;
}

engine_service::engine_service(asio::io_context& io, engine_service_options options,
                               exit_function exit_process)
    : m_options(std::move(options)), m_exit(std::move(exit_process)),
      m_engine(m_options.core, m_options.seed, clock::now()), m_models(m_options.models),
      m_role(m_options.role), m_strand(asio::make_strand(io)), m_timer(m_strand)
{
}

net::task<void> engine_service::handle(net::http_exchange& exchange)
{
    if (m_unresponsive) {
        co_await wait_forever();
        co_return;
    }
    const target_parts target = split_target(exchange.request().target);
    const auto& path = target.path;
    if (exchange.request().method == "POST" && exchange.request().target == "/v1/chat/completions") {
        co_await handle_completion(exchange);
    } else if (path.size() == 4 && path[1] == "requests" && path[3] == "stream") {
        co_await resume_stream(exchange, path[2]);
    } else {
        co_await send_reply(exchange, route(exchange.request()));
    }
}

net::http_response engine_service::route(const net::http_request& request)
{
    const target_parts target = split_target(request.target);
    const auto& path = target.path;
    if (request.target == "/v1/status") {
        return status();
    }
    if (request.target == "/fault" && request.method == "POST") {
        return inject_fault(request.body);
    }
    if (request.target == "/v1/orders" && request.method == "POST") {
        return apply_order(request.body);
    }
    if (path.size() == 2 && path[1] == "requests") {
        return list_requests();
    }
    if (path.size() == 3 && path[1] == "requests" && request.method == "DELETE") {
        return cancel(path[2]);
    }
    return error_reply(404, "not_found", "no such path");
}

result<engine_service::submission> engine_service::submit(const net::http_request& request,
                                                          const json::object& body)
{
    const std::string prompt = extract_prompt(body);
    const std::lock_guard lock(m_mutex);
    engine_request submitted;
    submitted.id = std::string(request.header("X-Request-Id"));
    if (submitted.id.empty()) {
        submitted.id = "local-" + std::to_string(++m_last_local_id);
    }
    submitted.model = string_member(body, "model");
    submitted.priority = header_number(request, "X-Priority");
    submitted.prompt_tokens = count_tokens(prompt);
    submitted.max_tokens = static_cast<std::uint32_t>(
        std::max<std::uint64_t>(1, number_member(body, "max_tokens", default_max_tokens)));
    submitted.prompt_hash = hash_prompt(prompt);
    submitted.prefix_hash = hash_prefix(prompt);
    if (!contains(m_models, submitted.model) && !m_adapters.contains(submitted.model)) {
        return make_error(error_kind::not_found, "the model is not loaded", "load the model first");
    }
    const std::string id = submitted.id;
    const result<void> accepted = m_engine.submit(std::move(submitted), engine_time());
    process_events();
    wake_engine_loop();
    if (!accepted) {
        return accepted.error();
    }
    return submission{id, m_engine.find(id)->sequence};
}

net::task<void> engine_service::handle_completion(net::http_exchange& exchange)
{
    const auto body = parse_object(exchange.request().body);
    if (!body) {
        co_await send_reply(exchange, error_reply(400, "invalid_request", "the body is not a JSON object"));
        co_return;
    }
    const result<submission> accepted = submit(exchange.request(), *body);
    if (!accepted) {
        if (accepted.error().kind == error_kind::unavailable) {
            // The engine restarted because of overload, so the connection closes without a response.
            co_return;
        }
        const unsigned code = accepted.error().kind == error_kind::conflict ? 409 : 404;
        co_await send_reply(exchange,
                            error_reply(code, to_string(accepted.error().kind), accepted.error().message));
        co_return;
    }
    const json::value* stream = body->if_contains("stream");
    if (stream != nullptr && stream->is_bool() && stream->as_bool()) {
        co_await stream_tokens(exchange, accepted.value(), 0);
    } else {
        co_await send_completion(exchange, accepted.value());
    }
}

net::task<void> engine_service::resume_stream(net::http_exchange& exchange, const std::string& id)
{
    const target_parts target = split_target(exchange.request().target);
    submission submitted{id, 0};
    {
        const std::lock_guard lock(m_mutex);
        const tracked_request* tracked = m_engine.find(id);
        submitted.sequence = tracked == nullptr ? 0 : tracked->sequence;
    }
    if (submitted.sequence == 0) {
        co_await send_reply(exchange, error_reply(404, "not_found", "unknown request id"));
        co_return;
    }
    const std::uint64_t from = query_number(target.query, "from").value_or(0);
    co_await stream_tokens(exchange, submitted, static_cast<std::uint32_t>(from));
}

net::task<void> engine_service::stream_tokens(net::http_exchange& exchange, submission submitted,
                                              std::uint32_t from)
{
    const auto watcher = add_watcher(submitted.id, co_await asio::this_coro::executor);
    const result<void> started =
        co_await exchange.start_stream(200, "text/event-stream", request_id_header(submitted.id));
    bool open = started.has_value();
    while (open) {
        const stream_progress progress = co_await wait_for_tokens(*watcher, submitted, from);
        if (!progress.found) {
            break;
        }
        std::string text =
            token_events(submitted.id, progress.model, progress.prompt_hash, from, progress.generated);
        from = std::max(from, progress.generated);
        if (progress.finished) {
            text += final_events(submitted.id, progress.model, progress.prompt_tokens, progress.generated);
        }
        const result<void> written = co_await write_events(exchange, text, progress.finished);
        open = written.has_value() && !progress.finished;
    }
    remove_watcher(watcher);
}

net::task<void> engine_service::send_completion(net::http_exchange& exchange, submission submitted)
{
    const auto watcher = add_watcher(submitted.id, co_await asio::this_coro::executor);
    stream_progress progress;
    do {
        progress = co_await wait_for_tokens(*watcher, submitted, progress.generated);
    } while (progress.found && !progress.finished);
    remove_watcher(watcher);
    if (!progress.found) {
        co_return;
    }
    co_await send_reply(exchange, completion_response(submitted.id, progress.model, progress.prompt_hash,
                                                      progress.prompt_tokens, progress.generated));
}

engine_service::stream_progress engine_service::progress_of(const submission& submitted) const
{
    stream_progress progress;
    const tracked_request* tracked = m_engine.find(submitted.id);
    if (tracked == nullptr || tracked->sequence != submitted.sequence) {
        return progress;
    }
    progress.found = true;
    progress.finished = tracked->state == request_state::finished;
    progress.generated = tracked->generated;
    progress.prompt_tokens = tracked->request.prompt_tokens;
    progress.prompt_hash = tracked->request.prompt_hash;
    progress.model = tracked->request.model;
    return progress;
}

net::task<engine_service::stream_progress>
engine_service::wait_for_tokens(progress_watcher& watcher, const submission& submitted, std::uint32_t from)
{
    while (true) {
        // The timer is set before the state is read: a notification is posted to this executor and runs
        // only once the coroutine waits, so none is lost.
        watcher.timer.expires_at(time_point::max());
        stream_progress progress;
        {
            const std::lock_guard lock(m_mutex);
            progress = progress_of(submitted);
        }
        if (!progress.found || progress.finished || progress.generated > from) {
            co_return progress;
        }
        co_await watcher.timer.async_wait(net::no_throw);
    }
}

std::shared_ptr<engine_service::progress_watcher>
engine_service::add_watcher(const std::string& id, const asio::any_io_executor& executor)
{
    auto watcher = std::make_shared<progress_watcher>(executor);
    watcher->id = id;
    const std::lock_guard lock(m_mutex);
    m_watchers.emplace(id, watcher);
    return watcher;
}

void engine_service::remove_watcher(const std::shared_ptr<progress_watcher>& watcher)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_watchers, [&](const auto& item) { return item.second == watcher; });
}

void engine_service::notify_watchers(const std::string& id)
{
    const auto [first, last] = m_watchers.equal_range(id);
    for (auto it = first; it != last; ++it) {
        asio::post(it->second->timer.get_executor(), [watcher = it->second] { watcher->timer.cancel(); });
    }
}

void engine_service::notify_all_watchers()
{
    for (const auto& [id, watcher] : m_watchers) {
        asio::post(watcher->timer.get_executor(), [notified = watcher] { notified->timer.cancel(); });
    }
}

net::http_response engine_service::list_requests()
{
    const std::lock_guard lock(m_mutex);
    advance_engine();
    json::array list;
    for (const auto& [id, tracked] : m_engine.requests()) {
        list.push_back(json::object{{"id", id},
                                    {"state", to_string(tracked.state)},
                                    {"kv_tokens", tracked.kv_tokens},
                                    {"generated", tracked.generated}});
    }
    return json_reply(json::object{{"requests", list}, {"incarnation", m_engine.incarnation_number()}});
}

net::http_response engine_service::cancel(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    const bool found = m_engine.cancel(id, engine_time());
    process_events();
    notify_watchers(id);
    wake_engine_loop();
    return found ? json_reply(json::object{{"cancelled", id}})
                 : error_reply(404, "not_found", "unknown request id");
}

net::http_response engine_service::status()
{
    const std::lock_guard lock(m_mutex);
    advance_engine();
    const engine_load load = m_engine.reported_load(engine_time());
    json::array models(m_models.begin(), m_models.end());
    json::array adapters(m_adapters.begin(), m_adapters.end());
    return json_reply(json::object{{"incarnation", m_engine.incarnation_number()},
                                   {"cold", m_engine.cold()},
                                   {"running", load.running},
                                   {"waiting", load.waiting},
                                   {"used_tokens", load.used_tokens},
                                   {"capacity_tokens", m_options.core.capacity_tokens},
                                   {"models", models},
                                   {"adapters", adapters},
                                   {"role", m_role}});
}

net::http_response engine_service::apply_order(const std::string& text)
{
    const auto body = parse_object(text);
    if (!body) {
        return error_reply(400, "invalid_request", "the body is not a JSON object");
    }
    const std::uint64_t fencing = number_member(*body, "fencing", 0);
    const std::string action = string_member(*body, "action");
    const std::string name = string_member(*body, "name");
    const std::lock_guard lock(m_mutex);
    const bool stale = fencing < m_highest_fencing;
    const bool refused = m_options.check_fencing && stale;
    m_event_log.write(clock::now(), {{"fact", "order"},
                                     {"fencing", fencing},
                                     {"action", action},
                                     {"name", name},
                                     {"stale", stale},
                                     {"refused", refused}});
    if (refused) {
        return error_reply(409, "stale_fencing", "a higher fencing number has been seen");
    }
    m_highest_fencing = std::max(m_highest_fencing, fencing);
    if (action == "load_model") {
        if (!contains(m_models, name)) {
            m_models.push_back(name);
        }
    } else if (action == "unload_model") {
        std::erase(m_models, name);
    } else if (action == "load_adapter") {
        m_adapters.insert(name);
    } else if (action == "set_role") {
        m_role = name;
    } else {
        return error_reply(400, "invalid_request", "unknown action");
    }
    return json_reply(json::object{{"fencing", m_highest_fencing}});
}

net::http_response engine_service::inject_fault(const std::string& text)
{
    const auto body = parse_object(text);
    const std::string kind = body ? string_member(*body, "kind") : "";
    const std::lock_guard lock(m_mutex);
    m_event_log.write(clock::now(), {{"fact", "fault"}, {"kind", kind}});
    if (kind == "cold") {
        m_engine.become_cold(engine_time());
        process_events();
    } else if (kind == "die") {
        m_exit();
    } else if (kind == "hang") {
        m_hang_since = engine_time();
        m_unresponsive = string_member(*body, "scope") == "http";
    } else if (kind == "slow") {
        m_engine.set_slowdown(double_member(*body, "factor", 4));
    } else {
        return error_reply(400, "invalid_request", "unknown fault");
    }
    return json_reply(json::object{{"fault", kind}});
}

time_point engine_service::engine_time() const
{
    return m_hang_since ? *m_hang_since : clock::now();
}

void engine_service::advance_engine()
{
    m_engine.advance(engine_time());
    process_events();
}

void engine_service::process_events()
{
    for (const engine_event& event : m_engine.take_events()) {
        if (event.kind == engine_event_kind::overload) {
            notify_all_watchers();
        } else if (!event.id.empty()) {
            notify_watchers(event.id);
        }
        if (event.kind == engine_event_kind::progress) {
            continue;
        }
        json::object line = {{"fact", to_string(event.kind)}, {"tokens", event.tokens}};
        if (!event.id.empty()) {
            line["id"] = event.id;
        }
        if (!event.reason.empty()) {
            line["reason"] = event.reason;
        }
        m_event_log.write(event.at, std::move(line));
    }
}

net::task<void> engine_service::run_engine_loop()
{
    while (true) {
        // Set before the engine is advanced, for the reason given in wait_for_tokens().
        m_timer.expires_at(time_point::max());
        std::optional<time_point> next;
        {
            const std::lock_guard lock(m_mutex);
            advance_engine();
            next = m_hang_since ? std::nullopt : m_engine.next_step();
        }
        if (next) {
            m_timer.expires_at(*next);
        }
        co_await m_timer.async_wait(net::no_throw);
    }
}

void engine_service::wake_engine_loop()
{
    asio::post(m_strand, [this] { m_timer.cancel(); });
}

} // namespace verbena::standin
