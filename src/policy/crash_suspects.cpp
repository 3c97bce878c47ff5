#include "policy/crash_suspects.h"

#include <algorithm>
#include <array>
#include <random>
#include <tuple>

namespace verbena::policy {

namespace {

// A record is dropped when no request with the part has come for this long.
constexpr milliseconds idle_time{600'000};

// A record of a part that has been cleared is kept, so that an older record in transit does not revive it.
constexpr milliseconds cleared_time{10'000};

// `last_request` is sent again at this interval, so that all processes keep the record.
constexpr milliseconds refresh_time{60'000};

// A trial that has neither led to an answer nor ended is taken for lost after this time.
constexpr milliseconds trial_timeout{15'000};

// Time from the last crash of a blocked part until its first and its second trial. After that the block ends
// only when no request with the part has come for `idle_time`, or when an operator ends it.
constexpr std::array<milliseconds, crash_suspects::max_trials> trial_delays{milliseconds(20'000),
                                                                            milliseconds(120'000)};

// Each process begins trials later than that by a time of its own, up to this: a process that has begun one
// tells the others within some 10 ms.
constexpr milliseconds trial_spread{8'000};

// A part with as many answers is not suspect after one crash: while its requests are served all the time,
// another part of the request is the more likely cause.
constexpr std::uint32_t established_answers = 3;
constexpr std::size_t max_answer_counts = 2'048;

milliseconds between(time_point from, time_point to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

} // namespace

const char* to_string(crash_state value)
{
    switch (value) {
    case crash_state::clear:
        return "clear";
    case crash_state::suspect:
        return "suspect";
    case crash_state::blocked:
        return "blocked";
    }
    return "unknown";
}

crash_state state_of(const crash_record& record)
{
    if (record.crashes == 0) {
        return crash_state::clear;
    }
    const bool blocked = record.leads && record.crashes >= crash_suspects::crashes_to_block;
    return blocked ? crash_state::blocked : crash_state::suspect;
}

bool crash_suspects::in_trial(const entry& known, time_point now)
{
    return known.record.trials_begun > known.record.trials_ended && now - known.trial_learned < trial_timeout;
}

milliseconds crash_suspects::until_trial(prompt_part part, const entry& known, time_point now) const
{
    const crash_record& record = known.record;
    if (record.blocked_trials >= max_trials) {
        return std::max(between(now, record.last_request + idle_time), milliseconds(1));
    }
    const time_point last = std::max(known.learned, known.trial_learned);
    std::seed_seq seeds{m_process, m_process >> 32U, part, std::uint64_t{record.blocked_trials}};
    std::minstd_rand random(seeds);
    std::uniform_int_distribution<std::int64_t> spread(0, trial_spread.count());
    const milliseconds delay = trial_delays.at(record.blocked_trials) + milliseconds(spread(random));
    return std::max(between(now, last + delay), milliseconds::zero());
}

bool crash_suspects::is_established(prompt_part part) const
{
    const auto newer = m_answers.find(part);
    const auto older = m_older_answers.find(part);
    const std::uint32_t count =
        (newer == m_answers.end() ? 0 : newer->second) + (older == m_older_answers.end() ? 0 : older->second);
    return count >= established_answers;
}

void crash_suspects::count_answer(prompt_part part)
{
    if (m_answers.size() >= max_answer_counts) {
        m_older_answers = std::move(m_answers);
        m_answers.clear();
    }
    std::uint32_t& count = m_answers[part];
    count = std::min(count + 1, established_answers);
}

bool crash_suspects::is_gated(prompt_part part, const crash_record& record) const
{
    return record.crashes >= (is_established(part) ? 2U : 1U);
}

// Parts that only ever occur together have equally many crashes, so none of them leads. A request with two of
// them is refused; one with a single one is tried, which tells them apart.
bool crash_suspects::is_blocked(const std::vector<prompt_part>& parts) const
{
    std::size_t at_limit = 0;
    bool leads = false;
    for (const prompt_part part : parts) {
        const auto found = m_entries.find(part);
        if (found != m_entries.end() && found->second.record.crashes >= crashes_to_block) {
            ++at_limit;
            leads = leads || found->second.record.leads;
        }
    }
    return leads || at_limit > 1;
}

crash_verdict crash_suspects::check(const std::vector<prompt_part>& parts, time_point now)
{
    crash_verdict verdict;
    std::uint32_t heaviest = 0;
    const auto note = [&verdict, &heaviest](crash_verdict::action what, prompt_part part,
                                            const crash_record& record) {
        if (what > verdict.what) {
            verdict.what = what;
        }
        const std::uint32_t weight = record.crashes + (record.leads ? 1 : 0);
        if (weight > heaviest) {
            heaviest = weight;
            verdict.part = part;
            verdict.crashes = record.crashes;
        }
    };
    bool trial_due = true;
    for (const prompt_part part : parts) {
        const auto found = m_entries.find(part);
        if (found == m_entries.end()) {
            continue;
        }
        crash_record& record = found->second.record;
        record.last_request = now;
        if (!is_gated(part, record)) {
            continue;
        }
        note(in_trial(found->second, now) ? crash_verdict::action::wait : crash_verdict::action::trial, part,
             record);
        if (record.crashes >= crashes_to_block) {
            const milliseconds wait = until_trial(part, found->second, now);
            verdict.retry_after = std::max(verdict.retry_after, wait);
            trial_due = trial_due && wait == milliseconds::zero();
        }
    }
    if (is_blocked(parts) && (!trial_due || verdict.what == crash_verdict::action::wait)) {
        verdict.what = crash_verdict::action::refuse;
        verdict.retry_after = std::max(verdict.retry_after, trial_delays.front());
    } else {
        verdict.retry_after = milliseconds::zero();
    }
    return verdict;
}

std::vector<crash_statement> crash_suspects::begin_trial(const std::vector<prompt_part>& parts,
                                                         time_point now)
{
    std::vector<crash_statement> changed;
    const bool blocked = is_blocked(parts);
    for (const prompt_part part : parts) {
        const auto found = m_entries.find(part);
        if (found == m_entries.end() || !is_gated(part, found->second.record)) {
            continue;
        }
        crash_record& record = found->second.record;
        ++record.trials_begun;
        found->second.trial_learned = now;
        record.blocked_trials += blocked && record.crashes >= crashes_to_block ? 1 : 0;
        changed.push_back({part, record});
    }
    return changed;
}

std::vector<crash_statement> crash_suspects::end_trial(const std::vector<prompt_part>& parts)
{
    std::vector<crash_statement> changed;
    for (const prompt_part part : parts) {
        const auto found = m_entries.find(part);
        if (found != m_entries.end() &&
            found->second.record.trials_begun > found->second.record.trials_ended) {
            found->second.record.trials_ended = found->second.record.trials_begun;
            changed.push_back({part, found->second.record});
        }
    }
    return changed;
}

std::vector<crash_statement> crash_suspects::on_crash(const std::vector<prompt_part>& parts, time_point sent,
                                                      time_point now)
{
    std::vector<prompt_part> counted;
    for (const prompt_part part : parts) {
        entry& known = find_or_add(part, now);
        const bool repeated = std::find(counted.begin(), counted.end(), part) != counted.end();
        if (!repeated && (known.record.crashes == 0 || sent >= known.learned)) {
            ++known.record.crashes;
            known.record.last_request = now;
            known.learned = now;
            counted.push_back(part);
        }
    }
    std::vector<crash_statement> changed;
    for (const prompt_part part : counted) {
        entry& known = find_or_add(part, now);
        known.record.leads = std::all_of(parts.begin(), parts.end(), [&](prompt_part other) {
            const auto found = m_entries.find(other);
            return other == part || found == m_entries.end() ||
                   found->second.record.crashes < known.record.crashes;
        });
        changed.push_back({part, known.record});
    }
    return changed;
}

std::vector<crash_statement> crash_suspects::on_answer(const std::vector<prompt_part>& parts, time_point now)
{
    std::vector<crash_statement> changed;
    for (const prompt_part part : parts) {
        count_answer(part);
        if (const auto cleared = release(part, now)) {
            changed.push_back(*cleared);
        }
    }
    return changed;
}

std::optional<crash_statement> crash_suspects::release(prompt_part part, time_point now)
{
    const auto found = m_entries.find(part);
    if (found == m_entries.end() || found->second.record.crashes == 0) {
        return std::nullopt;
    }
    crash_record& record = found->second.record;
    ++record.generation;
    record.crashes = 0;
    record.leads = false;
    record.blocked_trials = 0;
    record.trials_ended = record.trials_begun;
    found->second.cleared = now;
    return crash_statement{part, record};
}

std::optional<crash_statement> crash_suspects::merge(const crash_statement& received, time_point now)
{
    const crash_record& other = received.record;
    if (!m_entries.contains(received.part) && other.crashes == 0) {
        return std::nullopt;
    }
    entry& known = find_or_add(received.part, now);
    const crash_record previous = known.record;
    crash_record& record = known.record;
    if (other.generation > record.generation) {
        record.generation = other.generation;
        record.crashes = 0;
        record.leads = false;
        record.blocked_trials = 0;
        known.cleared = now;
    }
    if (other.generation == record.generation) {
        if (other.crashes > record.crashes) {
            record.crashes = other.crashes;
            record.leads = other.leads;
            known.learned = now;
        } else if (other.crashes == record.crashes) {
            record.leads = record.leads || other.leads;
        }
        record.blocked_trials = std::max(record.blocked_trials, other.blocked_trials);
    }
    if (other.trials_begun > record.trials_begun) {
        record.trials_begun = other.trials_begun;
        known.trial_learned = now;
    }
    record.trials_ended = std::max(record.trials_ended, other.trials_ended);
    record.last_request = std::max(record.last_request, other.last_request);
    const bool same = record.generation == previous.generation && record.crashes == previous.crashes &&
                      record.leads == previous.leads && record.blocked_trials == previous.blocked_trials &&
                      record.trials_begun == previous.trials_begun &&
                      record.trials_ended == previous.trials_ended &&
                      record.last_request - previous.last_request < refresh_time / 2;
    if (same) {
        return std::nullopt;
    }
    known.refreshed = now;
    return crash_statement{received.part, record};
}

crash_state crash_suspects::state(prompt_part part) const
{
    const auto found = m_entries.find(part);
    return found == m_entries.end() ? crash_state::clear : state_of(found->second.record);
}

std::vector<crash_statement> crash_suspects::records(time_point now)
{
    expire(now);
    std::vector<crash_statement> found;
    for (const auto& [part, known] : m_entries) {
        found.push_back({part, known.record});
    }
    return found;
}

std::vector<crash_statement> crash_suspects::due_for_refresh(time_point now)
{
    expire(now);
    std::vector<crash_statement> due;
    for (auto& [part, known] : m_entries) {
        if (known.record.crashes > 0 && known.record.last_request - known.refreshed >= refresh_time) {
            known.refreshed = now;
            due.push_back({part, known.record});
        }
    }
    return due;
}

// When there are too many records, the one that says least is dropped: the fewest crashes, then the oldest.
crash_suspects::entry& crash_suspects::find_or_add(prompt_part part, time_point now)
{
    const auto found = m_entries.find(part);
    if (found != m_entries.end()) {
        return found->second;
    }
    if (m_entries.size() >= max_records) {
        expire(now);
    }
    if (m_entries.size() >= max_records) {
        m_entries.erase(
            std::min_element(m_entries.begin(), m_entries.end(), [](const auto& a, const auto& b) {
                const crash_record& first = a.second.record;
                const crash_record& second = b.second.record;
                return std::tie(first.crashes, first.last_request) <
                       std::tie(second.crashes, second.last_request);
            }));
    }
    entry& added = m_entries[part];
    added.refreshed = now;
    return added;
}

void crash_suspects::expire(time_point now)
{
    std::erase_if(m_entries, [now](const auto& item) {
        const entry& known = item.second;
        return known.record.crashes == 0 ? now - known.cleared > cleared_time
                                         : now - known.record.last_request > idle_time;
    });
}

} // namespace verbena::policy
