#include "control/diff.h"

#include "control/packed.h"

#include <algorithm>
#include <map>

namespace verbena::control {

namespace {

using log_entry::object_kind;
using log_entry::touched_objectT;

template <typename Object>
using object_list = std::vector<std::unique_ptr<Object>>;

using field_values = std::map<std::string, std::string>;

template <typename Object>
std::map<std::string, const Object*> by_name(const object_list<Object>& objects)
{
    std::map<std::string, const Object*> index;
    for (const auto& object : objects) {
        index.emplace(object->name, object.get());
    }
    return index;
}

template <typename Object>
std::vector<std::uint8_t> pack_optional(const Object* object)
{
    return object == nullptr ? std::vector<std::uint8_t>() : pack(*object);
}

template <typename Object>
const Object* find(const std::map<std::string, const Object*>& index, const std::string& name)
{
    const auto found = index.find(name);
    return found == index.end() ? nullptr : found->second;
}

template <typename Object>
void compare_lists(object_kind kind, const object_list<Object>& before, const object_list<Object>& after,
                   std::vector<touched_objectT>& out)
{
    const auto old_index = by_name(before);
    const auto new_index = by_name(after);
    auto names = old_index;
    names.insert(new_index.begin(), new_index.end());
    for (const auto& [name, unused] : names) {
        const Object* old_object = find(old_index, name);
        const Object* new_object = find(new_index, name);
        if (old_object != nullptr && new_object != nullptr && *old_object == *new_object) {
            continue;
        }
        touched_objectT item;
        item.kind = kind;
        item.name = name;
        item.before = pack_optional(old_object);
        item.after = pack_optional(new_object);
        out.push_back(std::move(item));
    }
}

template <typename Object>
void revert_object(object_list<Object>& objects, const touched_objectT& touched)
{
    const auto position =
        std::lower_bound(objects.begin(), objects.end(), touched.name,
                         [](const auto& object, const std::string& name) { return object->name < name; });
    const bool exists = position != objects.end() && (*position)->name == touched.name;
    if (touched.before.empty()) {
        if (exists) {
            objects.erase(position);
        }
        return;
    }
    auto object = unpack<typename Object::TableType>(touched.before);
    if (exists) {
        *position = std::move(object);
    } else {
        objects.insert(position, std::move(object));
    }
}

std::string join(const std::vector<std::string>& items)
{
    std::string text = "[";
    for (const std::string& item : items) {
        text += (text.size() == 1 ? "" : ", ") + item;
    }
    return text + "]";
}

std::vector<std::string> truncate_keys(std::vector<std::string> keys)
{
    for (std::string& key : keys) {
        key = key.substr(0, 4) + "...";
    }
    return keys;
}

field_values fields_of(const op::teamT& team)
{
    return {{"keys", join(truncate_keys(team.keys))},
            {"weight", std::to_string(team.weight)},
            {"max_outstanding", std::to_string(team.max_outstanding)},
            {"max_tokens_per_s", std::to_string(team.max_tokens_per_s)}};
}

field_values fields_of(const op::serviceT& service)
{
    std::vector<std::string> paths;
    for (const auto& path : service.paths) {
        paths.push_back(path->prefix + (path->repeatable ? "" : " (not repeatable)"));
    }
    return {{"kind", op::EnumNameservice_kind(service.kind)},
            {"models", join(service.models)},
            {"adapters", join(service.adapters)},
            {"paths", join(paths)}};
}

field_values fields_of(const op::failure_domainT& domain)
{
    return {{"state", op::EnumNameadmin_state(domain.state)}};
}

field_values fields_of(const op::endpointT& endpoint)
{
    return {{"state", op::EnumNameadmin_state(endpoint.state)},
            {"checks_fencing", endpoint.checks_fencing ? "true" : "false"},
            {"desired_models", join(endpoint.desired_models)},
            {"desired_role", "'" + endpoint.desired_role + "'"},
            {"order_epoch", std::to_string(endpoint.order_epoch)}};
}

std::string all_fields(const field_values& fields)
{
    std::string text;
    for (const auto& [name, value] : fields) {
        text.append(" ").append(name).append("=").append(value);
    }
    return text;
}

std::string changed_field(const std::string& title, const std::string& name, const std::string& before,
                          const std::string& after)
{
    std::string text = "~ " + title;
    return text.append(" ").append(name).append(": ").append(before).append(" -> ").append(after);
}

template <typename Table>
std::vector<std::string> lines_for(const touched_objectT& touched)
{
    const std::string title = std::string(log_entry::EnumNameobject_kind(touched.kind)) + " " + touched.name;
    if (touched.before.empty() && touched.after.empty()) {
        return {};
    }
    if (touched.before.empty()) {
        return {"+ " + title + all_fields(fields_of(*unpack<Table>(touched.after)))};
    }
    if (touched.after.empty()) {
        return {"- " + title};
    }
    const field_values before = fields_of(*unpack<Table>(touched.before));
    const field_values after = fields_of(*unpack<Table>(touched.after));
    std::vector<std::string> lines;
    for (const auto& [name, value] : after) {
        if (before.at(name) != value) {
            lines.push_back(changed_field(title, name, before.at(name), value));
        }
    }
    if (lines.empty() && touched.before != touched.after) {
        lines.push_back("~ " + title + " keys: changed after the first four characters");
    }
    return lines;
}

} // namespace

std::vector<touched_objectT> compare(const op::configT& before, const op::configT& after)
{
    std::vector<touched_objectT> out;
    compare_lists(object_kind::team, before.teams, after.teams, out);
    compare_lists(object_kind::service, before.services, after.services, out);
    compare_lists(object_kind::failure_domain, before.failure_domains, after.failure_domains, out);
    compare_lists(object_kind::endpoint, before.endpoints, after.endpoints, out);
    return out;
}

void revert(op::configT& config, const std::vector<std::unique_ptr<touched_objectT>>& touched)
{
    for (const auto& item : touched) {
        switch (item->kind) {
        case object_kind::team:
            revert_object(config.teams, *item);
            break;
        case object_kind::service:
            revert_object(config.services, *item);
            break;
        case object_kind::failure_domain:
            revert_object(config.failure_domains, *item);
            break;
        case object_kind::endpoint:
            revert_object(config.endpoints, *item);
            break;
        }
    }
}

std::vector<std::string> describe_change(const touched_objectT& touched)
{
    switch (touched.kind) {
    case object_kind::team:
        return lines_for<op::team>(touched);
    case object_kind::service:
        return lines_for<op::service>(touched);
    case object_kind::failure_domain:
        return lines_for<op::failure_domain>(touched);
    case object_kind::endpoint:
        return lines_for<op::endpoint>(touched);
    }
    return {};
}

} // namespace verbena::control
