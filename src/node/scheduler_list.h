#pragma once

#include "base/types.h"
#include "wire_generated.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace verbena::node {

// An entry that may schedule the requests of its failure domain.
struct scheduler_candidate {
    std::string address; // for frames
    std::string failure_domain;
    std::uint32_t processor_share = 0; // in thousandths of a core
};

// Whether the first candidate is preferred to the second: more processor time first, then the lower address,
// so that all processes that know the same candidates agree.
bool is_preferred(const scheduler_candidate& a, const scheduler_candidate& b);

// The order in which an entry of the failure domain asks schedulers when one of them schedules all domains:
// the preferred one of all, then domain by domain, beginning with the own one. Neighbours lie in different
// domains as long as there are several, so that a lost domain costs one timeout. `candidates` holds the
// preferred ones first.
std::vector<scheduler_candidate> deployment_order(std::vector<scheduler_candidate> candidates,
                                                  const std::string& own_domain);

// Candidates as the control members list them. Each member lists the candidates that poll it, and a process
// uses those of all members. Thread-safe; its mutex is held alone.
class scheduler_list {
public:
    // The digest of the list held from a member; 0 = none.
    std::uint64_t digest_of(const std::string& member) const;

    void apply(const std::string& member, const wire::poll_reply& reply, time_point now);

    // Candidates of a failure domain, or of all if it is empty, the preferred ones first.
    std::vector<scheduler_candidate> candidates(const std::string& failure_domain, time_point now) const;

    // The number of entries that poll the members.
    std::size_t entry_count(time_point now) const;

private:
    struct member_list {
        std::uint64_t digest = 0;
        time_point confirmed;
        std::size_t entries = 0;
        std::vector<scheduler_candidate> candidates;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, member_list> m_lists;
};

// Digest of a list of candidates, never 0.
std::uint64_t digest_of(const std::vector<scheduler_candidate>& candidates);

} // namespace verbena::node
