//! One account of what connections, and the bodies that arrive on them, take of a process.
//!
//! Load: callers open many connections and stop short of the end of a head or a body. Harm: what is
//! kept for them has no bound, or they hold the room that others need. When room is short, the one
//! that has stood still longest gives way. What makes progress, and requests that run, do not.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::body_room::BodyRoom;

/// Memory that the process needs without connections, in bytes.
const PROCESS_BYTES: u64 = 32 << 20;

/// A fourth of the memory is for connections at least, however little there is.
const MIN_FRACTION: u64 = 4;

/// Memory of a connection in bytes: its tasks, its read buffer and its write buffer, without the
/// body of its request.
const CONNECTION_BYTES: u64 = 44 << 10;

/// Size in bytes up to which a body is read without waiting for room.
pub(in crate::serving) const SMALL_BODY: u64 = 32 << 10;

/// Bytes of a head that the memory of a connection contains.
const HEAD_BYTES: u64 = 8 << 10;

/// Memory of the rest of a head for each of its bytes, as a buffer doubles when it grows.
const HEAD_FACTOR: u64 = 2;

/// Descriptors that are kept for files.
const FILE_FDS: usize = 200;

/// Part of the other descriptors that connections may take which others open. The rest is for
/// replicas, the store and the own listeners.
const CONNECTION_FRACTION: f64 = 0.75;

/// How long a connection or a body stands still before it gives way to others.
const STILL_TIME: Span = Span::from_millis(500);

/// Bytes that count as progress of a body.
const PROGRESS_BYTES: u64 = 1 << 10;

/// A connection or a body in the account.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HolderId(u64);

/// What a holder takes.
#[derive(Clone, Copy, Debug)]
enum Taken {
    Connection {
        /// Memory of a head above what each connection takes.
        head: u64,
    },
    Body {
        connection: HolderId,
        /// Bytes that were expected when the body began.
        length: u64,
        /// Bytes of memory that what has arrived takes.
        read: u64,
        /// The part of them at which progress was last recorded.
        progress: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    taken: Taken,
    /// Since when it waits for its peer; `None` if it does not.
    since: Option<Moment>,
}

/// The limits of an account.
#[derive(Clone, Copy, Debug, Default)]
pub struct AccountLimits {
    /// Bytes of memory above which the process is killed; `None` if they are not limited.
    pub memory: Option<u64>,
    /// Descriptors that the process may open; `None` if they are not limited.
    pub max_fds: Option<usize>,
}

/// The room for connections and bodies.
///
/// ```
/// use banyangauge::pool::Moment;
/// use banyangauge::serving::AccountLimits;
/// use banyangauge::serving::MemoryAccount;
/// let limits = AccountLimits {
///     memory: None,
///     max_fds: Some(204),
/// };
/// let mut account = MemoryAccount::new(limits);
/// let (first, _) = account.connect(Moment(0));
/// let (second, _) = account.connect(Moment(0));
/// let (third, _) = account.connect(Moment(0));
/// assert!(third.is_some());
/// // Nothing has stood still for a moment, so that the newest is refused.
/// assert!(account.connect(Moment(1)).0.is_none());
/// // A request that runs does not give way.
/// account.pause(first.unwrap());
/// let (fourth, closed) = account.connect(Moment(1_000_000));
/// assert!(fourth.is_some());
/// assert_eq!(closed, [second.unwrap()]);
/// ```
#[derive(Clone, Debug)]
pub struct MemoryAccount {
    /// Bytes; `None` if memory is not limited.
    room: Option<u64>,
    max_connections: Option<usize>,
    connections: usize,
    /// Memory of heads above what each connection takes.
    heads: u64,
    bodies: BodyRoom,
    holders: BTreeMap<HolderId, Holder>,
    /// The holders that wait for their peers, and since when.
    still: BTreeSet<(Moment, HolderId)>,
    /// The bodies among them.
    still_bodies: BTreeSet<(Moment, HolderId)>,
    last_id: u64,
}

impl MemoryAccount {
    /// Creates the account of a process without connections.
    pub fn new(limits: AccountLimits) -> Self {
        let sockets = limits.max_fds.map(|fds| fds.saturating_sub(FILE_FDS));
        Self {
            room: limits
                .memory
                .map(|m| m.saturating_sub(PROCESS_BYTES).max(m / MIN_FRACTION)),
            max_connections: sockets.map(|fds| (fds as f64 * CONNECTION_FRACTION) as usize),
            connections: 0,
            heads: 0,
            bodies: BodyRoom::new(limits.memory),
            holders: BTreeMap::new(),
            still: BTreeSet::new(),
            still_bodies: BTreeSet::new(),
            last_id: 0,
        }
    }

    /// Returns the room of bodies and answers.
    pub fn bodies(&mut self) -> &mut BodyRoom {
        &mut self.bodies
    }

    /// Returns the bytes that count.
    fn used(&self) -> u64 {
        self.bodies.held() + self.heads + self.connections as u64 * CONNECTION_BYTES
    }

    /// Takes room for a connection, which waits for its first head. Returns its id, or `None` if
    /// there is no room, and what gives way to it.
    pub fn connect(&mut self, at: Moment) -> (Option<HolderId>, Vec<HolderId>) {
        let mut closed = Vec::new();
        while !self.fits_connection() {
            let Some(id) = first_still(&self.still, at, None) else {
                return (None, closed);
            };
            self.displace(id, &mut closed);
        }
        self.connections += 1;
        (
            Some(self.insert(Taken::Connection { head: 0 }, Some(at))),
            closed,
        )
    }

    /// Records that a connection or body no longer waits for its peer, as its request is complete
    /// or waits for room.
    pub fn pause(&mut self, id: HolderId) {
        self.set_since(id, None);
    }

