#include "control/configuration.h"

#include "control/change.h"
#include "control/diff.h"
#include "control/packed.h"
#include "control/validation.h"

#include <algorithm>
#include <map>

namespace verbena::control {

namespace {

using log_entry::change_answerT;
using log_entry::revision_recordT;
using log_entry::touched_objectT;

constexpr std::uint32_t max_history_items = 1'000;

// Bounds the size of stored answers.
constexpr std::size_t max_message_bytes = 512;

op::change_replyT make_reply(op::change_result result, revision number, const std::string& message,
                             const std::string& remedy)
{
    op::change_replyT reply;
    reply.result = result;
    reply.revision = number;
    reply.message = message.substr(0, max_message_bytes);
    reply.remedy = remedy.substr(0, max_message_bytes);
    return reply;
}

op::change_replyT conflict_reply(revision expected, revision current)
{
    const std::string number = std::to_string(current);
    return make_reply(op::change_result::conflict, current,
                      "expected revision " + std::to_string(expected) + ", but revision " + number +
                          " is in force",
                      "read revision " + number + " with get_config or diff, then send the change with " +
                          "expected_revision " + number + " and a new request id");
}

std::size_t size_of(const revision_recordT& record)
{
    std::size_t bytes = record.request_id.size() + record.summary.size();
    for (const auto& item : record.touched) {
        bytes += item->name.size() + item->before.size() + item->after.size();
    }
    return bytes;
}

// Net effect of consecutive revisions per object: the first `before` and the last `after`.
using net_changes = std::map<std::pair<log_entry::object_kind, std::string>, touched_objectT>;

void merge_change(net_changes& changes, const touched_objectT& item)
{
    const auto [position, inserted] = changes.emplace(std::make_pair(item.kind, item.name), item);
    if (!inserted) {
        position->second.after = item.after;
    }
}

std::vector<std::string> describe_all(net_changes& changes, bool backwards)
{
    std::vector<std::string> lines;
    for (auto& [key, item] : changes) {
        if (backwards) {
            std::swap(item.before, item.after);
        }
        const std::vector<std::string> item_lines =
            item.before == item.after ? std::vector<std::string>() : describe_change(item);
        lines.insert(lines.end(), item_lines.begin(), item_lines.end());
    }
    return lines;
}

template <typename Table, typename List>
auto save_list(flatbuffers::FlatBufferBuilder& builder, const List& list)
{
    std::vector<flatbuffers::Offset<Table>> offsets;
    offsets.reserve(list.size());
    for (const auto& item : list) {
        offsets.push_back(Table::Pack(builder, item.get()));
    }
    return builder.CreateVector(offsets);
}

} // namespace

configuration::configuration(const configuration_limits& limits) : m_limits(limits)
{
    set_current(std::make_unique<op::configT>());
}

op::change_replyT configuration::apply(const op::change_requestT& request)
{
    if (request.dry_run) {
        return check(request);
    }
    evaluation outcome = evaluate(request);
    if (!is_well_formed_request_id(request.request_id) || find_answer(request.request_id) != nullptr) {
        return outcome.reply;
    }
    store_answer(request.request_id, fingerprint(request), outcome.reply);
    if (outcome.next) {
        install(std::move(outcome.next), request);
    }
    return outcome.reply;
}

op::change_replyT configuration::check(const op::change_requestT& request) const
{
    evaluation outcome = evaluate(request);
    if (outcome.next) {
        return make_reply(op::change_result::dry_run_ok, current_revision(), "the change would be accepted",
                          "send it without dry_run");
    }
    return outcome.reply;
}

configuration::evaluation configuration::evaluate(const op::change_requestT& request) const
{
    const revision current = current_revision();
    if (!is_well_formed_request_id(request.request_id)) {
        return {make_reply(op::change_result::invalid, current, "request_id is missing or not well-formed",
                           "use 1 to 64 visible ASCII characters, new for each change"),
                nullptr};
    }
    if (const change_answerT* stored = find_answer(request.request_id)) {
        if (stored->fingerprint == fingerprint(request)) {
            return {*stored->reply, nullptr};
        }
        return {make_reply(op::change_result::invalid, current,
                           "request_id '" + request.request_id + "' was already used for another change",
                           "use a new request id for each change"),
                nullptr};
    }
    if (!request.any_revision && request.expected_revision != current) {
        return {conflict_reply(request.expected_revision, current), nullptr};
    }
    if (request.publish && m_current->published &&
        m_current->published->version >= request.publish->version) {
        return {make_reply(op::change_result::accepted, current,
                           "version " + std::to_string(m_current->published->version) + " is held", ""),
                nullptr};
    }
    auto next = edit(*m_current, request);
    if (!next) {
        return {make_reply(op::change_result::invalid, current, next.error().message, next.error().remedy),
                nullptr};
    }
    const std::size_t bytes = pack(*next.value()).size();
    if (bytes > m_limits.config_bytes) {
        return {make_reply(op::change_result::invalid, current,
                           "the document would have " + std::to_string(bytes) + " bytes",
                           "remove unused objects; at most " + std::to_string(m_limits.config_bytes) +
                               " bytes can be distributed"),
                nullptr};
    }
    return {make_reply(op::change_result::accepted, current + 1, "", ""), std::move(next).value()};
}

const change_answerT* configuration::find_answer(const std::string& request_id) const
{
    const auto found = m_answer_index.find(request_id);
    return found == m_answer_index.end() ? nullptr : found->second;
}

void configuration::install(std::unique_ptr<op::configT> next, const op::change_requestT& request)
{
    auto record = std::make_unique<revision_recordT>();
    record->revision = next->revision;
    record->request_id = request.request_id;
    record->summary = summarize(request);
    for (touched_objectT& item : compare(*m_current, *next)) {
        record->touched.push_back(std::make_unique<touched_objectT>(std::move(item)));
    }
    add_revision(std::move(record));
    set_current(std::move(next));
}

void configuration::store_answer(const std::string& request_id, std::uint64_t fingerprint,
                                 const op::change_replyT& reply)
{
    auto answer = std::make_unique<change_answerT>();
    answer->request_id = request_id;
    answer->fingerprint = fingerprint;
    answer->reply = std::make_unique<op::change_replyT>(reply);
    add_answer(std::move(answer));
}

void configuration::add_answer(std::unique_ptr<change_answerT> answer)
{
    m_answer_index.emplace(answer->request_id, answer.get());
    m_answers.push_back(std::move(answer));
    while (m_answers.size() > m_limits.answers) {
        m_answer_index.erase(m_answers.front()->request_id);
        m_answers.pop_front();
    }
}

void configuration::add_revision(std::unique_ptr<revision_recordT> record)
{
    m_history_bytes += size_of(*record);
    m_revisions.push_back(std::move(record));
    while (!m_revisions.empty() &&
           (m_revisions.size() > m_limits.revisions || m_history_bytes > m_limits.history_bytes)) {
        m_history_bytes -= size_of(*m_revisions.front());
        m_revisions.pop_front();
    }
}

void configuration::set_current(std::unique_ptr<op::configT> config)
{
    m_packed = std::make_shared<const std::vector<std::uint8_t>>(pack(*config));
    m_current = std::move(config);
}

revision configuration::oldest_kept() const
{
    return m_revisions.empty() ? current_revision() : m_revisions.front()->revision - 1;
}

result<void> configuration::check_kept(revision number) const
{
    if (number < oldest_kept() || number > current_revision()) {
        return make_error(error_kind::not_found, "revision " + std::to_string(number) + " is not kept",
                          "use a revision from " + std::to_string(oldest_kept()) + " to " +
                              std::to_string(current_revision()));
    }
    return success();
}

result<std::unique_ptr<op::configT>> configuration::at(revision number) const
{
    BOOST_OUTCOME_TRY(check_kept(number));
    auto config = std::make_unique<op::configT>(*m_current);
    for (auto item = m_revisions.rbegin(); item != m_revisions.rend() && (*item)->revision > number; ++item) {
        revert(*config, (*item)->touched);
    }
    config->revision = number;
    if (number != current_revision()) {
        // Published documents are not part of the history.
        config->published = nullptr;
    }
    return config;
}

op::history_replyT configuration::history(revision from, std::uint32_t limit) const
{
    op::history_replyT reply;
    const std::size_t max_items = std::min(limit, max_history_items);
    for (const auto& record : m_revisions) {
        if (record->revision < from || reply.items.size() >= max_items) {
            continue;
        }
        auto item = std::make_unique<op::history_itemT>();
        item->revision = record->revision;
        item->request_id = record->request_id;
        item->summary = record->summary;
        reply.items.push_back(std::move(item));
    }
    return reply;
}

result<std::vector<std::string>> configuration::diff(revision from, revision to) const
{
    BOOST_OUTCOME_TRY(check_kept(from));
    BOOST_OUTCOME_TRY(check_kept(to));
    const revision low = std::min(from, to);
    const revision high = std::max(from, to);
    net_changes changes;
    for (const auto& record : m_revisions) {
        if (record->revision <= low || record->revision > high) {
            continue;
        }
        for (const auto& item : record->touched) {
            merge_change(changes, *item);
        }
    }
    return describe_all(changes, from > to);
}

configuration_offsets configuration::save(flatbuffers::FlatBufferBuilder& builder) const
{
    configuration_offsets offsets;
    offsets.config = op::config::Pack(builder, m_current.get());
    offsets.answers = save_list<log_entry::change_answer>(builder, m_answers);
    offsets.revisions = save_list<log_entry::revision_record>(builder, m_revisions);
    return offsets;
}

void configuration::restore(const log_entry::snapshot& snapshot)
{
    m_answers.clear();
    m_answer_index.clear();
    m_revisions.clear();
    m_history_bytes = 0;
    set_current(snapshot.config() == nullptr ? std::make_unique<op::configT>()
                                             : std::unique_ptr<op::configT>(snapshot.config()->UnPack()));
    if (snapshot.answers() != nullptr) {
        for (const auto* answer : *snapshot.answers()) {
            if (answer->reply() != nullptr) {
                add_answer(std::unique_ptr<change_answerT>(answer->UnPack()));
            }
        }
    }
    if (snapshot.revisions() != nullptr) {
        for (const auto* record : *snapshot.revisions()) {
            add_revision(std::unique_ptr<revision_recordT>(record->UnPack()));
        }
    }
}

} // namespace verbena::control
