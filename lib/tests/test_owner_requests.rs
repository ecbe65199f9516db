//! The owner's table of requests and grants.

use std::collections::BTreeSet;

use banyangauge::control::owner::RequestTable;
use banyangauge::control::owner::SessionId;
use banyangauge::ids::FencingToken;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge_proto::Acquire;
use banyangauge_proto::Grant;

const ONE: SessionId = SessionId(1);
const TWO: SessionId = SessionId(2);

fn ms(t: u64) -> Moment {
    Moment(t * 1_000)
}

fn acquire(request: u64) -> Acquire {
    Acquire {
        request,
        ..Acquire::default()
    }
}

fn grant(number: u64, request: u64) -> Grant {
    Grant {
        request,
        grant: number,
        ..Grant::default()
    }
}

#[test]
fn tickets_differ_between_owners() {
    let mut first = RequestTable::new(FencingToken(1));
    let mut second = RequestTable::new(FencingToken(2));
    let a = first.enqueue("vm-1/1", acquire(1), None);
    let b = second.enqueue("vm-1/1", acquire(1), None);
    assert_ne!(a, b);
}

#[test]
fn new_stream_replaces_the_old() {
    let mut table = RequestTable::new(FencingToken(1));
    table.open(ONE, "vm-1/1", &BTreeSet::new());
    let held = table.enqueue("vm-1/1", acquire(1), None);
    let lost = table.enqueue("vm-1/1", acquire(2), None);
    let waits = table.enqueue("vm-1/1", acquire(3), None);
    let other = table.enqueue("vm-2/1", acquire(1), None);
    for t in [held, lost, other] {
        table.mark_granted(t, grant(t.0, 1), ms(10));
    }
    let opened = table.open(TWO, "vm-1/1", &BTreeSet::from([held.0]));
    assert_eq!((opened.unused, opened.waiting), (vec![lost], vec![waits]));
    assert_eq!(
        (table.entry_of(ONE), table.entry_of(TWO)),
        (None, Some("vm-1/1"))
    );
    // Closing the old stream ends no request of the new one.
    assert_eq!(table.close(ONE), []);
    assert_eq!(table.session_of("vm-1/1"), Some(TWO));
}

#[test]
fn grant_lapses_unless_renewed() {
    let mut table = RequestTable::new(FencingToken(1));
    table.open(ONE, "vm-1/1", &BTreeSet::new());
    let ticket = table.enqueue("vm-1/1", acquire(1), None);
    table.mark_granted(ticket, grant(ticket.0, 1), ms(10_000));
    let margin = Span::from_millis(2_000);
    assert_eq!(table.expired(ms(11_999), margin), []);
    assert!(table.renew("vm-1/1", ticket.0, ms(15_000)));
    assert_eq!(table.expired(ms(12_000), margin), []);
    assert_eq!(table.expired(ms(17_000), margin), [ticket]);
    // An entry cannot renew another entry's grant.
    assert!(!table.renew("vm-2/1", ticket.0, ms(90_000)));
}

#[test]
fn adopted_grant_outlives_its_stream() {
    let mut table = RequestTable::new(FencingToken(2));
    table.open(ONE, "vm-1/1", &BTreeSet::from([77]));
    assert!(table.adopt("vm-1/1", &grant(77, 5), ms(10)));
    assert!(!table.adopt("vm-1/1", &grant(77, 5), ms(20)));
    assert_eq!(table.close(ONE), []);
    assert!(table.entries().contains("vm-1/1"));
    assert_eq!(table.expired(ms(20), Span(0)).len(), 1);
}
