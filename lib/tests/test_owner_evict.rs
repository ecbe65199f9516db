//! An adapter is not evicted while its engine may still run a request on it, that
//! is after a dispatch that ended without a complete answer.

use std::time::Duration;

use rstest::rstest;

use crate::test_owner_rig::Plan;
use crate::test_owner_rig::Rig;

#[rstest]
#[case::broken_early(2)]
#[case::broken_late(3)]
#[case::cancelled(4)]
#[case::wrong_identity(5)]
#[tokio::test]
async fn eviction_waits_after(#[case] outcome: u32) {
    let plan = Plan {
        controls: 1,
        engines: 1,
        slots: 1,
        honours_token: true,
    };
    let rig = Rig::start(plan).await;
    let mut entry = rig.open_session(rig.owner(1).await, "e", &[]).await;
    entry.acquire(1, "a", "").await;
    let grant = entry.granted().await;
    entry.release(&grant, outcome, "").await;
    entry.acquire(2, "b", "").await;
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(rig.orders(0, "unload").await, []);
    }
    assert_eq!(entry.granted().await.adapter, "b");
}
