#include "entry/key_dispatcher.h"
#include "net_peers.h"

#include <xxhash.h>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t agent_incarnation = 7;

using stream_ptr = std::shared_ptr<net::frame_stream>;

// Agent and control process in one: passes the first frame of each stream to the test's function.
class scripted_peer : public net::connection_handler {
public:
    void on_stream(const stream_ptr& stream, net::received_frame first) override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_streams.push_back(stream);
        }
        on_frame(stream, *first.frame);
    }

    void close()
    {
        const std::lock_guard lock(m_mutex);
        for (const stream_ptr& stream : m_streams) {
            stream->parent()->close(make_error(error_kind::unavailable, "the test has ended"));
        }
        m_streams.clear();
    }

    std::function<void(const stream_ptr&, const wire::frame&)> on_frame;

private:
    std::mutex m_mutex;
    std::vector<stream_ptr> m_streams;
};

struct fixture {
    fixture()
    {
        net::connection_options options;
        options.self = {wire::role::agent, "model-1", "cluster", agent_incarnation};
        server = net::frame_server::create(threads.io, {"127.0.0.1", 0}, options, peer).value();
        server->start();
        options.self = {wire::role::entry, "entry-1", "cluster", 2};
        pool = std::make_shared<net::peer_pool>(threads.io, options, nullptr);
        attempts = std::make_unique<entry::attempt_client>(pool, entry::attempt_client::options{2, 1s},
                                                           selector, config, counters);
        wire::announcementT announcement;
        announcement.endpoint = "model-1";
        announcement.address = "127.0.0.1:" + std::to_string(server->port());
        announcement.incarnation = agent_incarnation;
        announcement.service = "chat";
        announcement.models = {"m"};
        announcement.memory_tokens = 1'000'000;
        selector.on_endpoint("model-1", &announcement);
        request.id = {1, 2};
        request.service = "chat";
        request.model = "m";
        request.arrived = clock::now();
        request.deadline = clock::now() + 5s;
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;
    ~fixture()
    {
        peer.close();
        for (const auto& connection : pool->open_connections()) {
            connection->close(make_error(error_kind::unavailable, "the test has ended"));
        }
        threads.stop();
    }

    entry::attempt_result run_attempt()
    {
        const std::function<net::task<entry::attempt_result>()> run =
            [this]() -> net::task<entry::attempt_result> {
            const entry::chosen_endpoint endpoint = selector.find("model-1").value();
            auto cancellation = std::make_shared<entry::request_cancellation>();
            co_return co_await attempts->run(request, endpoint, 1, 0ms, answer, cancellation);
        };
        return threads.run<entry::attempt_result>(run);
    }

    entry::dispatch_result run_keyed()
    {
        request.repeatable = false;
        request.key = "key";
        node::control_client::options options;
        options.members = {{"127.0.0.1", server->port()}};
        auto control = std::make_shared<node::control_client>(threads.io, options, pool, config, nullptr,
                                                              nullptr, counters);
        entry::key_dispatcher dispatcher(*attempts, selector, *control, pool, counters);
        const std::function<net::task<entry::dispatch_result>()> run =
            [&]() -> net::task<entry::dispatch_result> {
            auto cancellation = std::make_shared<entry::request_cancellation>();
            co_return co_await dispatcher.run(request, answer, cancellation);
        };
        return threads.run<entry::dispatch_result>(run);
    }

    metrics counters;
    net_threads threads;
    scripted_peer peer;
    node::config_view config;
    entry::endpoint_selector selector{"", {}, 0.2};
    std::shared_ptr<net::frame_server> server;
    std::shared_ptr<net::peer_pool> pool;
    std::unique_ptr<entry::attempt_client> attempts;
    entry::caller_request request;
    entry::buffered_answer answer{1'000'000};
};

std::unique_ptr<wire::request_id> id_of(std::uint64_t low)
{
    return std::make_unique<wire::request_id>(1, low);
}

std::vector<std::uint8_t> bytes_of(std::string_view text)
{
    return {text.begin(), text.end()};
}

void send_admitted(const stream_ptr& stream)
{
    wire::admittedT message;
    message.id = id_of(2);
    message.attempt = 1;
    message.agent_incarnation = agent_incarnation;
    stream->send(net::make_frame(std::move(message)));
}

void send_head(const stream_ptr& stream)
{
    wire::answer_headT message;
    message.id = id_of(2);
    message.attempt = 1;
    message.agent_incarnation = agent_incarnation;
    message.status = 200;
    stream->send(net::make_frame(std::move(message)));
}

void send_data(const stream_ptr& stream, std::uint64_t offset, std::string_view text)
{
    wire::answer_dataT message;
    message.id = id_of(2);
    message.attempt = 1;
    message.offset = offset;
    message.bytes = bytes_of(text);
    stream->send(net::make_frame(std::move(message)));
}

void send_end(const stream_ptr& stream, std::string_view whole)
{
    wire::answer_endT message;
    message.id = id_of(2);
    message.attempt = 1;
    message.total = whole.size();
    message.hash = XXH3_64bits(whole.data(), whole.size());
    stream->send(net::make_frame(std::move(message)));
}

// The two messages that say that the attempt has not run.
enum class not_run_message : std::uint8_t { refused, failed };

void send_not_run(const stream_ptr& stream, not_run_message kind)
{
    if (kind == not_run_message::refused) {
        wire::refusedT message;
        message.id = id_of(2);
        message.attempt = 1;
        message.reason = wire::refusal::queue_full;
        stream->send(net::make_frame(std::move(message)));
        return;
    }
    wire::failedT message;
    message.id = id_of(2);
    message.attempt = 1;
    message.result = wire::outcome::not_run;
    stream->send(net::make_frame(std::move(message)));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_attempt, fixture)

// Guards against a second run of an unsafe request because the state of another attempt says "not run".
BOOST_AUTO_TEST_CASE(state_of_another_attempt_proves_nothing)
{
    std::atomic<int> queries = 0;
    std::atomic<int> rebinds = 0;
    std::atomic<int> submits = 0;
    peer.on_frame = [&](const stream_ptr& stream, const wire::frame& frame) {
        if (const wire::key_bind* bind = frame.message_as_key_bind()) {
            rebinds += bind->replaces() ? 1 : 0;
            wire::key_replyT reply;
            reply.state = bind->replaces() ? wire::key_state::bound : wire::key_state::bound_elsewhere;
            reply.id = id_of(2);
            reply.attempt = 1;
            reply.endpoint = "model-1";
            reply.agent_incarnation = agent_incarnation;
            stream->send(net::make_frame(std::move(reply)));
        } else if (frame.message_as_key_finish() != nullptr) {
            stream->send(net::make_frame(wire::key_replyT{}));
        } else if (frame.message_as_attempt_query() != nullptr) {
            const int query = queries++;
            wire::attempt_stateT other;
            other.id = id_of(query == 0 ? 3 : 2);
            other.attempt = query == 0 ? 1 : 2;
            other.phase = query == 0 ? wire::attempt_phase::never_seen : wire::attempt_phase::done;
            other.not_run = query == 0;
            other.answer = bytes_of("answer of another attempt");
            stream->send(net::make_frame(std::move(other)));
            wire::attempt_stateT own;
            own.id = id_of(2);
            own.attempt = 1;
            own.phase = query == 0 ? wire::attempt_phase::running : wire::attempt_phase::done;
            own.status = 200;
            own.answer = bytes_of("own answer");
            stream->send(net::make_frame(std::move(own)));
        } else if (frame.message_as_submit() != nullptr) {
            ++submits;
            send_not_run(stream, not_run_message::refused);
        }
    };
    const entry::dispatch_result outcome = run_keyed();
    BOOST_TEST(outcome.done);
    BOOST_TEST(answer.body() == "own answer");
    BOOST_TEST(queries == 2);
    BOOST_TEST(rebinds == 0);
    BOOST_TEST(submits == 0);
}

// Guards against an answer that is cut, or whose request counts as not run, after a frame that contradicts
// it.
BOOST_AUTO_TEST_CASE(not_run_after_the_answer_has_begun_is_not_believed)
{
    for (const auto kind : {not_run_message::refused, not_run_message::failed}) {
        for (const bool with_data : {true, false}) {
            BOOST_TEST_CONTEXT("message " << int(kind) << ", with data: " << with_data)
            {
                std::atomic<int> resumes = 0;
                answer.reset();
                peer.on_frame = [&](const stream_ptr& stream, const wire::frame& frame) {
                    if (frame.message_as_submit() != nullptr) {
                        send_admitted(stream);
                        send_head(stream);
                        if (with_data) {
                            send_data(stream, 0, "first ");
                        }
                        send_not_run(stream, kind);
                    } else if (const wire::resume* resume = frame.message_as_resume()) {
                        ++resumes;
                        const std::string_view whole = "first second";
                        send_data(stream, resume->offset(), whole.substr(resume->offset()));
                        send_end(stream, whole);
                    }
                };
                const entry::attempt_result ended = run_attempt();
                BOOST_TEST((ended.outcome == attempt_outcome::done));
                BOOST_TEST(answer.body() == "first second");
                BOOST_TEST(resumes == 1);
            }
        }
    }
}

// Guards against endless resumes of an attempt whose agent contradicts itself each time.
BOOST_AUTO_TEST_CASE(outcome_is_unknown_when_the_agent_contradicts_its_answer)
{
    std::atomic<int> resumes = 0;
    peer.on_frame = [&](const stream_ptr& stream, const wire::frame& frame) {
        if (frame.message_as_submit() != nullptr) {
            send_admitted(stream);
            send_head(stream);
            send_data(stream, 0, "first ");
        }
        resumes += frame.message_as_resume() != nullptr ? 1 : 0;
        send_not_run(stream, not_run_message::failed);
    };
    const entry::attempt_result ended = run_attempt();
    BOOST_TEST((ended.outcome == attempt_outcome::unknown));
    BOOST_TEST((ended.refusal == wire::refusal::none));
    BOOST_TEST(resumes == 3);
}

// Guards against a refusal from the agent's queue that no longer lets another endpoint be asked.
BOOST_AUTO_TEST_CASE(not_run_before_the_answer_is_believed)
{
    for (const auto kind : {not_run_message::refused, not_run_message::failed}) {
        peer.on_frame = [&](const stream_ptr& stream, const wire::frame&) {
            send_admitted(stream);
            send_not_run(stream, kind);
        };
        BOOST_TEST((run_attempt().outcome == attempt_outcome::not_run));
    }
}

BOOST_AUTO_TEST_SUITE_END()
