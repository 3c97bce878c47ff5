#pragma once

#include "base/metrics.h"
#include "forward/dialect.h"
#include "forward/fleet.h"
#include "net/asio.h"

#include <memory>
#include <optional>

namespace verbena::forward {

// The memory that one dispatch holds at the endpoints that read a part of its prompt. It is renewed while the
// object is kept and released at the end; after the death of this process it ends by itself.
class reserved_memory : public std::enable_shared_from_this<reserved_memory> {
public:
    reserved_memory(const dialect& words, metrics& counters, const std::string& request,
                    dispatch_choice choice);

    // Reserves at all parts, one after the other. The name of the endpoint that refused; empty = all hold.
    net::task<std::string> hold();

    // Renews in the background until release().
    void keep(const net::asio::any_io_executor& executor);

    // In the background: the caller has its answer already. A release that is lost is made up by the end of
    // the hold.
    void release(const net::asio::any_io_executor& executor);

    // Name under which a part holds it.
    std::string name_of(std::size_t part) const;

private:
    net::task<void> renew();
    net::http_call reserve_call(std::size_t part) const;

    const dialect& m_words;
    metrics& m_counters;
    const std::string m_request;
    const dispatch_choice m_choice;
    bool m_released = false;
};

} // namespace verbena::forward
