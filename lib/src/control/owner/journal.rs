//! Reads and writes a pool's claim journal on the platform.

use xtra::Address;

use crate::claims::Segment;
use crate::claims::Write;
use crate::claims::WriteOutcome;
use crate::control::owner::Event;
use crate::control::owner::OwnerActor;
use crate::ids::PoolName;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::pool::Moment;
use crate::pool::Span;

/// Object kind under which journal segments are stored on the platform.
const SEGMENT_KIND: &str = "claims";

/// The delay after a failure to read or seal the journal.
const JOURNAL_RETRY_DELAY: Span = Span::from_millis(500);

fn object_name(pool: &PoolName, number: u64) -> String {
    format!("{pool}-{number}")
}

// Returns whether an object is a segment of the pool: one pool's name may be a
// prefix of another's.
fn is_segment(pool: &PoolName, name: &str, segment: &Segment) -> bool {
    name == object_name(pool, segment.number)
}

/// Reads all segments of a pool with their versions, in order.
///
/// # Errors
///
/// Returns any failure of the call to the platform.
pub(super) async fn read_segments(
    platform: &Platform,
    pool: &PoolName,
) -> Result<Vec<(Segment, String)>, PlatformError> {
    let list = platform.list::<Segment>(SEGMENT_KIND).await?;
    let mut segments: Vec<_> = list
        .items
        .into_iter()
        .filter(|o| is_segment(pool, &o.metadata.name, &o.spec))
        .map(|o| (o.spec, o.metadata.version))
        .collect();
    segments.sort_by_key(|(s, _)| s.number);
    Ok(segments)
}

/// Carries out the writes that fence off an earlier owner. Returns the new
/// versions in the order of the writes.
///
/// # Errors
///
/// Returns the first failure of a write; the journal must then be read again.
pub(super) async fn write_seal(
    platform: &Platform,
    pool: &PoolName,
    writes: Vec<Write>,
) -> Result<Vec<String>, PlatformError> {
    let mut versions = Vec::new();
    for write in writes {
        versions.push(write_segment(platform, pool, &write).await?);
    }
    Ok(versions)
}

async fn write_segment(
    platform: &Platform,
    pool: &PoolName,
    write: &Write,
) -> Result<String, PlatformError> {
    let name = object_name(pool, write.segment.number);
    match &write.version {
        Some(version) => {
            platform
                .replace(SEGMENT_KIND, &name, version, &write.segment)
                .await
        }
        None => platform.create(SEGMENT_KIND, &name, &write.segment).await,
    }
}

/// Writes one commit and sends its outcome to the owner. After a lost answer or
/// a conflict the segment is read back.
pub(super) async fn commit(
    owner: Address<OwnerActor>,
    platform: Platform,
    pool: PoolName,
    write: Write,
) {
    let outcome = match write_segment(&platform, &pool, &write).await {
        Ok(version) => WriteOutcome::Done(version),
        Err(
            PlatformError::Refused(_) | PlatformError::Unreachable(_) | PlatformError::TooLarge,
        ) => WriteOutcome::Unconfirmed(None),
        Err(_) => read_back(&platform, &pool, &write).await,
    };
    let _ = owner.send(Event::Committed(outcome)).detach().await;
}

// Reads a segment to find out whether a write took effect.
async fn read_back(platform: &Platform, pool: &PoolName, write: &Write) -> WriteOutcome {
    let name = object_name(pool, write.segment.number);
    match platform.get::<Segment>(SEGMENT_KIND, &name).await {
        Ok(o) if o.spec.operation == write.segment.operation => {
            WriteOutcome::Done(o.metadata.version)
        }
        Ok(o) => WriteOutcome::Unconfirmed(Some((o.spec, o.metadata.version))),
        Err(_) => WriteOutcome::Unconfirmed(None),
    }
}

/// Deletes segments all of whose claims are past their retention.
pub(super) async fn delete(platform: Platform, pool: PoolName, numbers: Vec<u64>) {
    for number in numbers {
        // If this fails, the next owner reads the segment and expires it.
        let _ = platform
            .delete(SEGMENT_KIND, &object_name(&pool, number))
            .await;
    }
}

impl OwnerActor {
    /// Drops expired claims, deletes segments without claims, and starts to read the
    /// journal if that is still to be done.
    pub(super) fn maintain_journal(&mut self, now: Moment) {
        let numbers = self.journal.expire(now);
        if !numbers.is_empty() {
            let task = delete(self.shared.platform.clone(), self.name.clone(), numbers);
            tokio::spawn(task);
        }
        if !self.journal.is_ready() && !self.recovering && now >= self.recover_at {
            self.recovering = true;
            let (platform, pool) = (self.shared.platform.clone(), self.name.clone());
            self.spawn_event(
                async move { Event::JournalRead(read_segments(&platform, &pool).await) },
            );
        }
    }

    /// Loads the journal and starts to seal it against the earlier owner. Deposes this
    /// owner if a segment has a higher token.
    pub(super) fn handle_journal_read(
        &mut self,
        now: Moment,
        read: Result<Vec<(Segment, String)>, PlatformError>,
    ) {
        let Ok(segments) = read else {
            return self.schedule_journal_read(now);
        };
        if segments.iter().any(|(s, _)| s.token > self.token()) {
            return self.depose();
        }
        self.journal.recover(now, &segments);
        let writes = self.journal.seal();
        let (platform, pool) = (self.shared.platform.clone(), self.name.clone());
        self.spawn_event(async move {
            Event::JournalSealed(write_seal(&platform, &pool, writes).await)
        });
    }

    /// Makes the journal ready once it is sealed; reads it again after a failure.
    pub(super) fn handle_journal_sealed(
        &mut self,
        now: Moment,
        sealed: Result<Vec<String>, PlatformError>,
    ) {
        match sealed {
            Ok(versions) => {
                self.recovering = false;
                self.journal.seal_done(&versions);
            }
            Err(_) => self.schedule_journal_read(now),
        }
    }

    /// Schedules the next attempt to read the journal.
    pub(super) fn schedule_journal_read(&mut self, now: Moment) {
        self.recovering = false;
        self.recover_at = now.after(JOURNAL_RETRY_DELAY);
    }

    /// Starts the next commit, if one is due.
    pub(super) fn commit_journal(&mut self, now: Moment) {
        let Some(write) = self.journal.next_write(now) else {
            return;
        };
        let Some(address) = self.address.clone() else {
            return;
        };
        let (platform, pool) = (self.shared.platform.clone(), self.name.clone());
        tokio::spawn(commit(address, platform, pool, write));
    }

    /// Sends the grants whose claims a commit made durable, or refuses their requests
    /// if it failed.
    pub(super) fn handle_commit(&mut self, now: Moment, outcome: WriteOutcome) {
        let (keys, done) = self.journal.write_done(now, outcome);
        for key in keys {
            let Some((ticket, grant)) = self.awaiting_commit.remove(&key) else {
                continue;
            };
            match done {
                true => self.send_grant(now, ticket, grant),
                false => self.refuse_granted(now, ticket, "platform_down"),
            }
        }
        if self.journal.is_deposed() {
            self.depose();
        }
    }
}
