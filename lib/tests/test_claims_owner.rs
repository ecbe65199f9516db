//! Calls with an idempotency key through owners, with the journal on the
//! platform stand-in.

use serde_json::Value;
use serde_json::json;

use crate::test_owner_rig::Plan;
use crate::test_owner_rig::Rig;
use crate::test_owner_rig::until;

const TWO: Plan = Plan {
    controls: 2,
    engines: 1,
    slots: 4,
    honours_token: true,
};

/// The states of all claims in the journal, in the order of the segments.
async fn recorded(rig: &Rig) -> Vec<Value> {
    let mut states = Vec::new();
    for number in 1..8 {
        if let Some(segment) = rig.object("claims", &format!("p-{number}")).await {
            let claims = segment["claims"].as_object().unwrap().clone();
            states.extend(claims.into_iter().map(|(_, state)| state));
        }
    }
    states
}

#[tokio::test]
async fn claim_durable_before_the_grant() {
    let rig = Rig::start(TWO).await;
    let first = rig.owner(1).await;
    let mut entry = rig.open_session(first, "e", &[]).await;
    let grant = entry.granted_keyed(1, "a", "k").await;
    assert_eq!(recorded(&rig).await, ["r"]);
    // Another entry uses the same key.
    let mut other = rig.open_session(first, "f", &[]).await;
    other.acquire(1, "a", "k").await;
    let refusal = other.refused().await;
    assert_eq!(
        (refusal.reason.as_str(), refusal.claim_state.as_str()),
        ("claim", "running")
    );
    entry.release(&grant, 0, "answered").await;
    until(async || (recorded(&rig).await == ["a"]).then_some(())).await;
    other.acquire(2, "a", "k").await;
    assert_eq!(other.refused().await.claim_state, "answered");
}

#[tokio::test]
async fn claim_survives_its_owner() {
    let mut rig = Rig::start(TWO).await;
    let first = rig.owner(1).await;
    let mut entry = rig.open_session(first, "e", &[]).await;
    entry.granted_keyed(1, "a", "k").await;
    rig.controls[first] = None;
    let second = rig.owner(2).await;
    let mut other = rig.open_session(second, "f", &[]).await;
    // Calls with a key are refused until the journal is read.
    let mut request = 0;
    let refusal = loop {
        request += 1;
        other.acquire(request, "a", "k").await;
        let refusal = other.refused().await;
        if refusal.reason != "platform_down" {
            break refusal;
        }
    };
    assert_eq!(
        (refusal.reason.as_str(), refusal.claim_state.as_str()),
        ("claim", "unknown")
    );
}

#[tokio::test]
async fn adopted_outcome_recorded_by_the_next_owner() {
    let mut rig = Rig::start(TWO).await;
    let first = rig.owner(1).await;
    let mut entry = rig.open_session(first, "e", &[]).await;
    let grant = entry.granted_keyed(1, "a", "k").await;
    rig.controls[first] = None;
    let second = rig.owner(2).await;
    let entry = rig
        .open_session(second, "e", std::slice::from_ref(&grant))
        .await;
    // The next owner has read the journal once its own segment exists.
    until(async || rig.object("claims", "p-2").await).await;
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    entry.release_answered(&grant, "k").await;
    until(async || (recorded(&rig).await == ["a"]).then_some(())).await;
}

#[tokio::test]
async fn outage_refuses_keyed_calls_only() {
    let rig = Rig::start(TWO).await;
    let first = rig.owner(1).await;
    let mut entry = rig.open_session(first, "e", &[]).await;
    // A first grant shows that the journal is read, so that only the commit fails.
    entry.granted_keyed(9, "a", "other").await;
    rig.faults(json!({"down": true})).await;
    entry.acquire(1, "a", "k").await;
    assert_eq!(entry.refused().await.reason, "platform_down");
    entry.acquire(2, "a", "").await;
    entry.granted().await;
    rig.faults(json!({"down": false})).await;
    // The refused call did not run, so its key can be used again.
    entry.acquire(3, "a", "k").await;
    entry.granted().await;
    assert_eq!(recorded(&rig).await, ["r", "r"]);
}

#[tokio::test]
async fn lost_commit_answer_is_settled() {
    let rig = Rig::start(TWO).await;
    let first = rig.owner(1).await;
    let mut entry = rig.open_session(first, "e", &[]).await;
    entry.granted_keyed(9, "a", "other").await;
    // Lease renewals may lose their answers too; both are read back.
    rig.faults(json!({"lose_after_write": 3})).await;
    entry.acquire(1, "a", "k").await;
    entry.granted().await;
    assert_eq!(recorded(&rig).await, ["r", "r"]);
}
