#include "standin/record.h"

#include <boost/json/serialize.hpp>

namespace verbena::standin {

result<void> fact_record::open(const std::string& file)
{
    if (file.empty()) {
        return success();
    }
    m_file.open(file, std::ios::app);
    if (!m_file) {
        return make_error(error_kind::io, "cannot open the record " + file, "check the folder");
    }
    return success();
}

void fact_record::write(time_point at, boost::json::object line)
{
    const auto since_boot = std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch());
    line["at_us"] = since_boot.count();
    const std::string text = boost::json::serialize(line) + "\n";
    const std::lock_guard lock(m_mutex);
    if (m_file.is_open()) {
        m_file << text << std::flush;
    }
}

} // namespace verbena::standin
