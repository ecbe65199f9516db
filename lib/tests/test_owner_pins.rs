//! Adapters that an engine may still run.

use std::time::Duration;

use banyangauge::control::owner::Pins;
use banyangauge::ids::AdapterVersion;
use banyangauge::ids::Incarnation;
use banyangauge::ids::ReplicaName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use rstest::rstest;

use crate::test_owner_rig::Plan;
use crate::test_owner_rig::Rig;

fn ms(t: u64) -> Moment {
    Moment(t * 1_000)
}

#[rstest]
#[case::same("r-1", 1, "a@1", 4_000)]
#[case::other_replica("r-2", 1, "a@1", 0)]
#[case::restarted("r-1", 2, "a@1", 0)]
#[case::other_version("r-1", 1, "a@2", 0)]
fn wait_for(
    #[case] replica: &str,
    #[case] incarnation: u64,
    #[case] adapter: &str,
    #[case] wait: u64,
) {
    let replica = ReplicaName::new(replica).unwrap();
    let adapter: AdapterVersion = adapter.parse().unwrap();
    let mut pins = Pins::default();
    let pinned = ReplicaName::new("r-1").unwrap();
    pins.pin(ms(1_000), &pinned, Incarnation(1), &"a@1".parse().unwrap());
    let left = pins.wait(ms(3_000), &replica, Incarnation(incarnation), &adapter);
    assert_eq!(left, Span::from_millis(wait));
    let late = pins.wait(ms(7_000), &replica, Incarnation(incarnation), &adapter);
    assert_eq!(late, Span(0));
}

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
