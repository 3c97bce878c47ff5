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

// Text of a message, whose content is a string or a list of parts.
void append_content(const json::value& content, std::string& prompt)
{
    if (content.is_string()) {
        prompt += std::string_view(content.as_string());
    } else if (content.is_array()) {
        for (const json::value& part : content.as_array()) {
            if (part.is_object()) {
                prompt += text_member(part.as_object(), "text");
            }
        }
    }
}

std::string prompt_of(const json::object& body)
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

json::object chunk(const std::string& id, const std::string& model, json::object delta, json::value reason)
{
    return {
        {"id", id},
        {"object", "chat.completion.chunk"},
        {"created", 0},
        {"model", model},
        {"choices", json::array{json::object{
                        {"index", 0}, {"delta", std::move(delta)}, {"finish_reason", std::move(reason)}}}}};
}

std::string sse(const json::object& event)
{
    return "data: " + json::serialize(event) + "\n\n";
}

// Text of the stream events for tokens `from` up to `to`, one event per token.
std::string token_events(const std::string& id, const std::string& model, std::uint64_t prompt_hash,
                         std::uint32_t from, std::uint32_t to)
{
    std::string text;
    for (std::uint32_t i = from; i < to; ++i) {
        text += sse(chunk(id, model, {{"content", token_text(prompt_hash, i)}}, nullptr));
    }
    return text;
}

std::string last_events(const std::string& id, const std::string& model, std::uint32_t prompt_tokens,
                        std::uint32_t generated)
{
    json::object last = chunk(id, model, {}, "length");
    last["usage"] = usage(prompt_tokens, generated);
    return sse(last) + "data: [DONE]\n\n";
}

net::http_response whole_answer(const std::string& id, const std::string& model, std::uint64_t prompt_hash,
                                std::uint32_t prompt_tokens, std::uint32_t generated)
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

net::http_header_list id_header(const std::string& id)
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
    BOOST_OUTCOME_TRY(service->m_record.open(service->m_options.record));
    service->publish_events();
    asio::co_spawn(
        service->m_strand, [self = service.get()] { return self->drive(); }, asio::detached);
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
    if (m_silent) {
        co_await wait_forever();
        co_return;
    }
    const target_parts target = split_target(exchange.request().target);
    const auto& path = target.path;
    if (exchange.request().method == "POST" && exchange.request().target == "/v1/chat/completions") {
        co_await complete(exchange);
    } else if (path.size() == 4 && path[1] == "requests" && path[3] == "stream") {
        co_await resume(exchange, path[2]);
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
        return fault(request.body);
    }
    if (request.target == "/v1/orders" && request.method == "POST") {
        return order(request.body);
    }
    if (path.size() == 2 && path[1] == "requests") {
        return list_requests();
    }
    if (path.size() == 3 && path[1] == "requests" && request.method == "DELETE") {
        return cancel(path[2]);
    }
    return error_reply(404, "not_found", "no such path");
}

result<engine_service::ticket> engine_service::submit(const net::http_request& request,
                                                      const json::object& body)
{
    const std::string prompt = prompt_of(body);
    const std::lock_guard lock(m_mutex);
    engine_request work;
    work.id = std::string(request.header("X-Request-Id"));
    if (work.id.empty()) {
        work.id = "local-" + std::to_string(++m_next_id);
    }
    work.model = text_member(body, "model");
    work.priority = header_number(request, "X-Priority");
    work.prompt_tokens = count_tokens(prompt);
    work.max_tokens = static_cast<std::uint32_t>(
        std::max<std::uint64_t>(1, number_member(body, "max_tokens", default_max_tokens)));
    work.prompt_hash = hash_prompt(prompt);
    work.prefix_hash = hash_prefix(prompt);
    if (!contains(m_models, work.model) && !m_adapters.contains(work.model)) {
        return make_error(error_kind::not_found, "the model is not loaded", "load it");
    }
    const std::string id = work.id;
    const result<void> taken = m_engine.submit(std::move(work), engine_now());
    publish_events();
    kick();
    if (!taken) {
        return taken.error();
    }
    return ticket{id, m_engine.find(id)->order};
}

