#pragma once

#include "raft/storage.h"

#include <functional>

namespace verbena::raft {

// The replicated state machine. Its state changes only through apply and restore; apply must be
// deterministic, so that all members reach the same state.
class state_machine {
public:
    state_machine() = default;
    state_machine(const state_machine&) = delete;
    state_machine& operator=(const state_machine&) = delete;
    state_machine(state_machine&&) = delete;
    state_machine& operator=(state_machine&&) = delete;
    virtual ~state_machine() = default;

    // Applies one committed command and returns the reply for its proposer.
    virtual bytes apply(log_index index, std::span<const std::uint8_t> command) = 0;

    virtual bytes snapshot() const = 0;

    // Replaces the whole state.
    virtual result<void> restore(std::span<const std::uint8_t> state) = 0;
};

class transport {
public:
    transport() = default;
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;
    transport(transport&&) = delete;
    transport& operator=(transport&&) = delete;
    virtual ~transport() = default;

    // Sends without blocking. Messages may be lost, duplicated or reordered.
    virtual void send(message output) = 0;
};

struct proposal_result {
    proposal_status fate = proposal_status::unknown;
    proposal_token token;
    bytes reply; // of the state machine, if committed
};

using proposal_callback = std::function<void(const proposal_result&)>;

// One member: connects core, storage, state machine and transport, and executes effects in the required order
// (save and sync, send, apply). Synchronous; the caller must serialise all calls. After an error of storage
// or core every call returns that error, and the process must stop the member.
class replica {
public:
    static result<std::unique_ptr<replica>> open(std::unique_ptr<storage> files, state_machine& machine,
                                                 transport& network, const options& settings,
                                                 random_engine random, time_point now);

    result<void> step(const message& input, time_point now);

    // Must be called at least every 20 ms.
    result<void> tick(time_point now);

    // Appends a command. After an error the command is not run and the callback is not called; otherwise the
    // callback is called once. Proposals are synced and sent by the next flush, so that a batch needs one
    // sync.
    result<proposal_token> propose(bytes command, proposal_callback done);

    result<proposal_token> change_membership(const membership_change& change, time_point now,
                                             proposal_callback done);
    result<void> transfer_leadership(time_point now);

    // See core::report_lost_folder().
    void report_lost_folder(const member_folder& lost) { m_core.report_lost_folder(lost); }

    // Executes all pending effects. step() and tick() call it; call it after a batch of proposals.
    result<void> flush(time_point now);

    // Reports pending proposals as unknown. To be called before the member stops.
    void close();

    const core& consensus() const { return m_core; }

    // Returns and clears the newest election attempt of this member that failed.
    std::optional<failed_election> take_failed_election() { return m_core.take_failed_election(); }

private:
    replica(std::unique_ptr<storage> files, state_machine& machine, transport& network,
            const options& settings, random_engine random, time_point now);

    result<void> execute(ready effects);
    result<void> save(const ready& effects);
    result<void> send(std::vector<message> messages);
    void apply(const std::vector<entry>& committed);
    void report(const std::vector<proposal_outcome>& outcomes);
    result<void> take_snapshot(time_point now);

    std::unique_ptr<storage> m_files;
    state_machine& m_machine;
    transport& m_network;
    options m_options;
    core m_core;
    std::map<proposal_token, proposal_callback> m_callbacks;
    std::map<log_index, bytes> m_replies;
    std::optional<error> m_error;
};

} // namespace verbena::raft
