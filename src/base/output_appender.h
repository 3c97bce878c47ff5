#pragma once

#include <log4cxx/appenderskeleton.h>

#include <atomic>
#include <string>

// The log4cxx macros refer to its nested namespaces without the outer one.
using namespace log4cxx; // NOLINT(google-build-using-namespace)

// Non-blocking appender for standard output. Output that a slow reader has not consumed is buffered up to a
// limit; lines beyond it are dropped and counted.
class output_appender : public log4cxx::AppenderSkeleton {
public:
    DECLARE_LOG4CXX_OBJECT(output_appender)
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(output_appender)
    LOG4CXX_CAST_ENTRY_CHAIN(log4cxx::AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override;
    void close() override {}
    bool requiresLayout() const override { return false; }

    std::uint64_t left_out() const { return m_left_out; }

private:
    static constexpr std::size_t max_pending_bytes = std::size_t{64} * 1024;

    std::string m_pending;
    std::atomic<std::uint64_t> m_left_out{0};
};
