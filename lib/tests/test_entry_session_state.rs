//! Session state: expiry of grants, reconnection, and that no release is lost.

use banyangauge::entry::Command;
use banyangauge::entry::HeldGrant;
use banyangauge::entry::PendingAcquire;
use banyangauge::entry::Reply;
use banyangauge::entry::SessionAction;
use banyangauge::entry::SessionState;
use banyangauge::entry::owner_candidate;
use banyangauge_proto as wire;
use rstest::rstest;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use wire::entry_message::Body as ToOwner;
use wire::owner_message::Body as FromOwner;

const SECOND: u64 = 1_000_000;
const TTL: u64 = 3 * SECOND;

struct Case {
    state: SessionState,
    commands: mpsc::Receiver<Command>,
}

impl Case {
    fn new() -> Self {
        let (sender, commands) = mpsc::channel(100);
        let mut state = SessionState::new("pool", "vm-1", 9, sender);
        state.connect(0);
        Self { state, commands }
    }

    fn acquire(&mut self, request: u64, now: u64) -> oneshot::Receiver<Reply> {
        let (reply, receiver) = oneshot::channel();
        let waiting = PendingAcquire {
            acquire: wire::Acquire {
                request,
                ..wire::Acquire::default()
            },
            deadline_us: 100 * SECOND,
            sent_us: 0,
            reply,
        };
        self.state
            .handle_command(Command::Acquire(Box::new(waiting)), now);
        receiver
    }

    fn grant(&mut self, request: u64, now: u64) -> SessionAction {
        let grant = wire::Grant {
            request,
            grant: request + 100,
            ttl_ms: TTL / 1_000,
            ..wire::Grant::default()
        };
        self.state.handle_message(FromOwner::Granted(grant), now)
    }

    fn renewed(&mut self, grants: &[u64], unknown: &[u64], now: u64) -> SessionAction {
        let renewed = wire::Renewed {
            grants: grants.to_vec(),
            unknown: unknown.to_vec(),
        };
        self.state.handle_message(FromOwner::Renewed(renewed), now)
    }

    /// Handles the command that a held grant has sent, as the session does.
    fn pump(&mut self, now: u64) -> Option<ToOwner> {
        let command = self.commands.try_recv().ok()?;
        self.state.handle_command(command, now)
    }
}

#[expect(clippy::unwrap_used, reason = "no grant is a failure of the test")]
fn granted(receiver: &mut oneshot::Receiver<Reply>) -> Box<HeldGrant> {
    match receiver.try_recv().unwrap() {
        Reply::Granted(held_grant) => held_grant,
        Reply::Refused(_) => panic!("refused"),
    }
}

fn hello_grants(open: &[ToOwner]) -> Vec<u64> {
    match &open[0] {
        ToOwner::Hello(h) => h.held.iter().map(|g| g.grant).collect(),
        _ => panic!("no hello"),
    }
}

#[test]
fn expiry_from_sending() {
    let mut case = Case::new();
    let mut receiver = case.acquire(1, SECOND);
    case.grant(1, SECOND + SECOND / 2);
    let held_grant = granted(&mut receiver);
    // The lease counts from the sending of the request, not from the grant's arrival.
    assert_eq!(held_grant.lease.expires_at(), SECOND + TTL);
    case.state.tick(2 * SECOND);
    assert_eq!(held_grant.lease.expires_at(), SECOND + TTL);
    case.renewed(&[101], &[], 3 * SECOND);
    assert_eq!(held_grant.lease.expires_at(), 2 * SECOND + TTL);
    assert!(held_grant.lease.has_expired(2 * SECOND + TTL));
}

#[test]
fn long_wait_confirmed_first() {
    let mut case = Case::new();
    let mut receiver = case.acquire(1, 0);
    // The time of the request gives no useful bound on the lease any more.
    let action = case.grant(1, 10 * SECOND);
    let renew = wire::Renew { grants: vec![101] };
    assert_eq!(action, SessionAction::Send(vec![ToOwner::Renew(renew)]));
    assert!(receiver.try_recv().is_err());
    case.renewed(&[101], &[], 10 * SECOND + 1);
    assert_eq!(granted(&mut receiver).lease.expires_at(), 10 * SECOND + TTL);
}

