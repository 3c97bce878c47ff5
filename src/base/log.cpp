#include "base/log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace verbena::log {

namespace {

constexpr const char* line_pattern = "%d{yyyy-MM-dd HH:mm:ss.SSS} %p %m%n";

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("verbenaproxy");
    return instance;
}

log4cxx::AppenderPtr make_appender(const std::string& file)
{
    auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR(line_pattern));
    if (file.empty()) {
        return std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    }
    LOG4CXX_DECODE_CHAR(name, file);
    return std::make_shared<log4cxx::FileAppender>(layout, name, true);
}

} // namespace

result<void> configure(std::string_view level, const std::string& file)
{
    const std::string level_name = level.empty() ? "info" : std::string(level);
    LOG4CXX_DECODE_CHAR(decoded, level_name);
    const log4cxx::LevelPtr parsed_level = log4cxx::Level::toLevelLS(decoded, log4cxx::LevelPtr());
    if (!parsed_level) {
        return make_error(error_kind::invalid_settings, "unknown log level '" + level_name + "'",
                          "use trace, debug, info, warn or error");
    }
    logger()->removeAllAppenders();
    logger()->addAppender(make_appender(file));
    logger()->setLevel(parsed_level);
    return success();
}

void info(std::string_view text)
{
    LOG4CXX_INFO(logger(), std::string(text));
}

void warn(std::string_view text)
{
    LOG4CXX_WARN(logger(), std::string(text));
}

void failure(std::string_view text)
{
    LOG4CXX_ERROR(logger(), std::string(text));
}

} // namespace verbena::log
