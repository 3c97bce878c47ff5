#include "net/http_server.h"

// Apart from the server, because clang 14 cannot compile the coroutines of the server with the sanitizers
// that the fuzz targets are built with.
namespace verbena::net {

std::string_view http_request::header(std::string_view name) const
{
    const auto place = headers.find(boost::beast::string_view(name.data(), name.size()));
    if (place == headers.end()) {
        return {};
    }
    return {place->value().data(), place->value().size()};
}

} // namespace verbena::net
