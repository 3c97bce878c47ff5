#include "base/metrics.h"

#include <sstream>

namespace verbena {

namespace {

constexpr int bucket_count = 38;
constexpr double min_seconds = 1e-4;
constexpr double max_seconds = 3600;

std::string escape(const std::string& value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            text += '\\';
        }
        text += c == '\n' ? ' ' : c;
    }
    return text;
}

std::string label_text(const metric_labels& labels)
{
    std::string text;
    for (const auto& [name, value] : labels) {
        if (!text.empty()) {
            text += ',';
        }
        text += name + "=\"" + escape(value) + '"';
    }
    return text;
}

std::string label_block(const std::string& labels)
{
    return labels.empty() ? std::string() : '{' + labels + '}';
}

void write_type_line(std::ostream& out, std::string& last_name, const std::string& name, const char* type)
{
    if (last_name != name) {
        out << "# TYPE " << name << ' ' << type << '\n';
        last_name = name;
    }
}

} // namespace

void metrics::add(const std::string& name, const metric_labels& labels, std::uint64_t amount)
{
    const std::lock_guard lock(m_mutex);
    m_counters[{name, label_text(labels)}] += amount;
}

void metrics::gauge(const std::string& name, const metric_labels& labels, std::function<double()> read)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[{name, label_text(labels)}] = std::move(read);
}

void metrics::observe(const std::string& name, const metric_labels& labels, std::chrono::nanoseconds value)
{
    const double seconds = std::chrono::duration<double>(value).count();
    const std::lock_guard lock(m_mutex);
    auto [position, inserted] = m_histograms.try_emplace(series_key{name, label_text(labels)});
    histogram_series& series = position->second;
    if (inserted) {
        series.buckets = boost::histogram::make_histogram(log_axis(bucket_count, min_seconds, max_seconds));
    }
    series.buckets(std::max(seconds, min_seconds));
    series.sum += seconds;
    ++series.count;
}

std::uint64_t metrics::value(const std::string& name, const metric_labels& labels) const
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_counters.find({name, label_text(labels)});
    return position == m_counters.end() ? 0 : position->second;
}

std::string metrics::render() const
{
    std::ostringstream out;
    std::map<series_key, std::function<double()>> gauges;
    {
        const std::lock_guard lock(m_mutex);
        gauges = m_gauges;
    }
    std::string last_name;
    for (const auto& [key, read] : gauges) {
        write_type_line(out, last_name, key.first, "gauge");
        out << key.first << label_block(key.second) << ' ' << read() << '\n';
    }
    const std::lock_guard lock(m_mutex);
    for (const auto& [key, count] : m_counters) {
        write_type_line(out, last_name, key.first, "counter");
        out << key.first << label_block(key.second) << ' ' << count << '\n';
    }
    for (const auto& [key, series] : m_histograms) {
        write_type_line(out, last_name, key.first, "histogram");
        const std::string prefix = key.second.empty() ? std::string() : key.second + ',';
        double cumulative = 0;
        const auto& axis = series.buckets.axis();
        for (int i = 0; i < axis.size(); ++i) {
            cumulative += static_cast<double>(series.buckets.at(i));
            out << key.first << "_bucket{" << prefix << "le=\"" << axis.bin(i).upper() << "\"} " << cumulative
                << '\n';
        }
        out << key.first << "_bucket{" << prefix << "le=\"+Inf\"} " << series.count << '\n';
        out << key.first << "_sum" << label_block(key.second) << ' ' << series.sum << '\n';
        out << key.first << "_count" << label_block(key.second) << ' ' << series.count << '\n';
    }
    return out.str();
}

} // namespace verbena
