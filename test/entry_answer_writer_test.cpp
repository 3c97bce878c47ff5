#include "entry/answer_writer.h"
#include "net/http_client.h"
#include "net_fixture.h"

using namespace verbena;
using namespace std::chrono_literals;

namespace {

const entry::caller_error failure{502, "answer_broken", "text of an error", "send the request again"};

// Writes part of a response and then reports that it broke off.
class interrupted_response : public net::http_handler {
public:
    net::task<void> handle(net::http_exchange& exchange) override
    {
        entry::stream_writer writer(exchange, clock::now(), [](clock::duration) {});
        writer.head(200, content_type);
        for (const std::string& part : parts) {
            (void)co_await writer.data(part);
        }
        co_await writer.fail(failure);
    }

    std::string content_type = "text/event-stream";
    std::vector<std::string> parts;
};

struct fixture {
    net_threads threads;
    metrics counters;
    interrupted_response handler;
    std::shared_ptr<net::http_server> server =
        net::http_server::create(threads.io, {"127.0.0.1", 0}, {}, handler, counters, "test").value();

    fixture() { server->start(); }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;
    ~fixture() { threads.stop(); }

    // What the caller receives of a response that breaks off after `parts`.
    std::string received(const std::string& content_type, std::vector<std::string> parts)
    {
        handler.content_type = content_type;
        handler.parts = std::move(parts);
        const host_port address{"127.0.0.1", server->port()};
        const std::function<net::task<std::string>()> fetch = [address]() -> net::task<std::string> {
            const net::http_call call;
            auto opened = co_await net::open_http(address, call, 5s, 5s);
            std::string body;
            while (opened) {
                const result<std::string> bytes = co_await opened.value()->read_some(5s);
                if (!bytes || bytes.value().empty()) {
                    body += bytes ? "(complete)" : "";
                    break;
                }
                body += bytes.value();
            }
            co_return body;
        };
        return threads.run<std::string>(fetch);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_answer_writer, fixture)

// Guards against the text of an error inside an event or inside a body that has no events.
BOOST_AUTO_TEST_CASE(error_event_is_written_only_after_a_whole_event)
{
    const std::string type = "text/event-stream";
    BOOST_TEST(received(type, {"data: 1\n\n"}) == "data: 1\n\n" + to_event(failure));
    BOOST_TEST(received(type, {"data: 1\n", "\n"}) == "data: 1\n\n" + to_event(failure));
    BOOST_TEST(received(type, {"data: 1\n\n", "data: {\"tok"}) == "data: 1\n\ndata: {\"tok");
    BOOST_TEST(received("application/json", {"{\"half\":\n\n"}) == "{\"half\":\n\n");
}

BOOST_AUTO_TEST_SUITE_END()