#[test]
fn long_wait_with_renewals_needs_none() {
    let mut case = Case::new();
    let mut receiver = case.acquire(1, 0);
    case.state.tick(9 * SECOND);
    case.renewed(&[], &[], 9 * SECOND + 1);
    // The grant came after the answer, so the owner made it after the renewal.
    case.grant(1, 10 * SECOND);
    assert_eq!(granted(&mut receiver).lease.expires_at(), 9 * SECOND + TTL);
}

#[test]
fn parked_unknown_reacquired() {
    let mut case = Case::new();
    let _receiver = case.acquire(1, 0);
    case.grant(1, 10 * SECOND);
    let SessionAction::Send(list) = case.renewed(&[], &[101], 10 * SECOND + 1) else {
        panic!("nothing sent");
    };
    assert!(matches!(&list[..], [ToOwner::Acquire(a)] if a.request == 1));
}

#[test]
fn unknown_grant_ends() {
    let mut case = Case::new();
    let mut receiver = case.acquire(1, 0);
    case.grant(1, 1);
    let held_grant = granted(&mut receiver);
    case.state.tick(SECOND);
    case.renewed(&[], &[101], SECOND + 1);
    assert!(held_grant.lease.has_expired(SECOND + 1));
}

#[test]
fn reconnect_lists_grants_and_reacquires() {
    let mut case = Case::new();
    let mut first = case.acquire(1, 0);
    let _second = case.acquire(2, 0);
    case.grant(1, 1);
    let _hold = granted(&mut first);
    case.state.disconnected();
    let open = case.state.connect(40 * SECOND);
    assert_eq!(hello_grants(&open), [101]);
    let asked = open.iter().find_map(|m| match m {
        ToOwner::Acquire(a) => Some((a.request, a.deadline_ms)),
        _ => None,
    });
    assert_eq!(asked, Some((2, 60_000)));
}

#[test]
fn release_resent_until_read() {
    let mut case = Case::new();
    let mut receiver = case.acquire(1, 0);
    case.grant(1, 1);
    drop(granted(&mut receiver));
    assert!(matches!(case.pump(2), Some(ToOwner::Release(r)) if r.outcome == 1));
    // The connection breaks, possibly before the owner has read the release.
    case.state.disconnected();
    let open = case.state.connect(3);
    assert_eq!(hello_grants(&open), [101]);
    assert!(matches!(&open[1], ToOwner::Release(r) if r.grant == 101));
    // The owner answers the renewal that follows the hello after reading the release.
    case.renewed(&[], &[], 4);
    case.state.disconnected();
    assert!(hello_grants(&case.state.connect(5)).is_empty());
}

#[test]
fn release_after_renewal_not_yet_read() {
    let mut case = Case::new();
    let mut receiver = case.acquire(1, 0);
    case.grant(1, 1);
    case.state.tick(SECOND);
    drop(granted(&mut receiver));
    case.pump(SECOND + 1);
    // The answered renewal was sent before the release.
    case.renewed(&[101], &[], SECOND + 2);
    case.state.disconnected();
    assert_eq!(hello_grants(&case.state.connect(2 * SECOND)), [101]);
}

#[test]
fn grant_without_receiver_released() {
    let mut case = Case::new();
    drop(case.acquire(1, 0));
    case.grant(1, 1);
    assert!(matches!(case.pump(2), Some(ToOwner::Release(_))));
    let action = case.grant(7, 3);
    assert!(matches!(action, SessionAction::Send(l) if matches!(&l[..], [ToOwner::Release(_)])));
}

#[test]
fn silent_owner_disconnected() {
    let mut case = Case::new();
    let _receiver = case.acquire(1, 0);
    let actions: Vec<_> = (1..6).map(|i| case.state.tick(i * SECOND)).collect();
    assert_eq!(actions.last(), Some(&SessionAction::Disconnect(None)));
}

#[rstest]
#[case::hint_first(0, 3)]
#[case::then_owner(1, 2)]
#[case::then_controls(2, 1)]
#[case::each_once(3, 4)]
#[case::around(4, 3)]
fn owner_candidate_order(#[case] tries: usize, #[case] port: u16) {
    let at = |p: u16| std::net::SocketAddr::from(([127, 0, 0, 1], p));
    let controls = [at(1), at(2), at(4)];
    let found = owner_candidate(Some(at(3)), Some(at(2)), &controls, tries);
    assert_eq!(found, Some(at(port)));
}
