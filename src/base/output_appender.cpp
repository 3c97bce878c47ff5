#include "base/output_appender.h"

#include <log4cxx/helpers/transcoder.h>

#include <unistd.h>

IMPLEMENT_LOG4CXX_OBJECT(output_appender)

void output_appender::append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool&)
{
    LOG4CXX_ENCODE_CHAR(line, event->getMessage());
    line += '\n';
    if (m_pending.size() + line.size() > max_pending_bytes) {
        ++m_left_out;
    } else {
        m_pending += line;
    }
    // The rest of a partially written line precedes new lines, so that lines are never interleaved.
    const ssize_t written = ::write(STDOUT_FILENO, m_pending.data(), m_pending.size());
    if (written > 0) {
        m_pending.erase(0, static_cast<std::size_t>(written));
    }
}
