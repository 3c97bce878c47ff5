#pragma once

#include "base/error.h"
#include "base/random.h"
#include "raft/electorate.h"
#include "raft/membership.h"
#include "raft/memory_log.h"
#include "raft/progress.h"
#include "raft/types.h"

#include <map>
#include <tuple>
#include <utility>

namespace verbena::raft {

// Metadata of the newest snapshot of a member. Its image (membership and state machine bytes) stays in
// storage.
struct snapshot_meta {
    log_index index = 0;
    term_number term = 0;
    raft::membership membership;
    std::uint64_t image_size = 0;
    std::uint64_t image_hash = 0; // XXH3 of the image
};

// A snapshot received from a leader: length-prefixed membership record, then the state machine's bytes.
struct snapshot_image {
    log_index index = 0;
    term_number term = 0;
    bytes image;
};

// Votes of an election attempt that ended without a majority.
struct failed_election {
    bool pre_vote = false;
    term_number term = 0;           // the term that the candidate asked for
    std::vector<member_id> granted; // own vote included
    std::vector<member_id> denied;
    std::vector<member_id> unanswered;
    std::vector<member_id> lost; // known to have lost their folders; they count as no voters
};

// State that a member loads from its data folder at start.
struct start_state {
    member_id self = 0;
    folder_id folder = 0;
    hard_state term_and_vote;
    std::optional<snapshot_meta> snapshot;
    std::vector<entry> entries; // after the snapshot
};

enum class role : std::uint8_t { follower, pre_candidate, candidate, leader };

// Identifies a proposal: the term of its leader and its log index.
struct proposal_token {
    term_number term = 0;
    log_index index = 0;

    bool operator==(const proposal_token&) const = default;
    bool operator<(const proposal_token& other) const
    {
        return std::tie(term, index) < std::tie(other.term, other.index);
    }
};

// Outcome of an accepted proposal. "unknown" means that leadership ended before the commit: the entry may
// still be committed later.
enum class proposal_status : std::uint8_t { committed, unknown };

struct proposal_outcome {
    proposal_token token;
    proposal_status fate = proposal_status::unknown;
};

// Effects of one or more inputs. The caller first saves and syncs `term_and_vote`, `install` and `append`,
// then sends `messages`, then applies `committed` and reports `outcomes`.
struct ready {
    std::optional<hard_state> term_and_vote;
    std::optional<snapshot_image> install; // replaces the state machine and the whole log
    std::vector<entry> append;             // the first entry replaces all entries from its index on
    std::vector<message> messages;
    std::vector<entry> committed;
    std::vector<proposal_outcome> outcomes;
};

struct member_status {
    raft::member member;
    log_index match = 0; // known to a leader only
    bool active = false; // replied within one election timeout; known to a leader only
};

struct core_status {
    raft::role role = role::follower;
    member_id leader = 0; // 0 = not known
    term_number term = 0;
    log_index commit = 0;
    log_index last = 0;
    std::vector<member_status> members;
};

// Raft consensus without I/O, clock or threads. Inputs are messages, ticks and proposals; effects are
// collected in `ready`. See docs/design.md, section 4.1.
class core {
public:
    core(start_state start, const options& settings, random_engine random, time_point now);

    void step(const message& input, time_point now);

    // Runs heartbeats and elections. Must be called at least every 20 ms.
    void tick(time_point now);

    // Appends a command on the leader. After an error (not_leader, unavailable, overloaded,
    // too_large) the command is not run; an accepted proposal is reported once in ready::outcomes.
    result<proposal_token> propose(bytes data);

    // Records that a voter's folder no longer exists. Elections that begin afterwards need fewer votes if the
    // number of voters is even; see electorate. The statement must be certain: it has to come from the
    // process that holds the member's address, in reply to a question that was sent after the folder had
    // become that of a voter.
    void report_lost_folder(const member_folder& lost) { m_lost_folders.insert(lost); }
    const lost_folders& known_lost_folders() const { return m_lost_folders; }

    // Adds a learner or removes a member; one change at a time.
    result<proposal_token> change_membership(const membership_change& change, time_point now);

    // Transfers leadership to the active voter with the highest match index, before a planned stop. Proposals
    // are refused during the transfer, which is abandoned after one election timeout.
    result<void> transfer_leadership(time_point now);

    bool has_ready() const;

    // Returns and clears the collected effects. The caller must call saved() once they are durable.
    ready take_ready();

    // Reports that term_and_vote, install and append of the last ready are durable.
    void saved();

    // Whether the log exceeds the bounds that call for a snapshot at applied().
    bool snapshot_due(time_point now) const;

    // Truncates the log after a snapshot at applied() or below has become durable.
    void compact(const snapshot_meta& meta);

    // Time since this leader last had confirmed leadership: the age of the newest heartbeat round that a
    // quorum answered. No other leader could commit before the start of that round. Empty if this member does
    // not lead, has not committed an entry in its term, or the age exceeds options::confirm_limit.
    std::optional<milliseconds> confirm_age(time_point now) const;

    core_status status(time_point now) const;

    // Returns and clears the newest election attempt that failed.
    std::optional<failed_election> take_failed_election()
    {
        return std::exchange(m_failed_election, std::nullopt);
    }
    raft::role role() const { return m_role; }
    member_id leader() const { return m_leader; }
    term_number term() const { return m_hard_state.term; }
    log_index commit_index() const { return m_commit; }
    log_index applied() const { return m_applied; }
    term_number term_at_applied() const { return m_log.term_at(m_applied).value_or(0); }
    // Number of entries held in memory.
    std::size_t held_entries() const { return m_log.size(); }

