//! Which VMs there are, and how often they tell of themselves.

use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::Members;
use rstest::rstest;

/// VMs, as the first of them sees them.
fn fleet(vms: u16) -> Members {
    let mut members = Members::new("vm-0".parse().unwrap(), Moment(0));
    for i in 1..vms {
        let address = ([127, 0, 0, 1], 1_024 + i).into();
        members.list(format!("vm-{i}").parse().unwrap(), address);
    }
    members
}

/// The pause grows with the fleet only where beacons would take a part of a
/// small VM that shows; until then a picture is young at any size.
#[rstest]
#[case::small(9, 400)]
#[case::large(71, 400)]
#[case::larger(300, 1_600)]
#[case::largest(700, 3_200)]
fn beat_by_the_size_of_the_fleet(#[case] vms: u16, #[case] ms: u64) {
    let members = fleet(vms);
    assert_eq!(members.beat(), Span::from_millis(ms));
    assert_eq!(members.news(), Span::from_millis(ms + 100));
}
