//! What gives way when connections and their bodies take more than there is room for.

use banyangauge::pool::Moment;
use banyangauge::serving::AccountLimits;
use banyangauge::serving::HolderId;
use banyangauge::serving::MemoryAccount;
use rstest::rstest;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const SECOND: u64 = 1_000_000;

/// An account of a process of so many MiB.
fn account(mib: u64) -> MemoryAccount {
    MemoryAccount::new(AccountLimits {
        memory: Some(mib * MIB),
        max_fds: None,
    })
}

fn connect(account: &mut MemoryAccount, at: u64) -> HolderId {
    account.connect(Moment(at)).0.unwrap()
}

fn begin(account: &mut MemoryAccount, connection: HolderId, length: u64, at: u64) -> HolderId {
    account.begin(connection, length, Moment(at)).0.unwrap()
}

/// Opens connections until there is no room; returns them.
fn fill(account: &mut MemoryAccount, at: u64) -> Vec<HolderId> {
    let mut open = Vec::new();
    while let (Some(id), closed) = account.connect(Moment(at)) {
        assert!(closed.is_empty(), "{closed:?} gave way at once");
        open.push(id);
    }
    open
}

#[rstest]
#[case::memory(Some(64 * MIB), None, 744)]
#[case::descriptors(Some(1_000 * MIB), Some(1_200), 750)]
#[case::little_memory(Some(4 * MIB), None, 23)]
fn connections_are_bounded(
    #[case] memory: Option<u64>,
    #[case] max_fds: Option<usize>,
    #[case] expected: usize,
) {
    let mut account = MemoryAccount::new(AccountLimits { memory, max_fds });
    assert_eq!(fill(&mut account, 0).len(), expected);
}

#[test]
fn unlimited_account_admits_all() {
    let mut account = MemoryAccount::new(AccountLimits::default());
    for _ in 0..10_000 {
        let connection = connect(&mut account, 0);
        let body = begin(&mut account, connection, 4 * MIB, 0);
        assert!(account.read(body, 4 * MIB, Moment(0)).0);
    }
}

/// The one that has waited longest gives way, not the newest.
#[test]
fn longest_still_gives_way() {
    let mut account = account(64);
    let open = fill(&mut account, 0);
    account.resume(open[0], Moment(1));
    let (id, closed) = account.connect(Moment(SECOND));
    assert!(id.is_some());
    assert_eq!(closed, [open[1]]);
}

/// Requests that run do not give way, however long that takes.
#[test]
fn running_requests_stay() {
    let mut account = account(64);
    let open = fill(&mut account, 0);
    open.iter().for_each(|id| account.pause(*id));
    let (id, closed) = account.connect(Moment(100 * SECOND));
    assert_eq!((id, closed), (None, vec![]));
    account.resume(open[7], Moment(100 * SECOND));
    assert_eq!(account.connect(Moment(101 * SECOND)).1, [open[7]]);
}

/// A body gives way with its connection, which frees a descriptor.
#[test]
fn still_body_gives_way_with_connection() {
    let mut account = MemoryAccount::new(AccountLimits {
        memory: None,
        max_fds: Some(204),
    });
    let open = fill(&mut account, 0);
    open.iter().for_each(|id| account.pause(*id));
    let body = begin(&mut account, open[1], 1_000, 0);
    let (id, closed) = account.connect(Moment(SECOND));
    assert!(id.is_some());
    assert_eq!(closed, [body, open[1]]);
    assert!(!account.read(body, 1_000, Moment(SECOND)).0);
}

/// Small bodies took no room.
#[test]
fn small_bodies_count() {
    let mut account = account(64);
    let mut read = 0;
    while let (Some(connection), _) = account.connect(Moment(0)) {
        account.pause(connection);
        let body = begin(&mut account, connection, 32 * KIB, 0);
        let (fits, closed) = account.read(body, 32 * KIB, Moment(0));
        assert!(closed.is_empty());
        if !fits {
            account.remove(body);
            account.remove(connection);
        }
        read += usize::from(fits);
    }
    // Of 32 MiB, 44 KiB for a connection and 32 KiB for its body.
    assert_eq!(read, 431);
}

/// What arrives where there is no room is refused, if nothing stands still.
#[test]
fn arriving_bytes_find_no_room() {
    let mut account = account(64);
    let open = fill(&mut account, 0);
    open.iter().for_each(|id| account.pause(*id));
    let held = begin(&mut account, open[0], 32 * KIB, 0);
    account.read(held, 32 * KIB, Moment(0));
    account.pause(held);
    let body = begin(&mut account, open[1], 32 * KIB, 0);
    assert!(!account.read(body, 32 * KIB, Moment(0)).0);
    assert!(!account.read_head(open[2], 16 * KIB, Moment(0)).0);
}

/// Heads that stop short took more than each connection was counted with.
#[test]
fn heads_count() {
    let mut account = account(64);
    let mut read = 0;
    while let (Some(connection), _) = account.connect(Moment(0)) {
        if account.read_head(connection, 16 * KIB, Moment(0)).0 {
            read += 1;
        } else {
            account.remove(connection);
            break;
        }
    }
    // Of 32 MiB, 44 KiB for a connection and twice the 8 KiB of its head that these lack.
    assert_eq!(read, 546);
    let (id, closed) = account.connect(Moment(SECOND));
    assert_eq!(closed.len(), 1);
    assert!(account.read_head(id.unwrap(), 16 * KIB, Moment(SECOND)).0);
}

/// A body that makes progress stays, one that has stopped gives way to it.
#[rstest]
#[case::progress(1_024, false)]
#[case::crumbs(1, true)]
fn body_without_progress_gives_way(#[case] piece: u64, #[case] gives_way: bool) {
    let mut account = account(62);
    let slow = connect(&mut account, 0);
    account.pause(slow);
    let body = begin(&mut account, slow, MIB, 0);
    for n in 1..=10 {
        assert!(account.read(body, n * piece, Moment(n * SECOND / 10)).0);
    }
    let other = connect(&mut account, SECOND);
    account.pause(other);
    let (id, closed) = account.begin(other, 2 * MIB, Moment(SECOND));
    assert_eq!(id.is_some(), gives_way);
    assert_eq!(closed.contains(&body), gives_way);
}

/// What has given way and what is removed is not given back twice.
#[test]
fn room_is_given_back_once() {
    let mut account = account(64);
    for round in 0..100 {
        let at = round * 2 * SECOND;
        let open = fill(&mut account, at);
        assert_eq!(open.len(), 744, "round {round}");
        account.pause(open[0]);
        let body = begin(&mut account, open[0], 40 * KIB, at);
        let (fits, closed) = account.read(body, 40 * KIB, Moment(at + SECOND));
        assert!(fits);
        assert_eq!(closed, [open[1]]);
        for id in closed.into_iter().chain(open).chain([body]) {
            account.remove(id);
        }
        assert_eq!(account.bodies().held(), 0);
    }
}

/// A single body is read, whatever room it takes.
#[test]
fn single_body_is_always_read() {
    let mut account = account(40);
    let connection = connect(&mut account, 0);
    account.pause(connection);
    let body = begin(&mut account, connection, 16 * MIB, 0);
    for n in 1..=16 {
        assert!(account.read(body, n * MIB, Moment(n)).0);
    }
}
