#pragma once

#include <boost/histogram.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace verbena {

// Label names and values of a metric, in output order.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

// Counters, gauges and latency histograms of a process, rendered in the Prometheus text exposition format.
// One mutex guards the tables; it is the last in the lock order. A series is kept for the lifetime of the
// process, so label values must come from the configuration (teams, classes), never from clients.
class metrics {
public:
    void add(const std::string& name, const metric_labels& labels, std::uint64_t amount = 1);

    // Registers a gauge whose value is read on each call of render().
    void gauge(const std::string& name, const metric_labels& labels, std::function<double()> read);

    // Records a duration. Buckets are logarithmic from 100 us to 3600 s.
    void observe(const std::string& name, const metric_labels& labels, std::chrono::nanoseconds value);

    // Returns the current value of a counter; 0 when it does not exist.
    std::uint64_t value(const std::string& name, const metric_labels& labels) const;

    std::string render() const;

private:
    using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using duration_histogram = decltype(boost::histogram::make_histogram(log_axis(1, 1.0, 2.0)));

    struct histogram_series {
        duration_histogram buckets;
        double sum = 0;
        std::uint64_t count = 0;
    };

    using series_key = std::pair<std::string, std::string>;

    mutable std::mutex m_mutex;
    std::map<series_key, std::uint64_t> m_counters;
    std::map<series_key, std::function<double()>> m_gauges;
    std::map<series_key, histogram_series> m_histograms;
};

} // namespace verbena
