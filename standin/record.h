#pragma once

#include "base/error.h"
#include "base/types.h"

#include <boost/json/object.hpp>

#include <fstream>
#include <mutex>
#include <string>

namespace verbena::standin {

// Appends one JSON line per event to a file and flushes it, so that test checkers can read what the stand-in
// itself observed. Discards the lines when no file is open. Thread safe.
class event_log {
public:
    // An empty path opens no file.
    result<void> open(const std::string& path);

    // Writes a line with the time added as `at_us`, in microseconds of the monotonic clock, which all
    // processes of a VM share.
    void write(time_point time, boost::json::object line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace verbena::standin
