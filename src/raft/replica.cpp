#include "raft/replica.h"

namespace verbena::raft {

replica::replica(std::unique_ptr<storage> files, state_machine& machine, transport& network,
                 const options& settings, random_engine random, time_point now)
    : m_files(std::move(files)), m_machine(machine), m_network(network), m_options(settings),
      m_core(m_files->take_start_state(), settings, random, now)
{
}

result<std::unique_ptr<replica>> replica::open(std::unique_ptr<storage> files, state_machine& machine,
                                               transport& network, const options& settings,
                                               random_engine random, time_point now)
{
    if (files->snapshot_index() > 0) {
        BOOST_OUTCOME_TRY(const bytes state, files->read_state());
        BOOST_OUTCOME_TRYV2(auto&&, machine.restore(state));
    }
    std::unique_ptr<replica> opened(new replica(std::move(files), machine, network, settings, random, now));
    if (opened->m_core.fault()) {
        return *opened->m_core.fault();
    }
    return opened;
}

result<void> replica::step(const message& input, time_point now)
{
    if (!m_error) {
        m_core.step(input, now);
    }
    return flush(now);
}

result<void> replica::tick(time_point now)
{
    if (!m_error) {
        m_core.tick(now);
    }
    return flush(now);
}

result<proposal_token> replica::propose(bytes command, proposal_callback done)
{
    if (m_error) {
        return *m_error;
    }
    BOOST_OUTCOME_TRY(const proposal_token token, m_core.propose(std::move(command)));
    m_callbacks.emplace(token, std::move(done));
    return token;
}

result<proposal_token> replica::change_membership(const membership_change& change, time_point now,
                                                  proposal_callback done)
{
    if (m_error) {
        return *m_error;
    }
    BOOST_OUTCOME_TRY(const proposal_token token, m_core.change_membership(change, now));
    m_callbacks.emplace(token, std::move(done));
    return token;
}

result<void> replica::transfer_leadership(time_point now)
{
    BOOST_OUTCOME_TRYV2(auto&&, m_core.transfer_leadership(now));
    return flush(now);
}

result<void> replica::flush(time_point now)
{
    while (!m_error && (m_core.has_ready() || m_core.fault())) {
        if (m_core.fault()) {
            m_error = m_core.fault();
            break;
        }
        if (auto done = execute(m_core.take_ready()); !done) {
            m_error = done.error();
        }
    }
    if (!m_error && m_core.snapshot_due(now)) {
        if (auto done = take_snapshot(now); !done) {
            m_error = done.error();
        }
    }
    if (m_error) {
        close();
        return *m_error;
    }
    return success();
}

result<void> replica::execute(ready effects)
{
    BOOST_OUTCOME_TRYV2(auto&&, save(effects));
    m_core.saved();
    BOOST_OUTCOME_TRYV2(auto&&, send(std::move(effects.messages)));
    apply(effects.committed);
    report(effects.outcomes);
    return success();
}

result<void> replica::save(const ready& effects)
{
    if (effects.term_and_vote) {
        BOOST_OUTCOME_TRYV2(auto&&, m_files->save_hard_state(*effects.term_and_vote));
    }
    if (effects.install) {
        BOOST_OUTCOME_TRYV2(auto&&, m_files->install_snapshot(*effects.install));
        BOOST_OUTCOME_TRYV2(auto&&, m_files->remove_obsolete_files());
        BOOST_OUTCOME_TRY(const auto state, state_from_image(effects.install->image));
        BOOST_OUTCOME_TRYV2(auto&&, m_machine.restore(state));
    }
    if (!effects.append.empty()) {
        BOOST_OUTCOME_TRYV2(auto&&, m_files->append(effects.append));
        BOOST_OUTCOME_TRYV2(auto&&, m_files->sync());
    }
    return success();
}

result<void> replica::send(std::vector<message> messages)
{
    for (message& output : messages) {
        if (output.kind == message_kind::snapshot_chunk) {
            if (output.snapshot_index != m_files->snapshot_index()) {
                continue; // superseded by a newer snapshot, which is sent instead
            }
            BOOST_OUTCOME_TRY(output.snapshot,
                              m_files->read_image(output.snapshot_offset, m_options.snapshot_chunk_bytes));
        }
        m_network.send(std::move(output));
    }
    return success();
}

void replica::apply(const std::vector<entry>& committed)
{
    for (const entry& value : committed) {
        if (value.kind != entry_kind::command) {
            continue;
        }
        bytes reply = m_machine.apply(value.index, value.data);
        if (m_callbacks.contains({value.term, value.index})) {
            m_replies.emplace(value.index, std::move(reply));
        }
    }
}

void replica::report(const std::vector<proposal_outcome>& outcomes)
{
    for (const proposal_outcome& outcome : outcomes) {
        auto callback = m_callbacks.extract(outcome.token);
        auto reply = m_replies.extract(outcome.token.index);
        if (callback && callback.mapped()) {
            callback.mapped()({outcome.fate, outcome.token, reply ? std::move(reply.mapped()) : bytes{}});
        }
    }
}

result<void> replica::take_snapshot(time_point now)
{
    const log_index index = m_core.applied();
    BOOST_OUTCOME_TRY(const snapshot_meta meta,
                      m_files->save_snapshot(index, m_core.term_at_applied(), m_core.membership_at(index),
                                             m_machine.snapshot()));
    m_core.compact(meta);
    BOOST_OUTCOME_TRYV2(auto&&, m_files->remove_obsolete_files());
    return flush(now); // sends chunks of the new snapshot to followers that were receiving the old one
}

void replica::close()
{
    auto pending = std::exchange(m_callbacks, {});
    for (const auto& [token, done] : pending) {
        if (done) {
            done({proposal_status::unknown, token, {}});
        }
    }
}

} // namespace verbena::raft
