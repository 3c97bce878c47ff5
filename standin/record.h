#pragma once

#include "base/error.h"
#include "base/types.h"

#include <boost/json/object.hpp>

#include <fstream>
#include <mutex>
#include <string>

namespace verbena::standin {

// Appends one JSON line per fact to a file, flushed at once, so that checkers read what the stand-in saw
// itself. Without a file it drops the lines. Thread safe.
class fact_record {
public:
    // An empty file name means no record.
    result<void> open(const std::string& file);

    // Adds the time, `at_us` in microseconds of the monotonic clock, which all processes of a VM share.
    void write(time_point at, boost::json::object line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace verbena::standin
