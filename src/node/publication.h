#pragma once

#include "base/error.h"
#include "operator_generated.h"

#include <string>
#include <string_view>

namespace verbena::node {

// A published document, compressed if it would not fit into one log entry otherwise.
op::publicationT pack_publication(std::uint64_t version, std::string_view content);

// The document as it was published. Fails when the content is damaged.
result<std::string> unpack_publication(const op::publicationT& value);

} // namespace verbena::node