    const raft::membership& membership() const { return m_memberships.back().value; }

    // Member `id` of the newest membership, or of the one before while that still has to agree; null if
    // unknown.
    const member* find_member(member_id id) const;

    // Voters that decide the next election of this member.
    electorate next_electorate() const { return make_electorate(m_lost_folders); }

    member_id self() const { return m_self; }
    folder_id folder() const { return m_folder; }

    // Membership as of `index`, for a snapshot.
    const raft::membership& membership_at(log_index index) const;

    // Set after a violation of a Raft invariant or a malformed membership entry; the member must stop.
    const std::optional<error>& fault() const { return m_fault; }

private:
    struct membership_point {
        log_index index = 0;
        raft::membership value;
    };

    struct incoming_snapshot {
        member_id from = 0;
        log_index index = 0;
        term_number term = 0;
        bytes image;
    };

    struct heartbeat_round {
        std::uint64_t number = 0;
        time_point started_at;
    };

    // core.cpp
    void step_current_term(const message& input, time_point now);
    void reject_old_term(const message& input);
    void become_follower(term_number term, member_id leader, time_point now);
    void reset_election_timer(time_point now);
    void report_unknown_outcomes();
    void send(message output);
    void set_fault(std::string what);
    void track_membership(const entry& value);
    void append_to_log(entry value);
    void commit_to(log_index index);
    const raft::membership* previous_membership() const;
    electorate make_electorate(const lost_folders& lost) const;
    // Voters that decide in the current term.
    electorate voters() const { return make_electorate(m_lost_before_election); }

    // core_election.cpp
    void start_pre_vote(time_point now);
    void start_election(time_point now);
    void request_votes(message_kind kind, term_number term);
    void record_failed_election();
    void on_vote_request(const message& input, time_point now);
    bool votes_suffice() const;
    void on_vote_reply(const message& input, time_point now);
    void become_leader(time_point now);
    bool may_vote() const;
    bool has_recent_leader_contact(time_point now) const;
    bool log_is_up_to_date(const message& input) const;
    bool can_campaign() const;

    // core_follower.cpp
    void on_append_request(const message& input, time_point now);
    void accept_entries(const message& input);
    void reject_append(const message& input);
    void reply_match(const message& input, log_index match);
    void accept_leader(const message& input, time_point now);
    void on_snapshot_chunk(const message& input, time_point now);
    void finish_snapshot(const message& input);
    void install(snapshot_image image, raft::membership members);

    // core_leader.cpp
    void tick_leader(time_point now);
    void start_heartbeat_round(time_point now);
    void broadcast();
    void send_heartbeat(member_id to, progress& peer, time_point now);
    bool recently_active(const progress& peer, time_point now) const;
    void send_entries(member_id to, progress& peer);
    void send_append(member_id to, progress& peer);
    void send_snapshot_chunk(member_id to, progress& peer);
    void on_append_reply(const message& input, time_point now);
    void on_append_accepted(const message& input, progress& peer);
    void on_append_rejected(const message& input, progress& peer);
    void on_snapshot_reply(const message& input, time_point now);
    progress* record_contact(const message& input, time_point now);
    void advance_commit();
    bool quorum_active(time_point now) const;
    bool committed_in_term() const;

    // core_members.cpp
    proposal_token append_new_entry(entry_kind kind, bytes data);
    result<void> check_change(const membership_change& change, time_point now) const;
    void sync_progress();
    void complete_membership_change();
    void promote_caught_up(time_point now);
    void continue_transfer(time_point now);

    options m_options;
    random_engine m_random;
    member_id m_self;
    folder_id m_folder;
    hard_state m_hard_state;
    raft::role m_role = role::follower;
    member_id m_leader = 0;
    memory_log m_log;
    std::vector<membership_point> m_memberships;
    std::optional<snapshot_meta> m_snapshot;
    log_index m_commit = 0;
    log_index m_applied = 0;
    log_index m_last_saved = 0;   // last index known to be durable on this member
    log_index m_last_emitted = 0; // last index returned in ready::append
    hard_state m_emitted_hard_state;
    std::optional<snapshot_image> m_snapshot_to_install;
    std::optional<incoming_snapshot> m_incoming_snapshot;
    std::vector<message> m_messages;
    std::deque<proposal_token> m_proposals;
    std::vector<proposal_outcome> m_outcomes;
    std::optional<error> m_fault;

    time_point m_last_leader_contact;
    time_point m_election_deadline;
    std::map<member_id, bool> m_votes;
    std::optional<failed_election> m_failed_election;
    lost_folders m_lost_folders;
    lost_folders m_lost_before_election; // those known when this member last became a candidate

    std::map<member_id, progress> m_peers;
    time_point m_next_heartbeat;
    std::uint64_t m_heartbeat_round = 0;
    std::deque<heartbeat_round> m_heartbeat_rounds;
    time_point m_leader_since;
    log_index m_term_start_index = 0; // index of the first entry of the leader's own term
    std::size_t m_uncommitted_bytes = 0;
    member_id m_transfer_target = 0;
    time_point m_transfer_deadline;
    bool m_transfer_sent = false;
};

} // namespace verbena::raft
