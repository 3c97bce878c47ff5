#include "net/http_server.h"

// In a file of its own because clang 14 cannot compile the coroutines of the server with the sanitizers that
// the fuzz targets use.
namespace verbena::net {

std::string_view http_request::header(std::string_view name) const
{
    const auto found = headers.find(boost::beast::string_view(name.data(), name.size()));
    if (found == headers.end()) {
        return {};
    }
    return {found->value().data(), found->value().size()};
}

} // namespace verbena::net