net::task<void> engine_service::complete(net::http_exchange& exchange)
{
    const auto body = parse_object(exchange.request().body);
    if (!body) {
        co_await send_reply(exchange, error_reply(400, "invalid_request", "the body is not a JSON object"));
        co_return;
    }
    const result<ticket> taken = submit(exchange.request(), *body);
    if (!taken) {
        if (taken.error().kind == error_kind::unavailable) {
            // The engine fell over, so the connection breaks without an answer.
            co_return;
        }
        const unsigned code = taken.error().kind == error_kind::conflict ? 409 : 404;
        co_await send_reply(exchange,
                            error_reply(code, to_string(taken.error().kind), taken.error().message));
        co_return;
    }
    const json::value* stream = body->if_contains("stream");
    if (stream != nullptr && stream->is_bool() && stream->as_bool()) {
        co_await stream_tokens(exchange, taken.value(), 0);
    } else {
        co_await reply_whole(exchange, taken.value());
    }
}

net::task<void> engine_service::resume(net::http_exchange& exchange, const std::string& id)
{
    const target_parts target = split_target(exchange.request().target);
    ticket work{id, 0};
    {
        const std::lock_guard lock(m_mutex);
        const held_request* held = m_engine.find(id);
        work.order = held == nullptr ? 0 : held->order;
    }
    if (work.order == 0) {
        co_await send_reply(exchange, error_reply(404, "not_found", "the request is not held"));
        co_return;
    }
    const std::uint64_t from = query_number(target.query, "from").value_or(0);
    co_await stream_tokens(exchange, work, static_cast<std::uint32_t>(from));
}

net::task<void> engine_service::stream_tokens(net::http_exchange& exchange, ticket work, std::uint32_t from)
{
    const auto watch = add_watcher(work.id, co_await asio::this_coro::executor);
    const result<void> started = co_await exchange.start_stream(200, "text/event-stream", id_header(work.id));
    bool open = started.has_value();
    while (open) {
        const stream_view view = co_await wait_for_tokens(*watch, work, from);
        if (!view.found) {
            break;
        }
        std::string text = token_events(work.id, view.model, view.prompt_hash, from, view.generated);
        from = std::max(from, view.generated);
        if (view.finished) {
            text += last_events(work.id, view.model, view.prompt_tokens, view.generated);
        }
        const result<void> written = co_await write_events(exchange, text, view.finished);
        open = written.has_value() && !view.finished;
    }
    remove_watcher(watch);
}

net::task<void> engine_service::reply_whole(net::http_exchange& exchange, ticket work)
{
    const auto watch = add_watcher(work.id, co_await asio::this_coro::executor);
    stream_view view;
    do {
        view = co_await wait_for_tokens(*watch, work, view.generated);
    } while (view.found && !view.finished);
    remove_watcher(watch);
    if (!view.found) {
        co_return;
    }
    co_await send_reply(
        exchange, whole_answer(work.id, view.model, view.prompt_hash, view.prompt_tokens, view.generated));
}

engine_service::stream_view engine_service::view_of(const ticket& work) const
{
    stream_view view;
    const held_request* held = m_engine.find(work.id);
    if (held == nullptr || held->order != work.order) {
        return view;
    }
    view.found = true;
    view.finished = held->state == request_state::finished;
    view.generated = held->generated;
    view.prompt_tokens = held->request.prompt_tokens;
    view.prompt_hash = held->request.prompt_hash;
    view.model = held->request.model;
    return view;
}

net::task<engine_service::stream_view> engine_service::wait_for_tokens(watcher& watch, const ticket& work,
                                                                       std::uint32_t from)
{
    while (true) {
        // Armed before the state is read: a wake-up is posted to this strand and runs only after the
        // coroutine waits, so none is lost.
        watch.timer.expires_at(time_point::max());
        stream_view view;
        {
            const std::lock_guard lock(m_mutex);
            view = view_of(work);
        }
        if (!view.found || view.finished || view.generated > from) {
            co_return view;
        }
        co_await watch.timer.async_wait(net::no_throw);
    }
}

std::shared_ptr<engine_service::watcher> engine_service::add_watcher(const std::string& id,
                                                                     const asio::any_io_executor& executor)
{
    auto watch = std::make_shared<watcher>(executor);
    watch->id = id;
    const std::lock_guard lock(m_mutex);
    m_watchers.emplace(id, watch);
    return watch;
}

void engine_service::remove_watcher(const std::shared_ptr<watcher>& watch)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_watchers, [&](const auto& item) { return item.second == watch; });
}

void engine_service::wake(const std::string& id)
{
    const auto [first, last] = m_watchers.equal_range(id);
    for (auto place = first; place != last; ++place) {
        asio::post(place->second->timer.get_executor(), [watch = place->second] { watch->timer.cancel(); });
    }
}

