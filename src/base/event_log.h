#pragma once

#include "events_generated.h"

#include <flatbuffers/flatbuffers.h>
#include <flatbuffers/minireflect.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

// Structured log: one JSON object per line on standard output, as defined by schema/events.fbs. The rate is
// limited per kind of event, and a slow reader of standard output loses lines instead of blocking the
// process. The next line of the same kind gives the number of lines dropped by the rate limit.
namespace verbena::event_log {

// Rate limit per kind of event: sustained lines per second and largest burst, in lines. An entry at the size
// planned for two years decides about 50 requests per second, with four lines each.
inline constexpr double lines_per_second = 250;
inline constexpr double max_burst_lines = 500;

// Starts the log of this process. Events before this call are not written.
void configure(const std::string& process_name);

// The same, with another destination than standard output: it takes one line a call, from any thread. Called
// before other threads start.
void configure(const std::string& process_name, std::function<void(const std::string&)> destination);

// Number of lines dropped so far, over all kinds of event.
std::uint64_t left_out();

namespace detail {

// Whether the rate limit allows a line of this kind now; counts the line as dropped otherwise.
bool admit(std::string_view kind);

// Writes one line. `fields` is a JSON object.
void write(std::string_view kind, std::string_view fields);

} // namespace detail

// Writes one event. `Event` is the native type of a table in the schema.
template <typename Event>
void write(const Event& event)
{
    using table = typename Event::TableType;
    std::string_view kind = table::GetFullyQualifiedName();
    kind.remove_prefix(kind.rfind('.') + 1);
    if (!detail::admit(kind)) {
        return;
    }
    flatbuffers::FlatBufferBuilder builder(512);
    builder.ForceDefaults(true);
    builder.Finish(table::Pack(builder, &event));
    flatbuffers::ToStringVisitor visitor(" ", true, "", false);
    flatbuffers::IterateFlatBuffer(builder.GetBufferPointer(), table::MiniReflectTypeTable(), &visitor);
    detail::write(kind, visitor.s);
}

} // namespace verbena::event_log
