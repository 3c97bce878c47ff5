#include "base/event_log.h"

#include "base/output_appender.h"

#include <log4cxx/logger.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <map>
#include <memory>
#include <mutex>
#include <unistd.h>
#include <utility>

namespace verbena::event_log {

namespace {

// Token bucket of one kind of event; one token per line.
struct rate_limit {
    double tokens = max_burst_lines;
    std::chrono::steady_clock::time_point refilled_at = std::chrono::steady_clock::now();
    std::uint64_t left_out = 0;
};

struct state {
    std::mutex mutex;
    std::string process_name;
    std::function<void(const std::string&)> destination; // empty: standard output
    bool configured = false;
    std::map<std::string, rate_limit, std::less<>> rate_limits;
    std::atomic<std::uint64_t> left_out{0};
};

state& global_state()
{
    static state instance;
    return instance;
}

std::shared_ptr<output_appender>& appender()
{
    static std::shared_ptr<output_appender> instance = std::make_shared<output_appender>();
    return instance;
}

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("verbenaproxy.events");
    return instance;
}

std::string time_text()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    char text[40];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &utc);
    std::snprintf(text + length, sizeof text - length, ".%03dZ", static_cast<int>(ms));
    return text;
}

} // namespace

void configure(const std::string& process_name)
{
    state& log = global_state();
    const std::lock_guard lock(log.mutex);
    log.process_name = process_name;
    log.configured = true;
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    logger()->removeAllAppenders();
    logger()->setAdditivity(false);
    logger()->setLevel(log4cxx::Level::getInfo());
    logger()->addAppender(appender());
}

void configure(const std::string& process_name, std::function<void(const std::string&)> destination)
{
    state& log = global_state();
    const std::lock_guard lock(log.mutex);
    log.process_name = process_name;
    log.destination = std::move(destination);
    log.configured = true;
}

std::uint64_t left_out()
{
    return global_state().left_out + appender()->left_out();
}

namespace detail {

bool admit(std::string_view kind)
{
    state& log = global_state();
    const std::lock_guard lock(log.mutex);
    if (!log.configured) {
        return false;
    }
    auto found = log.rate_limits.find(kind);
    if (found == log.rate_limits.end()) {
        found = log.rate_limits.emplace(std::string(kind), rate_limit{}).first;
    }
    rate_limit& limit = found->second;
    const auto now = std::chrono::steady_clock::now();
    const double elapsed_seconds = std::chrono::duration<double>(now - limit.refilled_at).count();
    limit.tokens = std::min(max_burst_lines, limit.tokens + elapsed_seconds * lines_per_second);
    limit.refilled_at = now;
    if (limit.tokens < 1) {
        ++limit.left_out;
        ++log.left_out;
        return false;
    }
    limit.tokens -= 1;
    return true;
}

void write(std::string_view kind, std::string_view fields)
{
    state& log = global_state();
    std::string line = R"({"time":")" + time_text() + R"(","process":")";
    {
        const std::lock_guard lock(log.mutex);
        line.append(log.process_name).append(R"(","event":")").append(kind).append("\"");
        rate_limit& limit = log.rate_limits.find(kind)->second;
        if (limit.left_out != 0) {
            line.append(R"(,"left_out":)").append(std::to_string(limit.left_out));
            limit.left_out = 0;
        }
    }
    const auto first_field = fields.find('"');
    line.append(first_field == std::string_view::npos ? "" : ",");
    line.append(first_field == std::string_view::npos ? std::string_view("}") : fields.substr(first_field));
    if (log.destination) {
        log.destination(line);
    } else {
        LOG4CXX_INFO(logger(), line);
    }
}

} // namespace detail

} // namespace verbena::event_log
