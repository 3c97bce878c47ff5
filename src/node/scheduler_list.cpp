#include "node/scheduler_list.h"

#include <algorithm>
#include <xxhash.h>

namespace verbena::node {

namespace {

// The list of a member that has not replied for this long is left out.
constexpr milliseconds list_retention{1'500};

} // namespace

bool is_preferred(const scheduler_candidate& a, const scheduler_candidate& b)
{
    return a.processor_share != b.processor_share ? a.processor_share > b.processor_share
                                                  : a.address < b.address;
}

std::vector<scheduler_candidate> deployment_order(std::vector<scheduler_candidate> candidates,
                                                  const std::string& own_domain)
{
    if (candidates.empty()) {
        return {};
    }
    std::vector<scheduler_candidate> order{std::move(candidates.front())};
    std::map<std::string, std::vector<scheduler_candidate>> by_domain;
    std::vector<std::string> domains{own_domain};
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        const std::string domain = candidates[i].failure_domain;
        if (std::find(domains.begin(), domains.end(), domain) == domains.end()) {
            domains.push_back(domain);
        }
        by_domain[domain].push_back(std::move(candidates[i]));
    }
    const std::size_t count = candidates.size();
    for (std::size_t round = 0; order.size() < count; ++round) {
        for (const std::string& domain : domains) {
            std::vector<scheduler_candidate>& found = by_domain[domain];
            if (round < found.size()) {
                order.push_back(std::move(found[round]));
            }
        }
    }
    return order;
}

std::uint64_t digest_of(const std::vector<scheduler_candidate>& candidates)
{
    std::string text;
    for (const scheduler_candidate& value : candidates) {
        text +=
            value.address + ' ' + value.failure_domain + ' ' + std::to_string(value.processor_share) + '\n';
    }
    return std::max<std::uint64_t>(XXH3_64bits(text.data(), text.size()), 1);
}

std::uint64_t scheduler_list::digest_of(const std::string& member) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_lists.find(member);
    return found == m_lists.end() ? 0 : found->second.digest;
}

void scheduler_list::apply(const std::string& member, const wire::poll_reply& reply, time_point now)
{
    if (reply.schedulers_digest() == 0) {
        return; // the member does not list schedulers
    }
    const std::lock_guard lock(m_mutex);
    member_list& list = m_lists[member];
    list.confirmed = now;
    list.entries = reply.entry_count();
    if (reply.schedulers() == nullptr) {
        return;
    }
    list.digest = reply.schedulers_digest();
    list.candidates.clear();
    for (const auto* value : *reply.schedulers()) {
        if (value->address() != nullptr && value->failure_domain() != nullptr) {
            list.candidates.push_back(
                {value->address()->str(), value->failure_domain()->str(), value->processor_share()});
        }
    }
}

std::vector<scheduler_candidate> scheduler_list::candidates(const std::string& failure_domain,
                                                            time_point now) const
{
    std::vector<scheduler_candidate> found;
    const std::lock_guard lock(m_mutex);
    for (const auto& [member, list] : m_lists) {
        if (now - list.confirmed > list_retention) {
            continue;
        }
        for (const scheduler_candidate& value : list.candidates) {
            const bool wanted = failure_domain.empty() || value.failure_domain == failure_domain;
            const bool known = std::any_of(found.begin(), found.end(), [&value](const auto& item) {
                return item.address == value.address;
            });
            if (wanted && !known) {
                found.push_back(value);
            }
        }
    }
    std::sort(found.begin(), found.end(), is_preferred);
    return found;
}

std::size_t scheduler_list::entry_count(time_point now) const
{
    std::size_t count = 0;
    const std::lock_guard lock(m_mutex);
    for (const auto& [member, list] : m_lists) {
        if (now - list.confirmed <= list_retention) {
            count = std::max(count, list.entries);
        }
    }
    return count;
}

} // namespace verbena::node
