//! An adapter that its engine may still run is not evicted yet.

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
        honours: true,
    };
    let rig = Rig::start(plan).await;
    let mut entry = rig.enter(rig.owner(1).await, "e", &[]).await;
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
