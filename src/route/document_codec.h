#pragma once

#include "base/error.h"
#include "route/document.h"

#include <string_view>

namespace verbena::route {

// Decodes published documents. Implemented by the adapter of the platform that publishes them.
class document_codec {
public:
    document_codec() = default;
    document_codec(const document_codec&) = delete;
    document_codec& operator=(const document_codec&) = delete;
    virtual ~document_codec() = default;

    // An error names the path of the invalid field and the remedy.
    virtual result<document> decode(std::string_view content) const = 0;
};

} // namespace verbena::route
