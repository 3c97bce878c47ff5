#include "control/duty_service.h"

#include "base/event_log.h"
#include "control/wall_clock.h"

namespace verbena::control {

namespace {

// Interval of the decisions. A report is due seconds after its window.
constexpr milliseconds tick_interval{50};

// Longest wait for an answer. The infrastructure may be slow for seconds; a call without an answer is
// repeated with the same content.
constexpr milliseconds call_timeout{2'000};

// Interval between the attempts of a barred leader to give up its leadership. With machines that are barred
// from different duties, each of them would otherwise hand the leadership on at once.
constexpr milliseconds transfer_interval{10'000};

duty_outcome to_outcome(call_answer answer)
{
    switch (answer) {
    case call_answer::accepted:
        return duty_outcome::accepted;
    case call_answer::fenced:
    case call_answer::busy:
    case call_answer::refused:
    case call_answer::not_sent:
        return duty_outcome::refused;
    case call_answer::unknown:
        break;
    }
    return duty_outcome::unknown;
}

} // namespace

duty_service::duty_service(std::shared_ptr<raft_host> log, const state_machine& state, metrics& counters,
                           options settings)
    : m_log(std::move(log)), m_state(state), m_counters(counters), m_options(std::move(settings)),
      m_watch(m_options.limits.lease / 3)
{
    for (std::unique_ptr<duty_task>& task : m_options.tasks) {
        duty_holder holder(m_options.holder, m_options.incarnation, m_options.limits,
                           random_engine(make_incarnation()));
        m_duties.push_back(std::make_unique<duty>(std::move(task), std::move(holder)));
        const duty& added = *m_duties.back();
        m_counters.gauge("verbena_duty_held", {{"duty", std::string(added.task->duty())}},
                         [held = added.held_gauge] { return *held ? 1.0 : 0.0; });
    }
}

net::task<void> duty_service::run()
{
    while (!m_stopped) {
        const time_point now = clock::now();
        const bool suspended = m_watch.observe(read_clocks());
        for (const auto& value : m_duties) {
            if (suspended) {
                value->holder.on_suspension(now);
            }
            step(*value, now);
        }
        leave_if_barred(now);
        co_await net::sleep_for(tick_interval);
    }
}

net::task<void> duty_service::stop(milliseconds limit)
{
    m_stopped = true;
    const time_point deadline = clock::now() + limit;
    for (const auto& value : m_duties) {
        value->holder.stop();
        set_held(*value, false, clock::now());
    }
    for (const auto& value : m_duties) {
        while (value->busy && clock::now() < deadline) {
            co_await net::sleep_for(milliseconds(10));
        }
    }
}

duty_view duty_service::make_view(const duty& value, time_point now) const
{
    duty_view view;
    view.now = now;
    view.leads = m_log->is_leader();
    view.confirm_age = m_log->confirm_age(now);
    view.record = m_state.duties().find(value.task->duty());
    view.barred = m_state.duties().is_barred(value.task->duty(), m_options.holder, wall_now());
    return view;
}

duty_context duty_service::make_context(time_point now) const
{
    return {now, wall_now(), m_state};
}

void duty_service::step(duty& value, time_point now)
{
    const duty_step next = value.holder.next(make_view(value, now));
    set_held(value, value.holder.holds(), now);
    if (value.busy) {
        return;
    }
    if (next == duty_step::claim) {
        claim(value);
    } else if (next == duty_step::act) {
        act(value, now);
    }
}

void duty_service::set_held(duty& value, bool held, time_point now)
{
    if (value.held == held) {
        return;
    }
    value.held = held;
    *value.held_gauge = held;
    value.held_since += held ? 1 : 0;
    value.task->on_hold(held, now);
    report(value, held ? "held" : "released");
}

void duty_service::report(const duty& value, const char* what) const
{
    event_log::write(event::duty_stateT{{}, std::string(value.task->duty()), value.holder.token(), what});
}

void duty_service::claim(duty& value)
{
    const duty_record* record = m_state.duties().find(value.task->duty());
    log_entry::take_dutyT take;
    take.now_ms = static_cast<std::uint64_t>(wall_now().time_since_epoch().count());
    take.duty = std::string(value.task->duty());
    take.holder = m_options.holder;
    take.incarnation = m_options.incarnation;
    take.expected_token = record == nullptr ? 0 : record->token;
    propose(value, make_duty_command(std::move(take)), true);
}

void duty_service::act(duty& value, time_point now)
{
    std::vector<std::uint8_t> command = value.task->next_command(make_context(now));
    if (!command.empty()) {
        propose(value, std::move(command), false);
        return;
    }
    if (now < m_next_call) {
        return;
    }
    std::optional<duty_call> content = value.task->next_call(make_context(now));
    if (!content) {
        return;
    }
    m_next_call = now + std::chrono::duration_cast<clock::duration>(
                            std::chrono::duration<double>(1.0 / m_options.calls_per_s));
    value.busy = true;
    net::asio::co_spawn(
        m_log->strand(),
        [self = shared_from_this(), &value, sent = std::move(*content)]() mutable {
            return self->call(value, std::move(sent));
        },
        net::asio::detached);
}

void duty_service::propose(duty& value, std::vector<std::uint8_t> command, bool is_claim)
{
    value.busy = true;
    const auto done = [self = shared_from_this(), &value,
                       is_claim](const result<std::vector<std::uint8_t>>& outcome) {
        value.busy = false;
        bool applied = outcome && !outcome.value().empty();
        if (applied && is_claim) {
            const auto reply = parse_duty_reply(outcome.value());
            applied = reply && reply.value().accepted;
        }
        if (!applied) {
            value.holder.on_proposal_failed(clock::now());
        }
    };
    m_log->propose(std::move(command), done);
}

net::task<void> duty_service::call(duty& value, duty_call content)
{
    const call_sender sender{m_options.holder, value.holder.token()};
    const std::uint64_t held_since = value.held_since;
    // The connection takes time, in which the process may have been suspended or have lost its claim.
    const auto may_send = [this, &value, token = sender.token] {
        const time_point now = clock::now();
        if (m_watch.observe(read_clocks())) {
            for (const auto& item : m_duties) {
                item->holder.on_suspension(now);
            }
        }
        return value.holder.may_send(make_view(value, now), token);
    };
    const call_answer answer = co_await m_options.target->call(content, sender, may_send, call_timeout);
    value.busy = false;
    const time_point now = clock::now();
    value.holder.on_answer(answer, sender.token, now);
    m_counters.add("verbena_duty_calls_total",
                   {{"duty", std::string(value.task->duty())}, {"outcome", to_text(answer)}});
    if (answer != call_answer::accepted) {
        report(value, to_text(answer));
    }
    if (answer == call_answer::fenced) {
        set_held(value, false, now);
    } else if (value.held && value.held_since == held_since) {
        value.task->on_outcome(content, to_outcome(answer), make_context(now));
    }
}

void duty_service::leave_if_barred(time_point now)
{
    if (!m_log->is_leader() || now < m_next_transfer) {
        return;
    }
    for (const auto& value : m_duties) {
        if (make_view(*value, now).barred) {
            m_next_transfer = now + transfer_interval;
            report(*value, "barred");
            m_log->transfer_leadership();
            return;
        }
    }
}

} // namespace verbena::control
