#pragma once

#include "net/connection.h"
#include "node/config_view.h"

namespace verbena::node {

// Replies to a peer's query for the newest confirmed revision, with the configuration itself when the peer
// holds an older one.
void reply_freshness(const std::shared_ptr<net::frame_stream>& stream, const wire::freshness_query& query,
                     const config_view& config);

// Queries a peer for the newest confirmed revision, so that this process can go on while it cannot reach the
// control members itself. Ages add up: the peer's confirmation age is counted back from before the query was
// sent.
net::task<void> query_freshness(std::shared_ptr<net::connection> peer, config_view& config);

// Age of this process's own confirmation from which peers are queried: several polls have failed by then, and
// half of the freshness bound is left.
inline constexpr milliseconds peer_query_age{1'200};

// Number of peers queried in one round.
inline constexpr std::size_t max_queried_peers = 3;

} // namespace verbena::node
