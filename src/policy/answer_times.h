#pragma once

#include "base/types.h"

#include <map>
#include <mutex>
#include <string>

namespace verbena::policy {

// The longest recent answers of each route, from the arrival of a request to the end of its answer. An answer
// counts for 30 to 60 s. Thread-safe; its mutex is held alone.
class answer_times {
public:
    void record(const std::string& route, milliseconds time, time_point now);

    // 0 when there are no recent answers.
    milliseconds longest(const std::string& route, time_point now) const;

private:
    struct periods {
        time_point begin; // of the current one
        milliseconds current{};
        milliseconds previous{};
    };

    static periods at(const periods& value, time_point now);

    mutable std::mutex m_mutex;
    std::map<std::string, periods> m_routes;
};

} // namespace verbena::policy
