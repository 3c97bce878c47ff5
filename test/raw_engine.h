#pragma once

#include "net_fixture.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

// What an engine or a plain service does with each request, byte by byte. HTTP servers send no such answers.
struct raw_script {
    std::string text;     // empty: a whole answer
    bool endless = false; // the text again and again
    bool early = false;   // before the body of the request is read, which resets the connection at its end
    bool reset = false;
};

// Engine, or plain service, that follows a script. It answers the calls that are no requests of callers.
class raw_engine {
public:
    static constexpr const char* whole_body = "{\"whole\":true}";

    explicit raw_engine(verbena::net::asio::io_context& io)
        : m_acceptor(io, {verbena::net::asio::ip::address_v4::loopback(), 0})
    {
        verbena::net::asio::co_spawn(
            verbena::net::asio::make_strand(io), [this] { return accept_loop(); },
            verbena::net::asio::detached);
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    void set(raw_script script)
    {
        const std::lock_guard lock(m_mutex);
        m_script = std::move(script);
        m_runs = 0;
    }

    std::size_t runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    static std::string whole(const std::string& status, const std::string& body)
    {
        return "HTTP/1.1 " + status +
               "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }

    raw_script script_for(const std::string& head)
    {
        if (head.starts_with("GET /v1/status")) {
            return {whole("200 OK", R"({"incarnation":1,"cold":false,"capacity_tokens":1000000})")};
        }
        if (head.starts_with("GET /v1/requests")) {
            const bool resumes = head.find("/stream?from=") < head.find('\r');
            return {resumes ? whole("404 Not Found", "") : whole("200 OK", "[]")};
        }
        if (head.starts_with("DELETE ")) {
            return {whole("200 OK", "")};
        }
        const std::lock_guard lock(m_mutex);
        ++m_runs;
        return m_script.text.empty() ? raw_script{whole("200 OK", whole_body)} : m_script;
    }

    verbena::net::task<void> accept_loop()
    {
        while (true) {
            auto [failure, socket] = co_await m_acceptor.async_accept(verbena::net::no_throw);
            if (failure) {
                co_return;
            }
            auto peer = std::make_shared<verbena::net::tcp::socket>(std::move(socket));
            verbena::net::asio::co_spawn(
                m_acceptor.get_executor(), [this, peer] { return serve(peer); },
                verbena::net::asio::detached);
        }
    }

    verbena::net::task<void> serve(std::shared_ptr<verbena::net::tcp::socket> peer)
    {
        namespace asio = verbena::net::asio;
        std::string received;
        auto [failure, head] = co_await asio::async_read_until(*peer, asio::dynamic_buffer(received),
                                                               "\r\n\r\n", verbena::net::no_throw);
        if (failure) {
            co_return;
        }
        const raw_script script = script_for(received);
        const std::string field = "Content-Length: ";
        const std::size_t length = received.find(field);
        const std::size_t body =
            length < head ? std::stoul(received.substr(length + field.size())) : std::size_t{0};
        if (!script.early && received.size() < head + body) {
            std::string rest(head + body - received.size(), ' ');
            co_await asio::async_read(*peer, asio::buffer(rest), verbena::net::no_throw);
        }
        bool connected = true;
        do {
            auto [failed, size] =
                co_await asio::async_write(*peer, asio::buffer(script.text), verbena::net::no_throw);
            connected = !failed;
        } while (script.endless && connected);
        co_await verbena::net::sleep_for(std::chrono::milliseconds(50)); // a reset discards what is unread
        verbena::net::error_code ignored;
        if (script.reset) {
            peer->set_option(asio::socket_base::linger(true, 0), ignored);
        }
        peer->close(ignored);
    }

    verbena::net::tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex;
    raw_script m_script;
    std::size_t m_runs = 0;
};
