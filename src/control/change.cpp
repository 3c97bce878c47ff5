#include "control/change.h"

#include "control/packed.h"
#include "control/validation.h"

#include <algorithm>
#include <xxhash.h>

namespace verbena::control {

namespace {

template <typename Object>
using object_list = std::vector<std::unique_ptr<Object>>;

error invalid(std::string message, std::string remedy)
{
    return make_error(error_kind::invalid_request, std::move(message), std::move(remedy));
}

template <typename Object>
auto position_of(object_list<Object>& objects, const std::string& name)
{
    return std::lower_bound(
        objects.begin(), objects.end(), name,
        [](const auto& object, const std::string& wanted) { return object->name < wanted; });
}

template <typename Object>
void put(object_list<Object>& objects, const Object& value)
{
    const auto position = position_of(objects, value.name);
    auto copy = std::make_unique<Object>(value);
    if (position != objects.end() && (*position)->name == value.name) {
        *position = std::move(copy);
    } else {
        objects.insert(position, std::move(copy));
    }
}

template <typename Object>
result<void> remove(const char* what, object_list<Object>& objects, const std::string& name)
{
    const auto position = position_of(objects, name);
    if (position == objects.end() || (*position)->name != name) {
        return invalid(std::string(what) + " '" + name.substr(0, 80) + "' does not exist",
                       "read the names with get_config");
    }
    objects.erase(position);
    return success();
}

template <typename Object>
void sort_by_name(object_list<Object>& objects)
{
    std::stable_sort(objects.begin(), objects.end(),
                     [](const auto& a, const auto& b) { return a && b && a->name < b->name; });
}

template <typename Object>
const Object* find(const object_list<Object>& objects, const std::string& name)
{
    for (const auto& object : objects) {
        if (object->name == name) {
            return object.get();
        }
    }
    return nullptr;
}

int count_changes(const op::change_requestT& request)
{
    const bool given[] = {request.put_team != nullptr,           !request.remove_team.empty(),
                          request.put_service != nullptr,        !request.remove_service.empty(),
                          request.put_failure_domain != nullptr, !request.remove_failure_domain.empty(),
                          request.put_endpoint != nullptr,       !request.remove_endpoint.empty(),
                          request.replace_all != nullptr,        request.publish != nullptr};
    return static_cast<int>(std::count(std::begin(given), std::end(given), true));
}

// Prevents a document read at an older revision from reverting changes made since.
result<void> check_replace_revision(const op::change_requestT& request)
{
    const revision number = request.replace_all->revision;
    if (number != 0 && number != request.expected_revision) {
        return invalid("replace_all holds a document of revision " + std::to_string(number) +
                           " but expected_revision is " + std::to_string(request.expected_revision),
                       "edit the document that get_config gives for expected_revision");
    }
    return success();
}

template <typename Object>
bool has_null(const object_list<Object>& objects)
{
    return std::any_of(objects.begin(), objects.end(), [](const auto& object) { return object == nullptr; });
}

result<void> replace(op::configT& next, const op::change_requestT& request)
{
    BOOST_OUTCOME_TRY(check_replace_revision(request));
    // The published document has its own version numbers and is changed by `publish` only.
    std::unique_ptr<op::publicationT> published = std::move(next.published);
    next = *request.replace_all;
    next.published = std::move(published);
    if (has_null(next.teams) || has_null(next.services) || has_null(next.failure_domains) ||
        has_null(next.endpoints)) {
        return invalid("replace_all holds an empty object", "remove the null from the list");
    }
    sort_by_name(next.teams);
    sort_by_name(next.services);
    sort_by_name(next.failure_domains);
    sort_by_name(next.endpoints);
    return success();
}

result<void> remove_named(op::configT& next, const op::change_requestT& request)
{
    if (!request.remove_team.empty()) {
        return remove("team", next.teams, request.remove_team);
    }
    if (!request.remove_service.empty()) {
        return remove("service", next.services, request.remove_service);
    }
    if (!request.remove_failure_domain.empty()) {
        return remove("failure domain", next.failure_domains, request.remove_failure_domain);
    }
    return remove("endpoint", next.endpoints, request.remove_endpoint);
}

result<void> apply_change(op::configT& next, const op::change_requestT& request)
{
    if (request.replace_all) {
        return replace(next, request);
    }
    if (request.publish) {
        next.published = std::make_unique<op::publicationT>(*request.publish);
    } else if (request.put_team) {
        put(next.teams, *request.put_team);
    } else if (request.put_service) {
        put(next.services, *request.put_service);
    } else if (request.put_failure_domain) {
        put(next.failure_domains, *request.put_failure_domain);
    } else if (request.put_endpoint) {
        put(next.endpoints, *request.put_endpoint);
    } else {
        return remove_named(next, request);
    }
    return success();
}

// A failure domain that still receives requests must not be removed: its endpoints would keep announcing
// themselves.
result<void> check_removed_domains(const op::configT& before, const op::configT& after)
{
    for (const auto& domain : before.failure_domains) {
        if (domain->state != op::admin_state::out && find(after.failure_domains, domain->name) == nullptr) {
            return invalid("failure domain '" + domain->name + "' is in use",
                           "set its state to out first, then remove it");
        }
    }
    return success();
}

bool same_order(const op::endpointT* before, const op::endpointT& after)
{
    if (before == nullptr) {
        return after.desired_models.empty() && after.desired_role.empty();
    }
    return before->desired_models == after.desired_models && before->desired_role == after.desired_role;
}

// The epoch in the request is ignored: a reused epoch would let an engine accept an old order.
void set_order_epochs(const op::configT& before, op::configT& after)
{
    for (auto& endpoint : after.endpoints) {
        const op::endpointT* old = find(before.endpoints, endpoint->name);
        if (!same_order(old, *endpoint)) {
            endpoint->order_epoch = after.revision;
        } else {
            endpoint->order_epoch = old == nullptr ? 0 : old->order_epoch;
        }
    }
}

} // namespace

std::uint64_t fingerprint(const op::change_requestT& request)
{
    op::change_requestT copy = request;
    copy.dry_run = false;
    const std::vector<std::uint8_t> bytes = pack(copy);
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string summarize(const op::change_requestT& request)
{
    if (request.publish) {
        return "publish version " + std::to_string(request.publish->version);
    }
    if (request.put_team) {
        return "put team " + request.put_team->name;
    }
    if (request.put_service) {
        return "put service " + request.put_service->name;
    }
    if (request.put_failure_domain) {
        return "put failure_domain " + request.put_failure_domain->name + " " +
               op::EnumNameadmin_state(request.put_failure_domain->state);
    }
    if (request.put_endpoint) {
        return "put endpoint " + request.put_endpoint->name + " " +
               op::EnumNameadmin_state(request.put_endpoint->state);
    }
    if (request.replace_all) {
        return "replace all";
    }
    if (!request.remove_team.empty()) {
        return "remove team " + request.remove_team;
    }
    if (!request.remove_service.empty()) {
        return "remove service " + request.remove_service;
    }
    if (!request.remove_failure_domain.empty()) {
        return "remove failure_domain " + request.remove_failure_domain;
    }
    return "remove endpoint " + request.remove_endpoint;
}

result<std::unique_ptr<op::configT>> edit(const op::configT& current, const op::change_requestT& request)
{
    const int changes = count_changes(request);
    if (changes != 1) {
        return invalid("the request holds " + std::to_string(changes) + " changes",
                       "set exactly one of put_*, remove_* and replace_all; use replace_all for several");
    }
    auto next = std::make_unique<op::configT>(current);
    BOOST_OUTCOME_TRY(apply_change(*next, request));
    next->revision = current.revision + 1;
    BOOST_OUTCOME_TRY(validate(*next));
    BOOST_OUTCOME_TRY(check_removed_domains(current, *next));
    set_order_epochs(current, *next);
    return next;
}

} // namespace verbena::control
