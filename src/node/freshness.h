#pragma once

#include "net/connection.h"
#include "node/config_view.h"

namespace verbena::node {

// Answers a peer's question for the newest confirmed revision, and gives it the configuration when it holds
// an older one.
void reply_freshness(const std::shared_ptr<net::frame_stream>& stream, const wire::freshness_query& query,
                     const config_view& config);

// Asks a peer, so that one lost path to control does not stop this process. Ages add up: the peer's age is
// counted from before the question was sent.
net::task<void> query_freshness(std::shared_ptr<net::connection> peer, config_view& config);

// Peers are asked once the own confirmation is older than this: several polls have failed then, and half of
// the freshness bound is left.
inline constexpr milliseconds peer_query_age{1'200};

// Peers asked in one round.
inline constexpr std::size_t max_queried_peers = 3;

} // namespace verbena::node
