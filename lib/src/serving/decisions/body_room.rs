//! Bounds the memory that the bodies of requests, and what is kept of answers, take.
//!
//! Load: many callers send large bodies at once, slowly, to replicas that take their time; faulty
//! replicas send answers without end. Harm: a process above its memory limit is killed with all
//! that it serves. A body counts from before its first byte is read until its request is over, as
//! it may be sent again. What is counted is the memory that the bytes take.

/// Memory that the process needs without bodies, in bytes.
const BASE_BYTES: u64 = 60 << 20;

/// Part of the bytes that a body still lacks that counts while it is read. Bodies that are read
/// at the same time are not complete at the same time.
const PENDING_FRACTION: f64 = 0.75;

/// Part of the room for which bodies may wait. Those that would wait longer are refused.
const WAITING_FRACTION: f64 = 0.25;

/// Part of the room that answers may take: requests need theirs while replicas send too much.
const ANSWER_FRACTION: f64 = 0.25;

/// The room for bodies.
///
/// ```
/// use banyangauge::serving::BodyRoom;
/// let mut room = BodyRoom::new(Some(64 << 20));
/// let body = 3 << 20;
/// assert!(room.begin(body));
/// assert!(!room.begin(body), "the first one may still take its whole length");
/// room.end(body, 0);
/// assert!(room.begin(body));
/// ```
#[derive(Clone, Debug)]
pub struct BodyRoom {
    /// Bytes; `None` if memory is not limited.
    room: Option<u64>,
    /// Bytes that have arrived of all bodies.
    held: u64,
    /// Bytes that are still to come of those that are being read.
    pending: u64,
    /// Bytes of the bodies that wait for room.
    waiting: u64,
    /// Bytes that are kept of answers.
    answers: u64,
}

impl BodyRoom {
    /// Creates the room of a process that may use so many bytes of memory; `None` if they are
    /// not limited.
    pub fn new(memory: Option<u64>) -> Self {
        Self {
            room: memory.map(|bytes| bytes.saturating_sub(BASE_BYTES)),
            held: 0,
            pending: 0,
            waiting: 0,
            answers: 0,
        }
    }

    /// Returns the bytes that are held of bodies and of answers.
    ///
    /// ```
    /// use banyangauge::serving::BodyRoom;
    /// let mut room = BodyRoom::new(None);
    /// room.read(3, 0);
    /// room.keep_answer(2);
    /// assert_eq!(room.held(), 5);
    /// ```
    pub fn held(&self) -> u64 {
        self.held + self.answers
    }

    /// Returns the bytes that count.
    fn used(&self) -> u64 {
        self.held + self.answers + fraction(self.pending, PENDING_FRACTION)
    }

    /// Begins to read a body of so many bytes if there is room for it. A single body always has.
    pub fn begin(&mut self, length: u64) -> bool {
        let needed = self.used() + fraction(length, PENDING_FRACTION);
        let fits = self.room.is_none_or(|room| needed <= room);
        let fits = fits || self.held + self.pending == 0;
        if fits {
            self.pending += length;
        }
        fits
    }

    /// Begins to read a body that is too small to wait for room.
    pub fn begin_small(&mut self, length: u64) {
        self.pending += length;
    }

    /// Returns whether a body that takes `own` bytes may take so many `more`, whatever was expected
    /// of it. A single body always may.
    ///
    /// ```
    /// use banyangauge::serving::BodyRoom;
    /// let mut room = BodyRoom::new(Some(64 << 20));
    /// room.read(3 << 20, 0);
    /// assert!(room.fits(0, 1 << 20));
    /// assert!(!room.fits(0, 2 << 20));
    /// ```
    pub fn fits(&self, own: u64, more: u64) -> bool {
        let needed = self.held + self.answers + more;
        self.held == own || self.room.is_none_or(|room| needed <= room)
    }

    /// Takes room for bytes of an answer that are kept; returns whether there is any.
    ///
    /// ```
    /// use banyangauge::serving::BodyRoom;
    /// let mut room = BodyRoom::new(Some(64 << 20));
    /// assert!(room.keep_answer(1 << 20));
    /// assert!(!room.keep_answer(1), "the rest is for requests");
    /// room.release_answer(1 << 20);
    /// assert!(room.keep_answer(1));
    /// ```
    pub fn keep_answer(&mut self, bytes: u64) -> bool {
        let most = self.room.map(|room| fraction(room, ANSWER_FRACTION));
        let fits = most.is_none_or(|most| self.answers + bytes <= most);
        let fits = fits
            && self
                .room
                .is_none_or(|room| self.held + self.answers + bytes <= room);
        if fits {
            self.answers += bytes;
        }
        fits
    }

    /// Gives room of an answer back.
    pub fn release_answer(&mut self, bytes: u64) {
        self.answers = self.answers.saturating_sub(bytes);
    }

    /// Records that bytes of a body arrived, and how many of them were expected.
    pub fn read(&mut self, bytes: u64, expected: u64) {
        self.held += bytes;
        self.pending = self.pending.saturating_sub(expected);
    }

    /// Gives the room of a body back that began with so many bytes expected, of which so many
    /// have arrived.
    pub fn end(&mut self, length: u64, read: u64) {
        self.held = self.held.saturating_sub(read);
        self.pending = self.pending.saturating_sub(length.saturating_sub(read));
    }

    /// Returns whether a body may wait for room; counts it until [`Self::leave`].
    pub fn wait(&mut self, length: u64) -> bool {
        let most = self.room.map(|room| fraction(room, WAITING_FRACTION));
        let may_wait = most.is_none_or(|most| self.waiting + length <= most);
        if may_wait {
            self.waiting += length;
        }
        may_wait
    }

    /// Records that a body no longer waits.
    pub fn leave(&mut self, length: u64) {
        self.waiting = self.waiting.saturating_sub(length);
    }
}

fn fraction(bytes: u64, part: f64) -> u64 {
    (bytes as f64 * part) as u64
}
