#pragma once

#include "base/error.h"
#include "base/types.h"
#include "log_generated.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace verbena::control {

// Wall-clock time of the replicated log: the clock of the leader that proposed the command.
using wall_time = std::chrono::sys_time<milliseconds>;

// A key is refused when it was issued longer ago than this.
inline constexpr std::chrono::seconds key_retention = std::chrono::hours(1);

// A key is refused when it was issued further in the future than this; covers unsynchronised caller clocks.
inline constexpr std::chrono::seconds key_max_ahead{60};

// A record is dropped this long after the issue time: the retention, 10 min for the longest deadline, and
// 1 min for the dispatch window and for delays. After that no attempt of the key can still be running.
inline constexpr std::chrono::seconds key_record_lifetime = key_retention + std::chrono::minutes(11);

// Bounds of the key table. All members of a group must use the same values.
struct key_limits {
    std::size_t records = 1'000'000;
    std::size_t bytes = std::size_t{512} << 20U;
    // Longer answers are replaced by a placeholder.
    std::size_t answer_bytes = 4'096;
};

// Issue time of an `Idempotency-Key: <unix seconds>-<random>`; the random part is 8 to 96 letters, digits,
// '.', '_' or '-'. The error names the format. Entries use it to refuse a malformed key with status 400.
result<std::chrono::sys_seconds> key_issue_time(std::string_view key);

// Idempotency-key records (docs/design.md, section 4.6). Deterministic; not thread-safe. Replies use
// wire::key_state:
//   bound            the attempt in the request owns the key and may be dispatched
//   bound_elsewhere  another attempt owns the key; the reply names it
//   finished         the recorded answer is in the reply
//   conflict         a rebind or finish named an attempt that does not own the key; the reply names the owner
//   key_reused       the key belongs to a request with another fingerprint
//   key_expired      issued too long ago or too far ahead, or malformed; nothing was recorded
//   not_found        rebind or finish of a key without a record
//   unavailable      the limit on records or bytes is reached; nothing was recorded
class key_table {
public:
    explicit key_table(const key_limits& limits = {}) : m_limits(limits) {}

    // Not copyable: the index by issue time holds pointers into m_records, which a copy would share.
    key_table(const key_table&) = delete;
    key_table(key_table&&) = default;
    key_table& operator=(const key_table&) = delete;
    key_table& operator=(key_table&&) = default;
    ~key_table() = default;

    // Advances the replicated time, never backwards, and drops records past their lifetime. The number of
    // records dropped per call is bounded, so that no single command takes long.
    void advance(wall_time now);

    // Binds a key to an attempt, or rebinds it when `replaces` names the attempt that owns it. A repeated
    // bind of the same attempt to the same agent incarnation is `bound` again.
    wire::key_replyT bind(const wire::key_bindT& request);

    // Records the result of the attempt that owns the key. Only the first result is stored.
    wire::key_replyT finish(const wire::key_finishT& request);

    wall_time now() const { return m_now; }

    // Number of records, including expired ones that are not dropped yet.
    std::size_t size() const { return m_records.size(); }

    // Accounted memory: text lengths plus a fixed overhead per record. Equal on all replicas.
    std::size_t bytes() const { return m_bytes; }

    // True when new keys are refused with `unavailable`.
    bool full() const;

    // Writes the records in order of issue time, then arrival.
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<log_entry::key_record>>>
    save(flatbuffers::FlatBufferBuilder& builder) const;

    // Replaces the state by that of a verified snapshot.
    void restore(const log_entry::snapshot& snapshot);

private:
    // The variable parts share one string: team, a zero byte, key, endpoint, content type, answer.
    struct record {
        std::string text;
        std::uint64_t fingerprint = 0;
        std::uint64_t agent_incarnation = 0;
        request_id id;
        std::uint32_t attempt = 0;
        std::uint32_t issued = 0;
        std::uint16_t name_size = 0;
        std::uint16_t endpoint_size = 0;
        std::uint16_t content_type_size = 0;
        std::uint16_t status : 15 = 0;
        std::uint16_t finished : 1 = 0;

        std::string_view name() const;
        std::string_view endpoint() const;
        std::string_view content_type() const;
        std::string_view answer() const;
    };

    // Parts of a record's text.
    struct text_parts {
        std::string_view name;
        std::string_view endpoint;
        std::string_view content_type;
        std::string_view answer;
    };

    using record_map = std::unordered_multimap<std::uint64_t, record>;

    record* find(std::string_view name);
    void insert(record&& value);
    void erase(const record* value);
    wire::key_replyT bind_new(const wire::key_bindT& request, std::string_view name, std::uint32_t issued);
    wire::key_replyT bind_existing(const wire::key_bindT& request, record& owner);
    void set_text(record& value, const text_parts& parts);
    void set_owner(record& value, const wire::key_bindT& request);
    void set_answer(record& value, const wire::key_finishT& request);
    static wire::key_replyT make_reply(wire::key_state state, const record& value);
    static std::size_t size_of(const record& value);
    bool is_past_lifetime(std::uint32_t issued) const;
    bool is_issue_time_valid(std::chrono::sys_seconds issued) const;

    key_limits m_limits;
    wall_time m_now{};
    record_map m_records;
    // Records by issue second; pointers into m_records, which rehashing keeps valid.
    std::map<std::uint32_t, std::vector<const record*>> m_by_issue_time;
    std::size_t m_bytes = 0;
};

} // namespace verbena::control
