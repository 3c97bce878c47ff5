#include "standin/desk_service.h"
#include "standin/engine_service.h"
#include "standin/relay_service.h"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

DEFINE_string(listen, "127.0.0.1:0", "IP address and port to listen on; port 0 selects a free port");
DEFINE_string(record, "", "file to which one JSON line per event is appended; empty for none");
DEFINE_uint64(seed, 0, "seed of the incarnation numbers; 0 selects a random seed");
DEFINE_double(prefill_rate, 20'000, "prompt tokens per second, shared by all requests in prefill");
DEFINE_uint32(chunk_tokens, 512, "maximum number of prompt tokens in one step");
DEFINE_double(decode_ms, 20, "duration of one decode step of the whole batch, in ms");
DEFINE_uint32(max_batch, 32, "maximum number of requests in the batch");
DEFINE_uint64(capacity_tokens, 200'000, "capacity of the KV memory in tokens");
DEFINE_uint32(cold_requests, 4, "finished requests after which a cold engine is warm; 0 to ignore the count");
DEFINE_uint32(cold_ms, 5'000, "time after which a cold engine is warm, in ms; 0 to ignore the time");
DEFINE_uint32(cold_limit, 1,
              "maximum number of unfinished requests of a cold engine; one more makes it restart");
DEFINE_double(cold_slowdown, 1, "factor applied to the step duration of a cold engine");
DEFINE_uint32(cold_grace_ms, 2'000, "time after the fault \"cold\" until the cold limit is enforced, in ms");
DEFINE_uint32(keep_ms, 30'000, "how long the stream of a finished request can be resumed, in ms");
DEFINE_uint32(report_lag, 0, "age of the load figures in the status, in ms");
DEFINE_string(models, "standin", "names of the loaded models, separated by commas");
DEFINE_string(role, "mixed", "initial role");
DEFINE_bool(check_fencing, false, "refuse orders whose fencing number is below the highest seen");
DEFINE_string(target, "", "relay: IP address and port to which connections are forwarded");
DEFINE_string(control, "127.0.0.1:0", "relay: IP address and port of the HTTP control interface");
DEFINE_uint32(delay_ms, 0, "desk: time between the execution of a request and its response, in ms");

namespace {

using namespace verbena;

void crash()
{
    std::_Exit(3);
}

standin::engine_service_options engine_options_from_flags(std::uint64_t seed)
{
    standin::engine_service_options options;
    options.core.prefill_rate = FLAGS_prefill_rate;
    options.core.chunk_tokens = FLAGS_chunk_tokens;
    options.core.decode_step = std::chrono::microseconds(static_cast<std::int64_t>(FLAGS_decode_ms * 1'000));
    options.core.max_batch = FLAGS_max_batch;
    options.core.capacity_tokens = FLAGS_capacity_tokens;
    options.core.cold_requests = FLAGS_cold_requests;
    options.core.cold_time = milliseconds(FLAGS_cold_ms);
    options.core.cold_limit = FLAGS_cold_limit;
    options.core.cold_slowdown = FLAGS_cold_slowdown;
    options.core.cold_grace = milliseconds(FLAGS_cold_grace_ms);
    options.core.finished_retention = milliseconds(FLAGS_keep_ms);
    options.core.report_lag = milliseconds(FLAGS_report_lag);
    options.seed = seed;
    options.check_fencing = FLAGS_check_fencing;
    options.models = split_list(FLAGS_models);
    options.role = FLAGS_role;
    options.event_log_path = FLAGS_record;
    return options;
}

result<std::unique_ptr<net::http_handler>> make_service(const std::string& kind, net::asio::io_context& io)
{
    if (kind == "engine") {
        const std::uint64_t seed = FLAGS_seed == 0 ? make_incarnation() : FLAGS_seed;
        BOOST_OUTCOME_TRY(auto service,
                          standin::engine_service::create(io, engine_options_from_flags(seed), crash));
        return std::unique_ptr<net::http_handler>(std::move(service));
    }
    if (kind == "desk") {
        const standin::desk_options options{milliseconds(FLAGS_delay_ms), FLAGS_record};
        BOOST_OUTCOME_TRY(auto service, standin::desk_service::create(options, crash));
        return std::unique_ptr<net::http_handler>(std::move(service));
    }
    if (kind == "relay") {
        BOOST_OUTCOME_TRY(const host_port listen, parse_host_port(FLAGS_listen));
        BOOST_OUTCOME_TRY(const host_port target, parse_host_port(FLAGS_target));
        BOOST_OUTCOME_TRY(auto relay, standin::relay::create(io, listen, target));
        relay->start();
        std::printf("relaying on %s:%u\n", listen.host.c_str(), relay->port());
        return std::unique_ptr<net::http_handler>(std::make_unique<standin::relay_service>(std::move(relay)));
    }
    return make_error(error_kind::invalid_settings, "unknown subcommand \"" + kind + "\"",
                      "use engine, desk or relay");
}

// Limits of the stand-ins' HTTP server. A body of 16 MiB holds a prompt of a million tokens at four bytes
// each.
net::http_limits server_limits()
{
    net::http_limits limits;
    limits.max_body = 16 * 1024 * 1024;
    return limits;
}

result<void> serve(const std::string& kind)
{
    net::asio::io_context io(1);
    metrics counters;
    BOOST_OUTCOME_TRY(auto service, make_service(kind, io));
    BOOST_OUTCOME_TRY(const host_port address,
                      parse_host_port(kind == "relay" ? FLAGS_control : FLAGS_listen));
    BOOST_OUTCOME_TRY(auto server,
                      net::http_server::create(io, address, server_limits(), *service, counters, kind));
    server->start();
    std::printf("listening on %s:%u\n", address.host.c_str(), server->port());
    std::fflush(stdout);
    net::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const auto&, int) { io.stop(); });
    io.run();
    return success();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "verbenaproxy-standin engine|desk|relay [flags]: simulated endpoints and network faults");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const result<void> outcome = serve(argc == 2 ? argv[1] : "");
    if (!outcome) {
        std::fprintf(stderr, "%s\n", describe(outcome.error()).c_str());
        return 1;
    }
    return 0;
}
