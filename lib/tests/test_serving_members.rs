//! Which VMs there are, and how often they tell of themselves.

use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::Members;
use rstest::rstest;

/// VMs in three zones, as the first of them sees them.
fn fleet(vms: u16) -> Members {
    let mut members = Members::new("vm-0".parse().unwrap(), "z-0".parse().unwrap(), Moment(0));
    for i in 1..vms {
        let address = ([127, 0, 0, 1], 1_024 + i).into();
        let zone = format!("z-{}", i % 3).parse().unwrap();
        members.list(format!("vm-{i}").parse().unwrap(), address, zone);
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
    let beats = if vms > 24 { 3 } else { 2 };
    assert_eq!(members.news(), Span::from_millis(beats * ms + 100));
}

/// Bytes between zones are dear: in a large fleet the VMs of other zones are
/// told with every third beat only, and those of the own zone with each.
#[rstest]
#[case::small_fleet(9, [8, 8, 8])]
#[case::large_fleet(72, [23, 23, 71])]
fn audience_of_far_vms_is_told_less_often(#[case] vms: u16, #[case] told: [usize; 3]) {
    let members = fleet(vms);
    let counts = [1, 2, 3].map(|beat| members.audience(beat).count());
    assert_eq!(counts, told);
}

/// A VM that was only heard of may be anywhere, and is told with each beat.
#[test]
fn audience_holds_those_of_an_unknown_zone() {
    let mut members = fleet(72);
    let address = ([127, 0, 0, 1], 1_000).into();
    members.meet("vm-new".parse().unwrap(), address);
    assert_eq!(members.audience(1).count(), 24);
}
