//! Limits that replicas state for all VMs together.

use banyangauge::ids::Incarnation;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::Instance;
use banyangauge::serving::quota::LendReply;
use banyangauge::serving::quota::LendRequest;
use banyangauge::serving::replica_limits::GrantStamp;
use banyangauge::serving::replica_limits::Heard;
use banyangauge::serving::replica_limits::LimitLedger;
use banyangauge::serving::replica_limits::LimitReply;
use banyangauge::serving::replica_limits::Observation;
use banyangauge::serving::replica_limits::Outcome;
use banyangauge::serving::replica_limits::ReplicaLimits;
use banyangauge::serving::replica_limits::StatedLimit;
use rstest::rstest;

fn at(ms: u64) -> Moment {
    Moment(10_000_000).after(Span::from_millis(ms))
}

/// Two responses; each is sent at the first time and arrives at the second one.
#[rstest]
#[case::in_order((0, 10, Some(1.0)), (20, 30, None), None)]
#[case::end_overtaken_by_limit((0, 10, Some(1.0)), (5, 20, None), Some(1.0))]
#[case::raise_in_order((0, 10, Some(1.0)), (20, 30, Some(2.0)), Some(2.0))]
#[case::raise_overtaken((0, 10, Some(1.0)), (5, 20, Some(2.0)), Some(1.0))]
#[case::lowered_at_once((0, 10, Some(2.0)), (5, 20, Some(1.0)), Some(1.0))]
#[case::limit_overtakes_nothing((5, 20, None), (0, 30, Some(1.0)), Some(1.0))]
fn later_statement_counts(
    #[case] first: (u64, u64, Option<f64>),
    #[case] second: (u64, u64, Option<f64>),
    #[case] rate: Option<f64>,
) {
    let mut limit = StatedLimit::default();
    for (sent, arrived, stated) in [first, second] {
        limit.apply(at(arrived), at(sent), stated);
    }
    assert_eq!(limit.rate(), rate);
}

/// A confirmed limit can only be ended by a request sent after the confirmation.
#[test]
fn end_sent_before_a_confirmation_is_overtaken() {
    let mut limit = StatedLimit::default();
    limit.apply(at(10), at(0), Some(1.0));
    assert_eq!(limit.apply(at(40), at(12), Some(1.0)), Heard::Confirmed);
    assert_eq!(limit.apply(at(50), at(30), None), Heard::Overtaken);
    assert_eq!(limit.apply(at(60), at(41), None), Heard::Changed);
}

fn replica() -> Instance {
    Instance {
        name: "i-1".parse().unwrap(),
        started_ms: 1,
    }
}

const NEED_ONE: LendRequest = LendRequest {
    need: 1.0,
    ahead: 0.0,
};

/// A lender that has lent for a while a limit that VM `a` reported.
fn ledger(rate: f64) -> LimitLedger {
    let mut ledger = LimitLedger::new("l".parse().unwrap());
    report(&mut ledger, 0, "a", 1, Some(rate), None);
    for ms in (0..=9_000).step_by(300) {
        ledger.renew(at(ms), 1.0, &[replica()], |_| true);
    }
    ledger
}

/// VM `vm` reports a statement whose request was sent after a grant at `grant`.
fn report(
    ledger: &mut LimitLedger,
    ms: u64,
    vm: &str,
    number: u64,
    rate: Option<f64>,
    grant: Option<u64>,
) -> Heard {
    let grant = grant.map(|ms| GrantStamp {
        lender: "l".parse().unwrap(),
        at: at(ms),
    });
    let heard = Observation {
        number,
        rate,
        grant,
    };
    ledger.apply_report(
        at(ms),
        &replica(),
        (&vm.parse().unwrap(), Incarnation(1)),
        &heard,
    )
}

fn lend(ledger: &mut LimitLedger, ms: u64) -> LimitReply {
    ledger.lend(at(ms), &replica(), 1.0, true, NEED_ONE, None)
}

/// VM `b` hears the limit after VM `a` got a grant: that `a` then heard none says nothing.
#[rstest]
#[case::grant_before_other_report(9_000, 9_100, Heard::Overtaken)]
#[case::grant_after_other_report(9_200, 9_100, Heard::Changed)]
fn report_of_an_end_is_ordered_by_its_grant(
    #[case] grant: u64,
    #[case] other: u64,
    #[case] heard: Heard,
) {
    let mut ledger = ledger(1.0);
    report(&mut ledger, other, "b", 1, Some(1.0), None);
    let end = report(&mut ledger, 9_500, "a", 2, None, Some(grant));
    assert_eq!(end, heard);
}

