#include "control_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace verbena::test;
using op::change_result;

namespace {

control::configuration make_configuration_with_service()
{
    control::configuration config;
    config.apply(put_service("service", 0, "chat", {"llama/8b:v1", "llama/8b:v2"}));
    return config;
}

void check_invalid(control::configuration& config, const op::change_requestT& request)
{
    const revision before = config.current_revision();
    const op::change_replyT reply = config.apply(request);
    BOOST_TEST((reply.result == change_result::invalid));
    BOOST_TEST(!reply.message.empty());
    BOOST_TEST(!reply.remedy.empty());
    BOOST_TEST(config.current_revision() == before);
}

const op::endpointT& endpoint_of(const control::configuration& config)
{
    return *config.current()->endpoints.at(0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_configuration)

// Guards against one operator overwriting a concurrent change of another.
BOOST_AUTO_TEST_CASE(second_change_based_on_the_same_revision_is_a_conflict)
{
    control::configuration config;
    const auto first = config.apply(put_team("riga-1", 0, "clerks", 10));
    const auto second = config.apply(put_team("iasi-1", 0, "clerks", 20));
    BOOST_TEST((first.result == change_result::accepted));
    BOOST_TEST(first.revision == 1U);
    BOOST_TEST((second.result == change_result::conflict));
    BOOST_TEST(second.revision == 1U);
    BOOST_TEST(!second.remedy.empty());
    BOOST_TEST(config.current()->teams.at(0)->weight == 10U);
}

// Guards against applying a change twice when it is resent after a lost answer.
BOOST_AUTO_TEST_CASE(resend_gets_the_first_answer)
{
    control::configuration config;
    const auto first = config.apply(put_team("a", 0, "clerks"));
    config.apply(put_team("b", 1, "buyers"));
    const auto resent = config.apply(put_team("a", 0, "clerks"));
    BOOST_TEST((first == resent));
    BOOST_TEST(config.current_revision() == 2U);
}

// Guards against a refused change taking effect later because a resend is evaluated again.
BOOST_AUTO_TEST_CASE(resend_of_a_conflict_stays_a_conflict)
{
    control::configuration config;
    const auto first = config.apply(put_team("early", 1, "clerks"));
    config.apply(put_team("b", 0, "buyers"));
    const auto resent = config.apply(put_team("early", 1, "clerks"));
    BOOST_TEST((first.result == change_result::conflict));
    BOOST_TEST((resent == first));
    BOOST_TEST(config.current_revision() == 1U);
}

// Guards against answering a reused request id with the result of a different change.
BOOST_AUTO_TEST_CASE(same_request_id_with_another_body_is_invalid)
{
    control::configuration config;
    config.apply(put_team("a", 0, "clerks", 10));
    check_invalid(config, put_team("a", 0, "clerks", 20));
    check_invalid(config, put_team("a", 1, "clerks", 10));
    BOOST_TEST((config.apply(put_team("a", 0, "clerks", 10)).result == change_result::accepted));
}

BOOST_AUTO_TEST_CASE(stored_answers_are_bounded_and_the_oldest_is_dropped)
{
    control::configuration_limits limits;
    limits.answers = 2;
    control::configuration config(limits);
    config.apply(put_team("a", 0, "t1"));
    config.apply(put_team("b", 1, "t2"));
    config.apply(put_team("c", 2, "t3"));
    BOOST_TEST((config.apply(put_team("b", 1, "t2")).result == change_result::accepted));
    BOOST_TEST((config.apply(put_team("a", 0, "t1")).result == change_result::conflict));
}

BOOST_AUTO_TEST_CASE(dry_run_changes_nothing_and_stores_no_answer)
{
    control::configuration config;
    auto request = put_team("a", 0, "clerks");
    request.dry_run = true;
    BOOST_TEST((config.apply(request).result == change_result::dry_run_ok));
    BOOST_TEST((config.check(request).result == change_result::dry_run_ok));
    BOOST_TEST(config.current_revision() == 0U);
    request.dry_run = false;
    BOOST_TEST((config.apply(request).result == change_result::accepted));
}

// Guards against documents that an entry or agent could not act on.
BOOST_AUTO_TEST_CASE(malformed_documents_are_invalid)
{
    control::configuration config = make_configuration_with_service();
    check_invalid(config, make_change("none", 1));
    auto two = put_team("two", 1, "clerks");
    two.remove_service = "chat";
    check_invalid(config, two);
    check_invalid(config, put_team("bad name", 1, "two words"));
    check_invalid(config, put_team("weight", 1, "clerks", 0));
    check_invalid(config, put_team("weight", 1, "clerks", 10'001));
    auto limit = put_team("limit", 1, "clerks");
    limit.put_team->max_outstanding = 0;
    check_invalid(config, limit);
    auto key = put_team("key", 1, "clerks");
    key.put_team->keys = {"short"};
    check_invalid(config, key);
    check_invalid(config, put_domain("leaving", 1, "dc1", op::admin_state::leaving));
    check_invalid(config, put_service("empty", 1, "empty", {}));
    check_invalid(config, put_team("", 1, "clerks"));
    check_invalid(config, put_team(std::string(65, 'x'), 1, "clerks"));
}

// Guards against a caller key that identifies two teams.
BOOST_AUTO_TEST_CASE(team_keys_are_unique_across_teams)
{
    control::configuration config;
    config.apply(put_team("a", 0, "clerks"));
    auto request = put_team("b", 1, "buyers");
    request.put_team->keys = {"secret-of-clerks"};
    check_invalid(config, request);
}

BOOST_AUTO_TEST_CASE(duplicate_names_in_a_document_are_invalid)
{
    control::configuration config;
    auto request = make_change("a", 0);
    request.replace_all = std::make_unique<op::configT>();
    for (int i = 0; i < 2; ++i) {
        request.replace_all->failure_domains.push_back(std::make_unique<op::failure_domainT>());
        request.replace_all->failure_domains.back()->name = "dc1";
    }
    check_invalid(config, request);
}

// Guards against orders for models that no service offers, and against removing a model that an order needs.
BOOST_AUTO_TEST_CASE(referenced_models_must_exist_and_cannot_be_removed)
{
    control::configuration config = make_configuration_with_service();
    check_invalid(config, put_endpoint("unknown", 1, "gpu-1", {"other"}));
    BOOST_TEST(
        (config.apply(put_endpoint("known", 1, "gpu-1", {"llama/8b:v1"})).result == change_result::accepted));
    auto removal = make_change("remove", 2);
    removal.remove_service = "chat";
    check_invalid(config, removal);
    check_invalid(config, put_service("shrink", 2, "chat", {"llama/8b:v2"}));
    auto unknown = make_change("unknown team", 2);
    unknown.remove_team = "nobody";
    check_invalid(config, unknown);
}

BOOST_AUTO_TEST_CASE(failure_domain_must_be_out_before_it_is_removed)
{
    control::configuration config;
    config.apply(put_domain("a", 0, "dc1", op::admin_state::in));
    auto removal = make_change("b", 1);
    removal.remove_failure_domain = "dc1";
    check_invalid(config, removal);
    config.apply(put_domain("c", 1, "dc1", op::admin_state::out));
    removal.request_id = "d";
    removal.expected_revision = 2;
    BOOST_TEST((config.apply(removal).result == change_result::accepted));
}

// Guards against two different orders with the same order epoch, also when the request supplies an epoch.
BOOST_AUTO_TEST_CASE(order_epoch_is_the_revision_that_changed_the_order)
{
    control::configuration config = make_configuration_with_service();
    config.apply(put_endpoint("a", 1, "gpu-1", {"llama/8b:v1"}));
    BOOST_TEST(endpoint_of(config).order_epoch == 2U);
    auto state_only = put_endpoint("b", 2, "gpu-1", {"llama/8b:v1"});
    state_only.put_endpoint->state = op::admin_state::leaving;
    state_only.put_endpoint->order_epoch = 99;
    config.apply(state_only);
    BOOST_TEST(endpoint_of(config).order_epoch == 2U);
    config.apply(put_endpoint("c", 3, "gpu-1", {"llama/8b:v2"}));
    BOOST_TEST(endpoint_of(config).order_epoch == 4U);
    auto role = put_endpoint("d", 4, "gpu-1", {"llama/8b:v2"});
    role.put_endpoint->desired_role = "prefill";
    config.apply(role);
    BOOST_TEST(endpoint_of(config).order_epoch == 5U);
}

// Guards against an order epoch that restarts after an endpoint was removed from the document.
BOOST_AUTO_TEST_CASE(order_epoch_grows_across_removal)
{
    control::configuration config = make_configuration_with_service();
    config.apply(put_endpoint("a", 1, "gpu-1", {"llama/8b:v1"}));
    auto removal = make_change("b", 2);
    removal.remove_endpoint = "gpu-1";
    config.apply(removal);
    config.apply(put_endpoint("c", 3, "gpu-1", {"llama/8b:v1"}));
    BOOST_TEST(endpoint_of(config).order_epoch == 4U);
}

// Guards against pasting an old document under the current revision number.
BOOST_AUTO_TEST_CASE(replace_all_refuses_a_document_of_another_revision)
{
    control::configuration config;
    config.apply(put_team("a", 0, "clerks"));
    auto request = make_change("b", 1);
    request.replace_all = config.at(1).value();
    config.apply(put_team("c", 1, "buyers"));
    request.expected_revision = 2;
    check_invalid(config, request);
}

// Guards against a document that is accepted but cannot be distributed in one frame.
BOOST_AUTO_TEST_CASE(document_above_the_size_limit_is_invalid)
{
    control::configuration_limits limits;
    limits.config_bytes = 400;
    control::configuration config(limits);
    BOOST_TEST((config.apply(put_team("a", 0, "clerks")).result == change_result::accepted));
    auto request = put_team("b", 1, "buyers");
    request.put_team->keys = {std::string(128, 'k'), std::string(127, 'k'), std::string(126, 'k')};
    check_invalid(config, request);
}

BOOST_AUTO_TEST_CASE(history_and_diff_show_each_revision)
{
    control::configuration config = make_configuration_with_service();
    config.apply(put_team("a", 1, "clerks", 100));
    config.apply(put_team("b", 2, "clerks", 200));
    const auto items = config.history(2, 10).items;
    BOOST_TEST_REQUIRE(items.size() == 2U);
    BOOST_TEST(items.at(0)->summary == "put team clerks");
    BOOST_TEST(items.at(1)->request_id == "b");
    const auto forward = config.diff(2, 3).value();
    BOOST_TEST_REQUIRE(forward.size() == 1U);
    BOOST_TEST(forward.at(0) == "~ team clerks weight: 100 -> 200");
    BOOST_TEST(config.diff(3, 2).value().at(0) == "~ team clerks weight: 200 -> 100");
    BOOST_TEST(config.diff(1, 3).value().at(0).starts_with("+ team clerks"));
    BOOST_TEST(config.diff(3, 1).value().at(0) == "- team clerks");
    BOOST_TEST(config.diff(2, 2).value().empty());
    BOOST_TEST((config.diff(2, 9).error().kind == error_kind::not_found));
}

BOOST_AUTO_TEST_CASE(older_revisions_are_rebuilt_and_bounded)
{
    control::configuration_limits limits;
    limits.revisions = 3;
    control::configuration config(limits);
    std::vector<op::configT> documents{*config.current()};
    for (revision number = 0; number < 6; ++number) {
        const std::string name = "team" + std::to_string(number % 4);
        config.apply(put_team("r" + std::to_string(number), number, name, 10 + number));
        documents.push_back(*config.current());
    }
    for (revision number = 3; number <= 6; ++number) {
        BOOST_TEST((*config.at(number).value() == documents.at(number)));
    }
    const auto missing = config.at(2);
    BOOST_TEST_REQUIRE(!missing.has_value());
    BOOST_TEST(!missing.error().remedy.empty());
}

BOOST_AUTO_TEST_SUITE_END()
