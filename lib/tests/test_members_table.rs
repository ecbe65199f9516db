//! The membership table of the gossip protocol.

use banyangauge::control::MemberState;
use banyangauge::control::Members;
use banyangauge::control::candidates;
use banyangauge::ids::Revision;
use banyangauge::ids::VmName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge_proto::Member;

fn ms(t: u64) -> Moment {
    Moment(t * 1_000)
}

fn member(n: u64, incarnation: u64, heartbeat: u64) -> Member {
    Member {
        vm: format!("vm-{n}"),
        address: format!("127.0.0.1:{}", 7_000 + n),
        zone: "a".to_owned(),
        incarnation,
        heartbeat,
        ..Member::default()
    }
}

fn table(n: u64) -> Members {
    let (suspect, gone) = (Span::from_millis(2_000), Span::from_millis(10_000));
    Members::new(ms(0), member(n, 1, 0), suspect, gone).unwrap()
}

fn state(m: &Members, n: u64) -> Option<u32> {
    let vm = VmName::new(&format!("vm-{n}")).unwrap();
    m.view().get(&vm).map(|m| m.state)
}

#[test]
fn detect_failures_suspect_then_gone() {
    let mut m = table(1);
    m.merge(ms(0), &[member(2, 1, 5)]);
    for (t, expected) in [
        (1_999, Some(MemberState::Live as u32)),
        (2_000, Some(MemberState::Suspect as u32)),
        (10_000, Some(MemberState::Gone as u32)),
        (70_000, None),
    ] {
        m.detect_failures(ms(t));
        assert_eq!(state(&m, 2), expected, "at {t} ms");
    }
    assert_eq!(state(&m, 1), Some(MemberState::Live as u32));
}

#[test]
fn merge_ignores_old_heartbeats() {
    let mut m = table(1);
    m.merge(ms(0), &[member(2, 1, 5)]);
    m.merge(ms(9_000), &[member(2, 1, 5), member(2, 1, 4)]);
    m.detect_failures(ms(10_000));
    assert_eq!(state(&m, 2), Some(MemberState::Gone as u32));
    // A gone member is not included in digests.
    assert_eq!(m.digest(ms(10_000), true, &[]).len(), 1);
}

#[test]
fn merge_prefers_higher_incarnation() {
    let mut m = table(1);
    m.merge(ms(0), &[member(2, 1, 500)]);
    m.detect_failures(ms(10_000));
    m.merge(ms(10_001), &[member(2, 2, 1)]);
    assert_eq!(state(&m, 2), Some(MemberState::Live as u32));
    m.merge(ms(10_002), &[member(2, 1, 900)]);
    let vm = VmName::new("vm-2").unwrap();
    assert_eq!(m.view()[&vm].incarnation, 2);
}

#[test]
fn digest_without_location() {
    let mut m = table(1);
    m.merge(ms(0), &[member(2, 1, 5)]);
    // New members are sent with address and zone, later without.
    assert!(
        m.digest(ms(9_999), false, &[])[1]
            .address
            .starts_with("127")
    );
    let mut record = m.digest(ms(10_000), false, &[])[1].clone();
    assert_eq!((record.address.as_str(), record.zone.as_str()), ("", ""));
    assert!(
        m.digest(ms(10_000), true, &[])[1]
            .address
            .starts_with("127")
    );
    record.heartbeat = 6;
    m.merge(ms(1_500), &[record.clone()]);
    m.detect_failures(ms(3_000));
    let vm = VmName::new("vm-2").unwrap();
    assert_eq!(m.view()[&vm].address, "127.0.0.1:7002");
    assert_eq!(state(&m, 2), Some(MemberState::Live as u32));
    // A process that does not know the member ignores the record.
    let mut other = table(3);
    other.merge(ms(0), &[record]);
    assert_eq!(state(&other, 2), None);
}

#[test]
fn digest_omits_known_records() {
    let mut m = table(1);
    m.merge(ms(0), &[member(2, 1, 5), member(3, 1, 7)]);
    let received = [member(2, 1, 5), member(3, 1, 6), member(1, 1, 0)];
    let answer = m.digest(ms(1), false, &received);
    let names: Vec<&str> = answer.iter().map(|m| m.vm.as_str()).collect();
    assert_eq!(names, ["vm-3"]);
}

#[test]
fn merge_ignores_records_of_self() {
    let mut m = table(1);
    let mut record = member(1, 9, 9);
    record.state = MemberState::Gone as u32;
    m.merge(ms(1), &[record]);
    assert_eq!(state(&m, 1), Some(MemberState::Live as u32));
}

#[test]
fn candidates_exclude_leaving() {
    let mut m = table(1);
    let mut other = table(2);
    other.advance_heartbeat(ms(1), Revision(7), true);
    m.merge(ms(2), &other.digest(ms(2), true, &[]));
    assert_eq!(candidates(&m.view()), [VmName::new("vm-1").unwrap()]);
    let vm = VmName::new("vm-2").unwrap();
    assert_eq!(m.view()[&vm].revision, 7);
}

#[test]
fn heartbeats_reach_all_members() {
    // In a ring each process receives digests only from its neighbour.
    let mut tables: Vec<Members> = (0..9).map(table).collect();
    for round in 0..20 {
        for n in 0..9 {
            let now = ms(round * 100);
            tables[n].advance_heartbeat(now, Revision(0), false);
            let digest = tables[n].digest(now, false, &[]);
            tables[(n + 1) % 9].merge(now, &digest);
        }
    }
    for m in &tables {
        assert_eq!(candidates(&m.view()).len(), 9);
    }
}
