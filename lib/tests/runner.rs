//! The integration tests of the library crate, in one binary.
#![expect(
    clippy::unwrap_used,
    reason = "a panic in a test helper fails the test, as intended"
)]

mod rig;
mod test_catalog_apply;
mod test_catalog_store;
mod test_claims_journal;
mod test_claims_owner;
mod test_config_spread;
mod test_entry_failures;
mod test_entry_fakes;
mod test_entry_input;
mod test_entry_life;
mod test_entry_path;
mod test_entry_session_state;
mod test_ids;
mod test_lease_elector;
mod test_link_tls;
mod test_members_table;
mod test_operator_account;
mod test_operator_request_history;
mod test_owner_evict;
mod test_owner_requests;
mod test_owner_rig;
mod test_owner_safety;
mod test_owner_takeover;
mod test_pool_commands;
mod test_pool_faults;
mod test_pool_invariants;
mod test_pool_outcomes;
mod test_pool_rig;
mod test_serving_access;
mod test_serving_adapter_planner;
mod test_serving_experiment;
mod test_serving_feed;
mod test_serving_feed_late;
mod test_serving_feed_outage;
mod test_serving_feed_search;
mod test_serving_instances;
mod test_serving_leaving;
mod test_serving_members;
mod test_serving_order_timeout;
mod test_serving_ownership;
mod test_serving_place;
mod test_serving_port;
mod test_serving_prefill_turns;
mod test_serving_quota;
mod test_serving_reachability;
mod test_serving_recency;
mod test_serving_replica_limit_search;
mod test_serving_replica_limits;
mod test_serving_reservations;
mod test_serving_rest;
mod test_serving_restore;
mod test_serving_retry_budget;
mod test_serving_retry_budget_search;
mod test_serving_routes;
mod test_serving_speeds;
mod test_serving_subscriptions;
mod test_serving_table;
mod test_serving_urgency;
mod test_serving_waiting;
mod test_telemetry;
mod test_upstream_sse;
mod test_usage_store;
