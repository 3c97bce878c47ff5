#pragma once

#include "net/http_client.h"

#include <functional>

namespace verbena::net {

// Like fetch_http(), for a call that must not be sent after its sender has lost the right to it. `may_send`
// is asked when the connection is established, directly before the first byte is written; the call fails with
// `conflict` if it returns false. `sent` is set once bytes of the request may have reached the peer.
task<result<http_response>> fetch_checked(host_port address, http_call call, milliseconds timeout,
                                          std::function<bool()> may_send, std::shared_ptr<bool> sent);

} // namespace verbena::net
