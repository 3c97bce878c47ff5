#pragma once

#include "base/error.h"
#include "base/types.h"
#include "log_generated.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace verbena::control {

// Limits of the configuration state. All members of a group must use the same values, because the limits
// decide which changes are accepted.
struct configuration_limits {
    // Answers stored for resent requests.
    std::size_t answers = 10'000;
    // Revisions kept for history and diff.
    std::size_t revisions = 1'000;
    // Packed bytes of the objects changed by the kept revisions.
    std::size_t history_bytes = std::size_t{16} << 20U;
    // Packed bytes of the document, which is sent in one frame of at most 256 KiB.
    std::size_t config_bytes = std::size_t{240} << 10U;
};

// Offsets of the configuration part of a snapshot.
struct configuration_offsets {
    flatbuffers::Offset<op::config> config;
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<log_entry::change_answer>>> answers;
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<log_entry::revision_record>>> revisions;
};

// The configuration document with its revisions. Deterministic: the same requests in the same order give the
// same state and replies. Not thread-safe.
class configuration {
public:
    explicit configuration(const configuration_limits& limits = {});

    // Applies a committed change. A request id that was answered before gets the stored answer; with a
    // different body the request is invalid. Answers `conflict` and `invalid` are stored too.
    op::change_replyT apply(const op::change_requestT& request);

    // Reply that `apply` would give, without changing the state; `dry_run_ok` in place of `accepted`.
    op::change_replyT check(const op::change_requestT& request) const;

    // The current document; revision 0 is the empty document.
    std::shared_ptr<const op::configT> current() const { return m_current; }

    // The current document as a packed op::config, for poll replies.
    std::shared_ptr<const std::vector<std::uint8_t>> packed() const { return m_packed; }

    revision current_revision() const { return m_current->revision; }

    // The document as it was at a kept revision. Error not_found names the oldest kept revision.
    result<std::unique_ptr<op::configT>> at(revision number) const;

    // Summaries of revisions `from` and later, oldest first, at most `limit`.
    op::history_replyT history(revision from, std::uint32_t limit) const;

    // Differences between two kept revisions as text lines. `from` may be newer than `to`.
    result<std::vector<std::string>> diff(revision from, revision to) const;

    configuration_offsets save(flatbuffers::FlatBufferBuilder& builder) const;

    // Replaces the state by that of a verified snapshot.
    void restore(const log_entry::snapshot& snapshot);

private:
    struct evaluation {
        op::change_replyT reply;
        std::unique_ptr<op::configT> next;
    };

    evaluation evaluate(const op::change_requestT& request) const;
    const log_entry::change_answerT* find_answer(const std::string& request_id) const;
    void install(std::unique_ptr<op::configT> next, const op::change_requestT& request);
    void store_answer(const std::string& request_id, std::uint64_t fingerprint,
                      const op::change_replyT& reply);
    void add_answer(std::unique_ptr<log_entry::change_answerT> answer);
    void add_revision(std::unique_ptr<log_entry::revision_recordT> record);
    void set_current(std::unique_ptr<op::configT> config);
    revision oldest_kept() const;
    result<void> check_kept(revision number) const;

    configuration_limits m_limits;
    std::shared_ptr<const op::configT> m_current;
    std::shared_ptr<const std::vector<std::uint8_t>> m_packed;
    std::deque<std::unique_ptr<log_entry::change_answerT>> m_answers;
    std::unordered_map<std::string, const log_entry::change_answerT*> m_answer_index;
    std::deque<std::unique_ptr<log_entry::revision_recordT>> m_revisions;
    std::size_t m_history_bytes = 0;
};

} // namespace verbena::control