void engine_service::wake_all()
{
    for (const auto& [id, watch] : m_watchers) {
        asio::post(watch->timer.get_executor(), [held = watch] { held->timer.cancel(); });
    }
}

net::http_response engine_service::list_requests()
{
    const std::lock_guard lock(m_mutex);
    run_engine();
    json::array list;
    for (const auto& [id, held] : m_engine.requests()) {
        list.push_back(json::object{{"id", id},
                                    {"state", to_string(held.state)},
                                    {"kv_tokens", held.kv_tokens},
                                    {"generated", held.generated}});
    }
    return json_reply(json::object{{"requests", list}, {"incarnation", m_engine.incarnation_number()}});
}

net::http_response engine_service::cancel(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    const bool found = m_engine.cancel(id, engine_now());
    publish_events();
    wake(id);
    kick();
    return found ? json_reply(json::object{{"cancelled", id}})
                 : error_reply(404, "not_found", "the request is not held");
}

net::http_response engine_service::status()
{
    const std::lock_guard lock(m_mutex);
    run_engine();
    const engine_load load = m_engine.reported_load(engine_now());
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

net::http_response engine_service::order(const std::string& text)
{
    const auto body = parse_object(text);
    if (!body) {
        return error_reply(400, "invalid_request", "the body is not a JSON object");
    }
    const std::uint64_t fencing = number_member(*body, "fencing", 0);
    const std::string action = text_member(*body, "action");
    const std::string name = text_member(*body, "name");
    const std::lock_guard lock(m_mutex);
    const bool stale = fencing < m_highest_order;
    const bool refused = m_options.check_fencing && stale;
    m_record.write(clock::now(), {{"fact", "order"},
                                  {"fencing", fencing},
                                  {"action", action},
                                  {"name", name},
                                  {"stale", stale},
                                  {"refused", refused}});
    if (refused) {
        return error_reply(409, "stale_fencing", "a higher fencing number was seen");
    }
    m_highest_order = std::max(m_highest_order, fencing);
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
    return json_reply(json::object{{"fencing", m_highest_order}});
}

net::http_response engine_service::fault(const std::string& text)
{
    const auto body = parse_object(text);
    const std::string kind = body ? text_member(*body, "kind") : "";
    const std::lock_guard lock(m_mutex);
    m_record.write(clock::now(), {{"fact", "fault"}, {"kind", kind}});
    if (kind == "cold") {
        m_engine.turn_cold(engine_now());
        publish_events();
    } else if (kind == "die") {
        m_exit();
    } else if (kind == "hang") {
        m_hang_since = engine_now();
        m_silent = text_member(*body, "scope") == "http";
    } else if (kind == "slow") {
        m_engine.set_slowdown(real_member(*body, "factor", 4));
    } else {
        return error_reply(400, "invalid_request", "unknown fault");
    }
    return json_reply(json::object{{"fault", kind}});
}

time_point engine_service::engine_now() const
{
    return m_hang_since ? *m_hang_since : clock::now();
}

void engine_service::run_engine()
{
    m_engine.advance(engine_now());
    publish_events();
}

void engine_service::publish_events()
{
    for (const engine_event& event : m_engine.take_events()) {
        if (event.fact == engine_fact::overload) {
            wake_all();
        } else if (!event.id.empty()) {
            wake(event.id);
        }
        if (event.fact == engine_fact::progress) {
            continue;
        }
        json::object line = {{"fact", to_string(event.fact)}, {"tokens", event.tokens}};
        if (!event.id.empty()) {
            line["id"] = event.id;
        }
        if (!event.reason.empty()) {
            line["reason"] = event.reason;
        }
        m_record.write(event.at, std::move(line));
    }
}

net::task<void> engine_service::drive()
{
    while (true) {
        // Armed before the engine runs, see wait_for_tokens().
        m_timer.expires_at(time_point::max());
        std::optional<time_point> next;
        {
            const std::lock_guard lock(m_mutex);
            run_engine();
            next = m_hang_since ? std::nullopt : m_engine.next_step();
        }
        if (next) {
            m_timer.expires_at(*next);
        }
        co_await m_timer.async_wait(net::no_throw);
    }
}

void engine_service::kick()
{
    asio::post(m_strand, [this] { m_timer.cancel(); });
}

} // namespace verbena::standin
