#include "control/duty_holder.h"

#include <algorithm>

namespace verbena::control {

namespace {

// Delays after failures: the first one, doubled with each further failure up to the longest one.
constexpr milliseconds first_delay{100};
constexpr milliseconds longest_delay{2'000};

// The part of the lease for which a confirmation entitles its holder to act. A holder A that is cut off acts
// up to this time after B has been elected; B acts a lease after that, and A again, at the earliest, another
// lease less this part after B's last confirmation. With a third, A, B, A takes longer than the lease, and a
// call of A may be under way for a third of it.
constexpr int confirmed_parts = 3;

} // namespace

duty_holder::duty_holder(std::string name, std::uint64_t incarnation, const duty_limits& limits,
                         random_engine random)
    : m_name(std::move(name)), m_incarnation(incarnation), m_limits(limits), m_random(random)
{
}

duty_step duty_holder::next(const duty_view& view)
{
    m_holds = false;
    if (m_stopped || !view.leads) {
        return duty_step::wait;
    }
    if (!is_named(view)) {
        const bool may_claim = !view.barred && view.now >= m_next_attempt && is_confirmed(view);
        return may_claim ? duty_step::claim : duty_step::wait;
    }
    if (m_token != view.record->token) {
        m_token = view.record->token;
        m_first_call = view.now + m_limits.lease;
    }
    m_holds = !view.barred;
    return view.now >= m_next_attempt && may_send(view, m_token) ? duty_step::act : duty_step::wait;
}

bool duty_holder::may_send(const duty_view& view, std::uint64_t token) const
{
    return !m_stopped && view.leads && !view.barred && token == m_token && is_named(view) &&
           view.record->token == token && view.now >= m_first_call && is_confirmed(view);
}

bool duty_holder::is_named(const duty_view& view) const
{
    return view.record != nullptr && view.record->holder == m_name &&
           view.record->incarnation == m_incarnation && view.record->token > m_fenced_token;
}

bool duty_holder::is_confirmed(const duty_view& view) const
{
    if (!view.confirm_age || *view.confirm_age >= m_limits.lease / confirmed_parts) {
        return false;
    }
    // A round that began before a suspension may have been answered before it, too.
    return !m_suspended ||
           (view.now >= *m_suspended + m_limits.thaw && view.now - *view.confirm_age >= *m_suspended);
}

void duty_holder::on_proposal_failed(time_point now)
{
    m_next_attempt = now + next_delay();
}

void duty_holder::on_answer(call_answer answer, std::uint64_t token, time_point now)
{
    if (answer == call_answer::accepted) {
        m_failures = 0;
        return;
    }
    if (answer == call_answer::fenced) {
        m_fenced_token = std::max(m_fenced_token, token);
        m_holds = false;
    }
    m_next_attempt = now + next_delay();
}

// Half of the delay is random, so that callers that failed together do not call together again.
milliseconds duty_holder::next_delay()
{
    constexpr std::uint32_t max_doublings = 8;
    const milliseconds longest =
        std::min(longest_delay, first_delay * (1U << std::min(m_failures, max_doublings)));
    ++m_failures;
    std::uniform_int_distribution<std::int64_t> part(longest.count() / 2, longest.count());
    return milliseconds(part(m_random));
}

} // namespace verbena::control
