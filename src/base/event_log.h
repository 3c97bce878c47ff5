#pragma once

#include "events_generated.h"

#include <flatbuffers/flatbuffers.h>
#include <flatbuffers/minireflect.h>

#include <cstdint>
#include <string>
#include <string_view>

// Structured log: one JSON object a line on standard output, by schema/events.fbs. Lines are bounded for each
// kind of event, and a reader that is slow loses lines instead of holding up the process; the next line of
// the kind says how many were left out.
namespace verbena::event_log {

// Lines a second of one kind of event, and how many may come at once. An entry at the size of two years
// decides about 50 requests a second, with four lines each.
inline constexpr double lines_per_second = 250;
inline constexpr double most_lines_at_once = 500;

// Starts the log of a process. Before this nothing is written.
void configure(const std::string& process_name);

// Lines left out so far, by all kinds of event.
std::uint64_t left_out();

namespace detail {

// Whether a line of this kind may be written now; counts it as left out otherwise.
bool admit(std::string_view kind);

// `fields` is a JSON object.
void write(std::string_view kind, std::string_view fields);

} // namespace detail

// Writes one event; `Event` is the native type of a table of the schema.
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
