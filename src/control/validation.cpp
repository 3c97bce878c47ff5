#include "control/validation.h"

#include <algorithm>
#include <set>
#include <string>

namespace verbena::control {

namespace {

// Upper bounds keep the document small enough to distribute. They are far above the design size, two years
// ahead.
constexpr std::size_t max_teams = 10'000;
constexpr std::size_t max_keys_per_team = 16;
constexpr std::size_t max_services = 1'000;
constexpr std::size_t max_models_per_service = 256;
constexpr std::size_t max_paths_per_service = 64;
constexpr std::size_t max_path_length = 128;
constexpr std::size_t max_failure_domains = 64;
constexpr std::size_t max_endpoints = 10'000;
constexpr std::uint32_t max_weight = 10'000;
constexpr std::uint32_t max_outstanding_limit = 100'000;
constexpr std::uint64_t max_token_rate = 1'000'000'000;

bool is_alphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool is_name(std::string_view text, std::string_view punctuation, std::size_t max_length)
{
    if (text.empty() || text.size() > max_length || !is_alphanumeric(text.front())) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [punctuation](char c) {
        return is_alphanumeric(c) || punctuation.find(c) != std::string_view::npos;
    });
}

bool is_visible_ascii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

error invalid(std::string message, std::string remedy)
{
    return make_error(error_kind::invalid_request, std::move(message), std::move(remedy));
}

std::string quoted(const char* what, const std::string& name)
{
    return std::string(what).append(" '").append(name).append("'");
}

result<void> check_count(const char* what, std::size_t count, std::size_t limit)
{
    if (count > limit) {
        return invalid(std::string("too many ") + what + ": " + std::to_string(count),
                       "use at most " + std::to_string(limit));
    }
    return success();
}

result<void> check_range(const std::string& where, std::uint64_t value, std::uint64_t limit)
{
    if (value == 0 || value > limit) {
        return invalid(where + " is " + std::to_string(value), "use 1 to " + std::to_string(limit));
    }
    return success();
}

result<void> check_name(const char* what, const std::string& name)
{
    if (!is_well_formed_name(name)) {
        return invalid(std::string(what) + " name '" + name.substr(0, 80) + "' is not well-formed",
                       "use a letter or digit, then letters, digits, '.', '_' or '-', at most 64 characters");
    }
    return success();
}

result<void> check_model(const std::string& where, const std::string& name)
{
    if (!is_well_formed_model(name)) {
        return invalid(where + ": model or adapter '" + name.substr(0, 140) + "' is not well-formed",
                       "use a letter or digit, then letters, digits, '.', '_', '-', '/', ':' or '@', at most "
                       "128 characters");
    }
    return success();
}

// Checks that the names of one kind of object are well-formed and unique.
template <typename Object>
result<void> check_names(const char* what, const std::vector<std::unique_ptr<Object>>& objects)
{
    std::set<std::string_view> seen;
    for (const auto& object : objects) {
        if (object == nullptr) {
            return invalid(std::string("empty ") + what, "remove the null from the list");
        }
        BOOST_OUTCOME_TRY(check_name(what, object->name));
        if (!seen.insert(object->name).second) {
            return invalid(std::string(what) + " '" + object->name + "' is given twice",
                           "remove one of the two");
        }
    }
    return success();
}

result<void> check_team_keys(const op::teamT& team, std::set<std::string_view>& seen)
{
    const std::string where = quoted("team", team.name);
    BOOST_OUTCOME_TRY(check_count((where + ".keys").c_str(), team.keys.size(), max_keys_per_team));
    for (const std::string& key : team.keys) {
        if (!is_well_formed_team_key(key)) {
            return invalid(where + " has a key that is not well-formed",
                           "use 8 to 128 visible ASCII characters without spaces");
        }
        if (!seen.insert(key).second) {
            return invalid(where + " has a key that is already in use", "give each team keys of its own");
        }
    }
    return success();
}

result<void> check_teams(const op::configT& config)
{
    BOOST_OUTCOME_TRY(check_count("teams", config.teams.size(), max_teams));
    BOOST_OUTCOME_TRY(check_names("team", config.teams));
    std::set<std::string_view> keys;
    for (const auto& team : config.teams) {
        const std::string where = quoted("team", team->name);
        BOOST_OUTCOME_TRY(check_range(where + ".weight", team->weight, max_weight));
        BOOST_OUTCOME_TRY(
            check_range(where + ".max_outstanding", team->max_outstanding, max_outstanding_limit));
        BOOST_OUTCOME_TRY(check_range(where + ".max_tokens_per_s", team->max_tokens_per_s, max_token_rate));
        BOOST_OUTCOME_TRY(check_team_keys(*team, keys));
    }
    return success();
}

result<void> check_unique_models(const std::string& where, const std::vector<std::string>& names)
{
    BOOST_OUTCOME_TRY(
        check_count((where + " models or adapters").c_str(), names.size(), max_models_per_service));
    std::set<std::string_view> seen;
    for (const std::string& name : names) {
        BOOST_OUTCOME_TRY(check_model(where, name));
        if (!seen.insert(name).second) {
            return invalid(where + quoted(" names", name) + " twice", "remove one of the two");
        }
    }
    return success();
}

result<void> check_paths(const std::string& where, const op::serviceT& service)
{
    BOOST_OUTCOME_TRY(check_count((where + ".paths").c_str(), service.paths.size(), max_paths_per_service));
    std::set<std::string_view> seen;
    for (const auto& path : service.paths) {
        if (path == nullptr || path->prefix.empty() || path->prefix.front() != '/' ||
            path->prefix.size() > max_path_length || !is_visible_ascii(path->prefix)) {
            return invalid(where + " has a path prefix that is not well-formed",
                           "start it with '/', without spaces, at most 128 characters");
        }
        if (!seen.insert(path->prefix).second) {
            return invalid(where + " has two rules for the path '" + path->prefix + "'",
                           "remove one of the two");
        }
    }
    return success();
}

result<void> check_service_kind(const std::string& where, const op::serviceT& service)
{
    if (service.kind > op::service_kind::MAX) {
        return invalid(where + " has an unknown kind", "use model or plain");
    }
    if (service.kind == op::service_kind::model && service.models.empty()) {
        return invalid(where + " of kind model has no models", "list its models, or use kind plain");
    }
    if (service.kind == op::service_kind::plain && !(service.models.empty() && service.adapters.empty())) {
        return invalid(where + " of kind plain lists models or adapters", "remove them, or use kind model");
    }
    return success();
}

result<void> check_services(const op::configT& config)
{
    BOOST_OUTCOME_TRY(check_count("services", config.services.size(), max_services));
    BOOST_OUTCOME_TRY(check_names("service", config.services));
    for (const auto& service : config.services) {
        const std::string where = quoted("service", service->name);
        BOOST_OUTCOME_TRY(check_service_kind(where, *service));
        BOOST_OUTCOME_TRY(check_unique_models(where, service->models));
        BOOST_OUTCOME_TRY(check_unique_models(where, service->adapters));
        BOOST_OUTCOME_TRY(check_paths(where, *service));
    }
    return success();
}

std::set<std::string_view> offered_models(const op::configT& config)
{
    std::set<std::string_view> names;
    for (const auto& service : config.services) {
        names.insert(service->models.begin(), service->models.end());
        names.insert(service->adapters.begin(), service->adapters.end());
    }
    return names;
}

result<void> check_failure_domains(const op::configT& config)
{
    BOOST_OUTCOME_TRY(check_count("failure domains", config.failure_domains.size(), max_failure_domains));
    BOOST_OUTCOME_TRY(check_names("failure domain", config.failure_domains));
    for (const auto& domain : config.failure_domains) {
        if (domain->state != op::admin_state::in && domain->state != op::admin_state::out) {
            return invalid("failure domain '" + domain->name + "' has neither state in nor out",
                           "use in or out");
        }
    }
    return success();
}

result<void> check_desired(const op::endpointT& endpoint, const std::set<std::string_view>& offered)
{
    const std::string where = quoted("endpoint", endpoint.name);
    BOOST_OUTCOME_TRY(check_unique_models(where, endpoint.desired_models));
    for (const std::string& model : endpoint.desired_models) {
        if (offered.count(model) == 0) {
            return invalid(where + quoted(" should load", model) + ", which no service offers",
                           "add the model to a service first, or change the endpoint's desired_models first");
        }
    }
    if (!endpoint.desired_role.empty()) {
        BOOST_OUTCOME_TRY(check_name("role", endpoint.desired_role));
    }
    return success();
}

result<void> check_endpoints(const op::configT& config)
{
    BOOST_OUTCOME_TRY(check_count("endpoints", config.endpoints.size(), max_endpoints));
    BOOST_OUTCOME_TRY(check_names("endpoint", config.endpoints));
    const std::set<std::string_view> offered = offered_models(config);
    for (const auto& endpoint : config.endpoints) {
        if (endpoint->state > op::admin_state::MAX) {
            return invalid("endpoint '" + endpoint->name + "' has an unknown state",
                           "use in, leaving or out");
        }
        BOOST_OUTCOME_TRY(check_desired(*endpoint, offered));
    }
    return success();
}

} // namespace

bool is_well_formed_name(std::string_view text)
{
    return is_name(text, "._-", 64);
}

bool is_well_formed_model(std::string_view text)
{
    return is_name(text, "._-/:@", 128);
}

bool is_well_formed_team_key(std::string_view text)
{
    return text.size() >= 8 && text.size() <= 128 && is_visible_ascii(text);
}

bool is_well_formed_request_id(std::string_view text)
{
    return !text.empty() && text.size() <= 64 && is_visible_ascii(text);
}

result<void> validate(const op::configT& config)
{
    BOOST_OUTCOME_TRY(check_teams(config));
    BOOST_OUTCOME_TRY(check_services(config));
    BOOST_OUTCOME_TRY(check_failure_domains(config));
    BOOST_OUTCOME_TRY(check_endpoints(config));
    return success();
}

} // namespace verbena::control
