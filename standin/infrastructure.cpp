#include "standin/infrastructure.h"

#include "platform/names.h"
#include "standin/http_util.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <charconv>

namespace verbena::standin {

namespace names = platform::names;

result<std::shared_ptr<infrastructure>> infrastructure::create(net::asio::io_context& io,
                                                               const infrastructure_options& options)
{
    auto created = std::make_shared<infrastructure>(io, options);
    BOOST_OUTCOME_TRY(created->m_server,
                      net::http_server::create(io, options.listen, net::http_limits{}, *created,
                                               created->m_counters, "infrastructure"));
    created->m_server->start();
    return created;
}

infrastructure::infrastructure(net::asio::io_context& io, const infrastructure_options& options)
    : m_io(io), m_options(options), m_allowance(std::max(1.0, options.calls_per_s)),
      m_allowance_at(clock::now())
{
}

std::optional<infrastructure::call> infrastructure::parse(const net::http_request& request)
{
    const std::optional<boost::json::object> body = parse_object(request.body);
    const std::string_view token = request.header(names::fencing_token);
    call value;
    const auto parsed = std::from_chars(token.data(), token.data() + token.size(), value.token);
    value.holder = std::string(request.header(names::duty_holder));
    if (!body || token.empty() || parsed.ec != std::errc() || value.holder.empty()) {
        return std::nullopt;
    }
    value.duty = request.target;
    if (request.target == names::target_of(names::scale)) {
        value.service = string_member(*body, "backend");
        value.failure_domain = string_member(*body, "zone");
        value.subject = value.service + " " + value.failure_domain;
        value.desired = number_member(*body, "desired", 0);
        return value;
    }
    const auto* counts = body->if_contains("counts");
    if (request.target != names::target_of(names::usage) || counts == nullptr || !counts->is_object()) {
        return std::nullopt;
    }
    value.window = number_member(*body, "window", 0);
    for (const auto& item : counts->get_object()) {
        value.counts[std::string(item.key())] = number_member(counts->get_object(), item.key(), 0);
    }
    return value;
}

net::task<void> infrastructure::handle(net::http_exchange& exchange)
{
    const std::optional<call> value = parse(exchange.request());
    if (!value) {
        co_await send_reply(exchange, error_reply(400, "invalid", "not a call of a duty"));
        co_return;
    }
    infrastructure_faults faults;
    bool within_rate = false;
    {
        const std::lock_guard lock(m_mutex);
        faults = m_faults;
        within_rate = take_rate();
        record_received(*value);
    }
    if (faults.late) {
        net::asio::co_spawn(
            m_io,
            [self = shared_from_this(), value = *value, late = *faults.late]() -> net::task<void> {
                co_await net::sleep_for(late);
                self->execute(value);
            },
            net::asio::detached);
    }
    if (faults.silent || faults.late) {
        co_await wait_forever();
    }
    co_await net::sleep_for(faults.delay);
    const unsigned status = within_rate ? execute(*value) : 429;
    if (!within_rate) {
        const std::lock_guard lock(m_mutex);
        ++m_calls[status];
    }
    if (faults.answers_lost) {
        co_return; // closes the connection
    }
    net::http_response answer;
    answer.status = status;
    co_await send_reply(exchange, std::move(answer));
}

bool infrastructure::take_rate()
{
    const time_point now = clock::now();
    const std::chrono::duration<double> passed = now - m_allowance_at;
    m_allowance_at = now;
    m_allowance =
        std::min(std::max(1.0, m_options.calls_per_s), m_allowance + passed.count() * m_options.calls_per_s);
    if (m_allowance < 1) {
        return false;
    }
    m_allowance -= 1;
    return true;
}

void infrastructure::record_received(const call& value)
{
    if (value.duty != names::target_of(names::usage)) {
        return;
    }
    const auto known = m_received.emplace(value.window, received_report{value.holder, value.counts}).first;
    if (known->second.counts != value.counts) {
        m_violations.push_back("window " + std::to_string(value.window) + " sent by " + known->second.holder +
                               " and by " + value.holder + " with other counts");
    }
}

unsigned infrastructure::execute(const call& value)
{
    const std::lock_guard lock(m_mutex);
    const auto sender = m_senders[value.duty].emplace(value.token, value.holder).first;
    if (sender->second != value.holder) {
        m_violations.push_back("token " + std::to_string(value.token) + " of " + sender->second + " and " +
                               value.holder);
    }
    std::uint64_t& highest = m_highest[value.duty + " " + value.subject];
    if (value.token < highest) {
        ++m_calls[409];
        return 409;
    }
    highest = value.token;
    judge_holder(value);
    if (value.duty == names::target_of(names::usage)) {
        const auto report = m_reports.emplace(value.window, value.counts).first;
        if (report->second != value.counts) {
            m_violations.push_back("window " + std::to_string(value.window) + " with other counts");
        }
    } else {
        m_orders.push_back(
            {value.service, value.failure_domain, value.desired, value.holder, value.token, clock::now()});
    }
    ++m_calls[200];
    return 200;
}

void infrastructure::judge_holder(const call& value)
{
    const time_point now = clock::now();
    std::map<std::string, time_point>& last_calls = m_last_call[value.duty];
    std::string& last = m_last_holder[value.duty];
    const auto own = last_calls.find(value.holder);
    if (last != value.holder) {
        if (own != last_calls.end() && now - own->second < m_options.lease) {
            m_violations.push_back(value.holder + ", " + last + ", " + value.holder + " inside the lease");
        }
        last = value.holder;
        m_holders.push_back(value.holder);
    }
    last_calls[value.holder] = now;
}

void infrastructure::set_faults(const infrastructure_faults& faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
}

std::map<std::uint64_t, std::map<std::string, std::uint64_t>> infrastructure::reports() const
{
    const std::lock_guard lock(m_mutex);
    return m_reports;
}

std::map<std::uint64_t, received_report> infrastructure::received() const
{
    const std::lock_guard lock(m_mutex);
    return m_received;
}

std::vector<scale_order> infrastructure::orders() const
{
    const std::lock_guard lock(m_mutex);
    return m_orders;
}

std::vector<std::string> infrastructure::holders() const
{
    const std::lock_guard lock(m_mutex);
    return m_holders;
}

std::map<unsigned, std::uint64_t> infrastructure::calls() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

std::vector<std::string> infrastructure::violations() const
{
    const std::lock_guard lock(m_mutex);
    return m_violations;
}

} // namespace verbena::standin
