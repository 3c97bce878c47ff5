#include "control/key_table.h"

#include "control/validation.h"

#include <algorithm>
#include <charconv>
#include <xxhash.h>

namespace verbena::control {

namespace {

using std::chrono::seconds;

// Bytes per record for the hash node, its bucket, the entry in the index by issue time and allocator
// rounding.
constexpr std::size_t record_overhead = 192;

// Bounds the time of one command. Each new key comes with a command, so this keeps up with expiry at the
// design rate of 80 keys/s.
constexpr std::size_t max_drops_per_command = 1'000;

constexpr std::size_t max_endpoint_size = 128;
constexpr std::size_t max_content_type_size = 128;
constexpr std::size_t min_random_size = 8;
constexpr std::size_t max_random_size = 96;

constexpr std::string_view placeholder_content_type = "application/json";
constexpr std::string_view placeholder_answer =
    R"({"note":"the call was done; its answer was too large to keep","remedy":"look up the order"})";

std::uint64_t hash_of(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::string name_of(const std::string& team, const std::string& key)
{
    std::string name = team;
    name.push_back('\0');
    return name.append(key);
}

request_id to_id(const wire::request_id* id)
{
    return id == nullptr ? request_id{} : request_id{id->high(), id->low()};
}

wire::key_replyT make_state_reply(wire::key_state state)
{
    wire::key_replyT reply;
    reply.state = state;
    return reply;
}

bool is_random_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '_' || c == '-';
}

bool is_random_part(std::string_view text)
{
    return text.size() >= min_random_size && text.size() <= max_random_size &&
           std::all_of(text.begin(), text.end(), is_random_character);
}

std::string_view to_view(const flatbuffers::String* text)
{
    return text == nullptr ? std::string_view() : std::string_view(text->data(), text->size());
}

std::string_view to_view(const std::vector<std::uint8_t>& bytes)
{
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

std::string_view to_view(const flatbuffers::Vector<std::uint8_t>* bytes)
{
    return bytes == nullptr ? std::string_view()
                            : std::string_view(reinterpret_cast<const char*>(bytes->data()), bytes->size());
}

} // namespace

result<std::chrono::sys_seconds> key_issue_time(std::string_view key)
{
    std::uint32_t issued = 0;
    const char* end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data(), end, issued);
    const bool has_time = parsed.ec == std::errc() && parsed.ptr != end && *parsed.ptr == '-';
    if (!has_time || !is_random_part(std::string_view(parsed.ptr + 1, end))) {
        return make_error(error_kind::invalid_request, "Idempotency-Key is not well-formed",
                          "use <unix seconds of issue>-<random>, the random part 8 to 96 letters, digits, "
                          "'.', '_' or '-'");
    }
    return std::chrono::sys_seconds(seconds(issued));
}

std::string_view key_table::record::name() const
{
    return std::string_view(text).substr(0, name_size);
}

std::string_view key_table::record::endpoint() const
{
    return std::string_view(text).substr(name_size, endpoint_size);
}

std::string_view key_table::record::content_type() const
{
    return std::string_view(text).substr(name_size + endpoint_size, content_type_size);
}

std::string_view key_table::record::answer() const
{
    return std::string_view(text).substr(name_size + endpoint_size + content_type_size);
}

void key_table::advance(wall_time now)
{
    m_now = std::max(m_now, now);
    std::size_t dropped = 0;
    while (!m_by_issue_time.empty() && is_past_lifetime(m_by_issue_time.begin()->first)) {
        auto& oldest = m_by_issue_time.begin()->second;
        while (!oldest.empty() && dropped < max_drops_per_command) {
            erase(oldest.back());
            oldest.pop_back();
            ++dropped;
        }
        if (!oldest.empty()) {
            return;
        }
        m_by_issue_time.erase(m_by_issue_time.begin());
    }
}

wire::key_replyT key_table::bind(const wire::key_bindT& request)
{
    const auto issued = key_issue_time(request.key);
    if (!issued || !is_well_formed_name(request.team) || request.endpoint.size() > max_endpoint_size ||
        request.id == nullptr || !is_issue_time_valid(issued.value())) {
        return make_state_reply(wire::key_state::key_expired);
    }
    const std::string name = name_of(request.team, request.key);
    if (record* owner = find(name)) {
        return bind_existing(request, *owner);
    }
    if (request.replaces) {
        return make_state_reply(wire::key_state::not_found);
    }
    const auto since_epoch = issued.value().time_since_epoch().count();
    return bind_new(request, name, static_cast<std::uint32_t>(since_epoch));
}

wire::key_replyT key_table::bind_new(const wire::key_bindT& request, std::string_view name,
                                     std::uint32_t issued)
{
    if (full()) {
        return make_state_reply(wire::key_state::unavailable);
    }
    record value;
    value.issued = issued;
    value.fingerprint = request.fingerprint;
    set_text(value, {name, request.endpoint, {}, {}});
    set_owner(value, request);
    wire::key_replyT reply = make_reply(wire::key_state::bound, value);
    insert(std::move(value));
    return reply;
}

wire::key_replyT key_table::bind_existing(const wire::key_bindT& request, record& owner)
{
    if (owner.fingerprint != request.fingerprint) {
        return make_state_reply(wire::key_state::key_reused);
    }
    if (owner.finished != 0) {
        return make_reply(wire::key_state::finished, owner);
    }
    const bool same_attempt = owner.id == to_id(request.id.get()) && owner.attempt == request.attempt;
    if (same_attempt) {
        const bool same_agent =
            owner.agent_incarnation == request.agent_incarnation && owner.endpoint() == request.endpoint;
        return make_reply(same_agent ? wire::key_state::bound : wire::key_state::bound_elsewhere, owner);
    }
    if (!request.replaces) {
        return make_reply(wire::key_state::bound_elsewhere, owner);
    }
    if (owner.id != to_id(request.replaces_id.get()) || owner.attempt != request.replaces_attempt) {
        return make_reply(wire::key_state::conflict, owner);
    }
    m_bytes -= size_of(owner);
    const std::string name(owner.name());
    set_text(owner, {name, request.endpoint, {}, {}});
    set_owner(owner, request);
    m_bytes += size_of(owner);
    return make_reply(wire::key_state::bound, owner);
}

wire::key_replyT key_table::finish(const wire::key_finishT& request)
{
    record* owner = find(name_of(request.team, request.key));
    if (owner == nullptr || is_past_lifetime(owner->issued)) {
        return make_state_reply(wire::key_state::not_found);
    }
    if (owner->id != to_id(request.id.get()) || owner->attempt != request.attempt) {
        return make_reply(wire::key_state::conflict, *owner);
    }
    if (owner->finished == 0) {
        set_answer(*owner, request);
    }
    return make_reply(wire::key_state::finished, *owner);
}

bool key_table::full() const
{
    return m_records.size() >= m_limits.records || m_bytes >= m_limits.bytes;
}

key_table::record* key_table::find(std::string_view name)
{
    const auto [first, last] = m_records.equal_range(hash_of(name));
    for (auto item = first; item != last; ++item) {
        if (item->second.name() == name) {
            return &item->second;
        }
    }
    return nullptr;
}

void key_table::insert(record&& value)
{
    m_bytes += size_of(value);
    const std::uint64_t hash = hash_of(value.name());
    const auto item = m_records.emplace(hash, std::move(value));
    m_by_issue_time[item->second.issued].push_back(&item->second);
}

void key_table::erase(const record* value)
{
    m_bytes -= size_of(*value);
    const auto [first, last] = m_records.equal_range(hash_of(value->name()));
    for (auto item = first; item != last; ++item) {
        if (&item->second == value) {
            m_records.erase(item);
            return;
        }
    }
}

void key_table::set_text(record& value, const text_parts& parts)
{
    std::string text;
    text.reserve(parts.name.size() + parts.endpoint.size() + parts.content_type.size() + parts.answer.size());
    text.append(parts.name).append(parts.endpoint).append(parts.content_type).append(parts.answer);
    value.name_size = static_cast<std::uint16_t>(parts.name.size());
    value.endpoint_size = static_cast<std::uint16_t>(parts.endpoint.size());
    value.content_type_size = static_cast<std::uint16_t>(parts.content_type.size());
    value.text = std::move(text);
}

void key_table::set_owner(record& value, const wire::key_bindT& request)
{
    value.id = to_id(request.id.get());
    value.attempt = request.attempt;
    value.agent_incarnation = request.agent_incarnation;
}

// The outcome is recorded even when the byte limit is reached, because without it the outcome of a completed
// call would be unknown. In that case a placeholder replaces the answer body.
void key_table::set_answer(record& value, const wire::key_finishT& request)
{
    const bool fits = request.answer.size() <= m_limits.answer_bytes &&
                      m_bytes + request.answer.size() <= m_limits.bytes &&
                      request.content_type.size() <= max_content_type_size;
    const std::string name(value.name());
    const std::string endpoint(value.endpoint());
    m_bytes -= size_of(value);
    if (fits) {
        set_text(value, {name, endpoint, request.content_type, to_view(request.answer)});
    } else {
        set_text(value, {name, endpoint, placeholder_content_type, placeholder_answer});
    }
    value.status = request.status & 0x7FFFU;
    value.finished = 1;
    m_bytes += size_of(value);
}

wire::key_replyT key_table::make_reply(wire::key_state state, const record& value)
{
    wire::key_replyT reply;
    reply.state = state;
    reply.id = std::make_unique<wire::request_id>(value.id.high, value.id.low);
    reply.attempt = value.attempt;
    reply.endpoint = value.endpoint();
    reply.agent_incarnation = value.agent_incarnation;
    reply.status = value.status;
    if (state == wire::key_state::finished) {
        reply.content_type = value.content_type();
        const std::string_view answer = value.answer();
        reply.answer.assign(answer.begin(), answer.end());
    }
    return reply;
}

std::size_t key_table::size_of(const record& value)
{
    return record_overhead + value.text.size();
}

bool key_table::is_past_lifetime(std::uint32_t issued) const
{
    return std::chrono::sys_seconds(seconds(issued)) + key_record_lifetime < m_now;
}

bool key_table::is_issue_time_valid(std::chrono::sys_seconds issued) const
{
    return issued + key_retention >= m_now && issued <= m_now + key_max_ahead;
}

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<log_entry::key_record>>>
key_table::save(flatbuffers::FlatBufferBuilder& builder) const
{
    std::vector<flatbuffers::Offset<log_entry::key_record>> offsets;
    offsets.reserve(m_records.size());
    for (const auto& [issued, records] : m_by_issue_time) {
        for (const record* value : records) {
            const std::string_view name = value->name();
            const std::size_t split = name.find('\0');
            const auto team = builder.CreateString(name.substr(0, split));
            const auto key = builder.CreateString(name.substr(split + 1));
            const auto endpoint = builder.CreateString(value->endpoint());
            const auto content_type = builder.CreateString(value->content_type());
            const std::string_view answer = value->answer();
            const auto bytes =
                builder.CreateVector(reinterpret_cast<const std::uint8_t*>(answer.data()), answer.size());
            const wire::request_id id(value->id.high, value->id.low);
            offsets.push_back(log_entry::Createkey_record(
                builder, team, key, value->fingerprint, &id, value->attempt, endpoint,
                value->agent_incarnation, value->finished != 0, value->status, content_type, bytes));
        }
    }
    return builder.CreateVector(offsets);
}

void key_table::restore(const log_entry::snapshot& snapshot)
{
    m_records.clear();
    m_by_issue_time.clear();
    m_bytes = 0;
    m_now = wall_time(milliseconds(snapshot.now_ms()));
    if (snapshot.keys() == nullptr) {
        return;
    }
    m_records.reserve(snapshot.keys()->size());
    for (const auto* saved : *snapshot.keys()) {
        const std::string key(to_view(saved->key()));
        const auto issued = key_issue_time(key);
        if (!issued) {
            continue;
        }
        record value;
        value.issued = static_cast<std::uint32_t>(issued.value().time_since_epoch().count());
        value.fingerprint = saved->fingerprint();
        value.agent_incarnation = saved->agent_incarnation();
        value.id = to_id(saved->id());
        value.attempt = saved->attempt();
        value.status = saved->status() & 0x7FFFU;
        value.finished = saved->finished() ? 1 : 0;
        const std::string name = name_of(std::string(to_view(saved->team())), key);
        set_text(value, {name, to_view(saved->endpoint()), to_view(saved->content_type()),
                         to_view(saved->answer())});
        insert(std::move(value));
    }
}

} // namespace verbena::control
