#include "standin/record.h"

#include <boost/json/serialize.hpp>

namespace verbena::standin {

result<void> event_log::open(const std::string& path)
{
    if (path.empty()) {
        return success();
    }
    m_file.open(path, std::ios::app);
    if (!m_file) {
        return make_error(error_kind::io, "cannot open the event log " + path,
                          "check that the directory exists and is writable");
    }
    return success();
}

void event_log::write(time_point time, boost::json::object line)
{
    const auto since_boot = std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
    line["at_us"] = since_boot.count();
    const std::string text = boost::json::serialize(line) + "\n";
    const std::lock_guard lock(m_mutex);
    if (m_file.is_open()) {
        m_file << text << std::flush;
    }
}

} // namespace verbena::standin
