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

namespace verbena::event_log {

namespace {

struct rate {
    double allowance = most_lines_at_once;
    std::chrono::steady_clock::time_point filled = std::chrono::steady_clock::now();
    std::uint64_t left_out = 0;
};

struct state {
    std::mutex mutex;
    std::string process_name;
    bool configured = false;
    std::map<std::string, rate, std::less<>> rates;
    std::atomic<std::uint64_t> left_out{0};
};

state& shared()
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
    const std::time_t whole = std::chrono::system_clock::to_time_t(now);
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&whole, &parts);
    char text[40];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text + length, sizeof text - length, ".%03dZ", static_cast<int>(ms));
    return text;
}

} // namespace

void configure(const std::string& process_name)
{
    state& log = shared();
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

std::uint64_t left_out()
{
    return shared().left_out + appender()->left_out();
}

namespace detail {

bool admit(std::string_view kind)
{
    state& log = shared();
    const std::lock_guard lock(log.mutex);
    if (!log.configured) {
        return false;
    }
    auto found = log.rates.find(kind);
    if (found == log.rates.end()) {
        found = log.rates.emplace(std::string(kind), rate{}).first;
    }
    rate& value = found->second;
    const auto now = std::chrono::steady_clock::now();
    const double passed = std::chrono::duration<double>(now - value.filled).count();
    value.allowance = std::min(most_lines_at_once, value.allowance + passed * lines_per_second);
    value.filled = now;
    if (value.allowance < 1) {
        ++value.left_out;
        ++log.left_out;
        return false;
    }
    value.allowance -= 1;
    return true;
}

void write(std::string_view kind, std::string_view fields)
{
    state& log = shared();
    std::string line = R"({"time":")" + time_text() + R"(","process":")";
    {
        const std::lock_guard lock(log.mutex);
        line.append(log.process_name).append(R"(","event":")").append(kind).append("\"");
        rate& value = log.rates.find(kind)->second;
        if (value.left_out != 0) {
            line.append(R"(,"left_out":)").append(std::to_string(value.left_out));
            value.left_out = 0;
        }
    }
    const auto first = fields.find('"');
    line.append(first == std::string_view::npos ? "" : ",");
    line.append(first == std::string_view::npos ? std::string_view("}") : fields.substr(first));
    LOG4CXX_INFO(logger(), line);
}

} // namespace detail

} // namespace verbena::event_log