    /// Records that a connection waits for its peer again.
    pub fn resume(&mut self, id: HolderId, at: Moment) {
        self.set_since(id, Some(at));
    }

    /// Records how many bytes have arrived of the head on a connection; none after its request.
    /// Returns whether there is room for them, and what gives way to it.
    pub fn read_head(&mut self, id: HolderId, size: u64, at: Moment) -> (bool, Vec<HolderId>) {
        let mut closed = Vec::new();
        let Some(Taken::Connection { head }) = self.holders.get(&id).map(|h| h.taken) else {
            // It has given way.
            return (false, closed);
        };
        let taken = size.saturating_sub(HEAD_BYTES) * HEAD_FACTOR;
        let more = taken.saturating_sub(head);
        let fits = loop {
            // A single connection always has room.
            if more == 0 || self.fits(more) || self.connections == 1 {
                break true;
            }
            let Some(other) = first_still(&self.still, at, Some(id)) else {
                break false;
            };
            self.displace(other, &mut closed);
        };
        if fits && let Some(holder) = self.holders.get_mut(&id) {
            self.heads = self.heads + taken - head;
            holder.taken = Taken::Connection { head: taken };
        }
        (fits, closed)
    }

    /// Begins to read a body of so many bytes on a connection if there is room for it. Returns its
    /// id, and what gives way to it.
    pub fn begin(
        &mut self,
        connection: HolderId,
        length: u64,
        at: Moment,
    ) -> (Option<HolderId>, Vec<HolderId>) {
        let mut closed = Vec::new();
        if length <= SMALL_BODY {
            self.bodies.begin_small(length);
        } else {
            while !self.bodies.begin(length) {
                let Some(id) = first_still(&self.still_bodies, at, None) else {
                    return (None, closed);
                };
                self.displace(id, &mut closed);
            }
        }
        let taken = Taken::Body {
            connection,
            length,
            read: 0,
            progress: 0,
        };
        (Some(self.insert(taken, Some(at))), closed)
    }

    /// Records that a body takes so many bytes by now. Returns whether there is room for them, and
    /// what gives way to it.
    pub fn read(&mut self, id: HolderId, size: u64, at: Moment) -> (bool, Vec<HolderId>) {
        let Some(Holder {
            taken: Taken::Body { length, read, .. },
            ..
        }) = self.holders.get(&id).copied()
        else {
            // It has given way.
            return (false, Vec::new());
        };
        let more = size.saturating_sub(read);
        let expected = more.min(length.saturating_sub(read));
        let mut closed = Vec::new();
        let fits = loop {
            let in_bodies = size <= SMALL_BODY || self.bodies.fits(read, more);
            if more == 0 || (in_bodies && self.fits(more)) {
                break true;
            }
            let queue = match in_bodies {
                true => &self.still,
                false => &self.still_bodies,
            };
            let Some(other) = first_still(queue, at, Some(id)) else {
                // A single body always fits.
                break in_bodies && self.bodies.held() == read;
            };
            self.displace(other, &mut closed);
        };
        self.bodies.read(more, expected);
        let mut moved = false;
        if let Some(Holder {
            taken: Taken::Body { read, progress, .. },
            ..
        }) = self.holders.get_mut(&id)
        {
            *read += more;
            moved = *read >= *progress + PROGRESS_BYTES;
            if moved {
                *progress = *read;
            }
        }
        if moved {
            self.set_since(id, Some(at));
        }
        (fits, closed)
    }

    /// Gives the room of a connection or body back, unless it has given way before.
    pub fn remove(&mut self, id: HolderId) {
        self.set_since(id, None);
        match self.holders.remove(&id).map(|holder| holder.taken) {
            Some(Taken::Connection { head }) => {
                self.connections -= 1;
                self.heads -= head;
            }
            Some(Taken::Body { length, read, .. }) => self.bodies.end(length, read),
            None => {}
        }
    }

    fn fits(&self, more: u64) -> bool {
        self.room.is_none_or(|room| self.used() + more <= room)
    }

    fn fits_connection(&self) -> bool {
        let fits_fds = self.max_connections.is_none_or(|m| self.connections < m);
        fits_fds && self.fits(CONNECTION_BYTES)
    }

    /// Takes a holder out of the account; a body with its connection, which ends with it.
    fn displace(&mut self, id: HolderId, closed: &mut Vec<HolderId>) {
        let connection = match self.holders.get(&id).map(|holder| holder.taken) {
            Some(Taken::Body { connection, .. }) => Some(connection),
            _ => None,
        };
        for id in std::iter::once(id).chain(connection) {
            self.remove(id);
            closed.push(id);
        }
    }

    fn insert(&mut self, taken: Taken, since: Option<Moment>) -> HolderId {
        self.last_id += 1;
        let id = HolderId(self.last_id);
        self.holders.insert(id, Holder { taken, since: None });
        self.set_since(id, since);
        id
    }

    fn set_since(&mut self, id: HolderId, since: Option<Moment>) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let is_body = matches!(holder.taken, Taken::Body { .. });
        if let Some(before) = std::mem::replace(&mut holder.since, since) {
            self.still.remove(&(before, id));
            self.still_bodies.remove(&(before, id));
        }
        if let Some(since) = since {
            self.still.insert((since, id));
            if is_body {
                self.still_bodies.insert((since, id));
            }
        }
    }
}

/// Returns the one but `except` that has stood still longest, if it has for a moment.
fn first_still(
    queue: &BTreeSet<(Moment, HolderId)>,
    at: Moment,
    except: Option<HolderId>,
) -> Option<HolderId> {
    let mut others = queue.iter().filter(|(_, id)| Some(*id) != except);
    let (since, id) = others.next()?;
    (at >= since.after(STILL_TIME)).then_some(*id)
}
