#pragma once

#include "agent/agent_service.h"
#include "control/control_service.h"
#include "entry/entry_service.h"
#include "net/http_client.h"
#include "net_fixture.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

// What a scripted engine does with each request.
struct engine_script {
    enum class resume_answer : std::uint8_t {
        events,
        not_found,
        server_error,
        other_type,
        no_events,
        other_id
    };

    // Times at which the engine generates nothing: before the event with the index, for the duration.
    struct pause {
        std::uint32_t before = 0;
        verbena::milliseconds duration{};
    };

    std::uint32_t tokens = 6;
    std::vector<pause> pauses;
    // During a pause the engine answers no call at all.
    bool suspended_in_pauses = false;
    // Each stream closes after this many of its events; 0: none.
    std::uint32_t close_after = 0;
    // The first stream writes half of the event that follows, and closes.
    bool close_inside_event = false;
    resume_answer resumes = resume_answer::events;
    // Head and body of the first answer in place of events; 0: events.
    unsigned status = 0;
    std::string content_type = "application/json";
    std::string body;
    verbena::milliseconds body_pause{};
};

// Engine with the chat-completions API that follows a script. A request goes on without a connection; its
// streams show its progress.
class scripted_engine : public verbena::net::http_handler {
public:
    verbena::net::task<void> handle(verbena::net::http_exchange& exchange) override;

    void set(engine_script script);
    std::size_t runs() const;
    std::size_t resumes() const;
    // Cancellations of requests of the script that had not ended.
    std::size_t cancels() const;

private:
    struct run {
        std::string id;
        verbena::time_point start;
        engine_script script;
        bool ended = false; // all of its answer is generated

        verbena::time_point time_of(std::uint32_t event) const;
        // End of the pause at this time; the time itself when there is none.
        verbena::time_point pause_end(verbena::time_point now) const;
    };

    verbena::net::task<void> complete(verbena::net::http_exchange& exchange, std::string id);
    verbena::net::task<void> resume(verbena::net::http_exchange& exchange, std::string id);
    verbena::net::task<void> write_events(verbena::net::http_exchange& exchange, run running,
                                          std::uint32_t from, bool first);
    verbena::net::http_response reply_to(const verbena::net::http_request& request);
    void end_run(const std::string& id);
    verbena::time_point silent_until() const;

    mutable std::mutex m_mutex;
    engine_script m_script;
    std::map<std::string, run> m_runs;
    std::size_t m_resumes = 0;
    std::size_t m_cancels = 0;
};

// One control process, one entry and one agent with a scripted engine, in one process on loopback.
class chat_deployment {
public:
    struct options {
        std::uint16_t engine_port = 0; // of another engine; 0: the scripted one
        bool plain = false;            // the other one is a plain service
    };

    struct answer {
        unsigned status = 0; // 0: no head
        bool complete = false;
        std::string content_type;
        std::string body;
        verbena::milliseconds duration{};
    };

    chat_deployment() : chat_deployment(options{}) {}
    explicit chat_deployment(options engine_options);
    chat_deployment(const chat_deployment&) = delete;
    chat_deployment& operator=(const chat_deployment&) = delete;
    ~chat_deployment();

    // Sends a chat request through the entry and waits for the answer.
    answer request(bool streamed = true, verbena::milliseconds deadline = verbena::milliseconds(8'000));

    // Sends a call through the entry and waits for the answer.
    answer send(verbena::net::http_call call, verbena::milliseconds deadline);

    // Whether a chat request, or one to the plain service, is answered as a whole.
    bool served();

    scripted_engine engine;

private:
    struct role {
        std::unique_ptr<verbena::node::process> process;
        std::unique_ptr<std::thread> worker;
    };

    static std::unique_ptr<verbena::node::process> make_process(const std::string& name,
                                                                const std::string& control);
    void start_control();
    void start_agent();
    void start_entry();
    void configure();
    bool change(const std::string& json);
    void run(std::unique_ptr<verbena::node::process> process);

    net_threads m_threads;
    options m_options;
    verbena::metrics m_counters;
    std::shared_ptr<verbena::net::http_server> m_engine_server;
    std::vector<role> m_roles;
    std::string m_folder;
    std::uint16_t m_control_port = 0;
    std::uint16_t m_operator_port = 0;
    std::uint16_t m_entry_port = 0;
};