/// A report that arrives twice does not set an ended limit again.
#[test]
fn repeated_report_is_ignored() {
    let mut ledger = ledger(1.0);
    report(&mut ledger, 9_000, "a", 2, None, Some(8_900));
    assert_eq!(
        report(&mut ledger, 9_100, "a", 1, Some(1.0), None),
        Heard::Confirmed
    );
    assert_eq!(lend(&mut ledger, 9_200).rate, None);
}

/// The grant of another lender, or from a clock that has been reset, proves nothing.
#[test]
fn grant_from_the_future_does_not_end_a_limit() {
    let mut ledger = ledger(1.0);
    let end = report(&mut ledger, 9_000, "a", 2, None, Some(99_000));
    assert_eq!(end, Heard::Overtaken);
}

#[rstest]
#[case::zero(0.0, 4_000)]
#[case::one(1.0, 1_000)]
#[case::four(4.0, 250)]
fn next_request_follows_from_the_limit(#[case] rate: f64, #[case] after_ms: u64) {
    let mut ledger = ledger(rate);
    assert_eq!(lend(&mut ledger, 9_000).lend, LendReply::Lent(1.0));
    let after = LendReply::Exhausted(Span::from_millis(after_ms));
    assert_eq!(lend(&mut ledger, 9_000).lend, after);
}

#[test]
fn huge_limit_is_no_limit() {
    let mut ledger = ledger(1e300);
    for _ in 0..100 {
        assert_eq!(lend(&mut ledger, 9_000).lend, LendReply::Lent(1.0));
    }
}

/// A VM that stands in for the first lender goes by what the asking VM has heard.
#[test]
fn second_lender_keeps_no_limit() {
    let mut ledger = LimitLedger::new("l".parse().unwrap());
    let request = NEED_ONE;
    let reply = ledger.lend(at(0), &replica(), 1.0, false, request, Some(4.0));
    assert_eq!(reply.rate, Some(4.0));
    assert_eq!(ledger.announced(at(0)).count(), 0);
}

/// A restarted replica has forgotten its limit.
#[test]
fn limit_belongs_to_an_incarnation() {
    let mut limits = ReplicaLimits::default();
    let sent = limits.stamp(at(0), &replica());
    limits.observe(at(10), &replica(), &sent, Some(1.0));
    let restarted = Instance {
        started_ms: 2,
        ..replica()
    };
    assert_eq!(limits.rate(at(20), &replica()), Some(1.0));
    assert_eq!(limits.rate(at(20), &restarted), None);
}

#[test]
fn announced_limit_expires() {
    let mut limits = ReplicaLimits::default();
    limits.apply_announcement(at(0), &replica(), 2.0, Span::from_millis(1_000));
    assert_eq!(limits.rate(at(999), &replica()), Some(2.0));
    assert_eq!(limits.rate(at(1_000), &replica()), None);
}

/// Numbers continue after a limit has ended, so that the lender takes no report for a
/// repeated one.
#[test]
fn observations_are_numbered_across_limits() {
    let mut limits = ReplicaLimits::default();
    let sent = limits.stamp(at(0), &replica());
    limits.observe(at(10), &replica(), &sent, Some(1.0));
    let first = limits.observation(&replica()).number;
    let ended = LimitReply {
        rate: None,
        lend: LendReply::Lent(1.0),
        stamp: GrantStamp {
            lender: "l".parse().unwrap(),
            at: at(0),
        },
    };
    let outcome = limits.apply_reply(at(20), &replica(), first, &ended);
    assert_eq!(outcome, Outcome::Granted);
    limits.observe(at(30), &replica(), &sent, Some(1.0));
    assert!(limits.observation(&replica()).number > first);
}

/// A reply that ends the limit does not apply to a statement that was heard meanwhile.
#[test]
fn reply_does_not_end_a_limit_heard_since() {
    let mut limits = ReplicaLimits::default();
    let sent = limits.stamp(at(0), &replica());
    limits.observe(at(10), &replica(), &sent, Some(1.0));
    let asked = limits.observation(&replica()).number;
    limits.observe(at(20), &replica(), &sent, Some(1.0));
    let ended = LimitReply {
        rate: None,
        lend: LendReply::Lent(1.0),
        stamp: GrantStamp {
            lender: "l".parse().unwrap(),
            at: at(0),
        },
    };
    let outcome = limits.apply_reply(at(30), &replica(), asked, &ended);
    assert_eq!(outcome, Outcome::AskAgain);
    assert_eq!(limits.rate(at(30), &replica()), Some(1.0));
}
