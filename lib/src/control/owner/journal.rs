//! Reads and writes a pool's journal of claims.

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

/// The kind of journal objects.
const CLAIMS: &str = "claims";

/// How long after a failed reading of the journal the next is tried.
const JOURNAL_PAUSE: Span = Span::from_millis(500);

fn object_name(pool: &PoolName, number: u64) -> String {
    format!("{pool}-{number}")
}

// Whether the object is a segment of the pool: the name of one pool may begin
// with that of another.
fn is_segment(pool: &PoolName, name: &str, segment: &Segment) -> bool {
    name == object_name(pool, segment.number)
}

/// Reads all segments.
///
/// # Errors
///
/// The failures of any call to the platform.
pub(super) async fn read_all(
    platform: &Platform,
    pool: &PoolName,
) -> Result<Vec<(Segment, String)>, PlatformError> {
    let list = platform.list::<Segment>(CLAIMS).await?;
    let mut segments: Vec<_> = list
        .items
        .into_iter()
        .filter(|o| is_segment(pool, &o.metadata.name, &o.spec))
        .map(|o| (o.spec, o.metadata.version))
        .collect();
    segments.sort_by_key(|(s, _)| s.number);
    Ok(segments)
}

/// Carries out the writes that shut an earlier owner out; gives the versions.
///
/// # Errors
///
/// Any failure; the journal is then read again.
pub(super) async fn seal(
    platform: &Platform,
    pool: &PoolName,
    writes: Vec<Write>,
) -> Result<Vec<String>, PlatformError> {
    let mut versions = Vec::new();
    for write in writes {
        versions.push(send(platform, pool, &write).await?);
    }
    Ok(versions)
}

async fn send(
    platform: &Platform,
    pool: &PoolName,
    write: &Write,
) -> Result<String, PlatformError> {
    let name = object_name(pool, write.segment.number);
    match &write.version {
        Some(version) => {
            platform
                .replace(CLAIMS, &name, version, &write.segment)
                .await
        }
        None => platform.create(CLAIMS, &name, &write.segment).await,
    }
}

/// Carries out one commit and tells the owner; a lost answer or a conflict is
/// settled by reading back.
pub(super) async fn commit(
    owner: Address<OwnerActor>,
    platform: Platform,
    pool: PoolName,
    write: Write,
) {
    let end = match send(&platform, &pool, &write).await {
        Ok(version) => WriteOutcome::Done(version),
        Err(
            PlatformError::Refused(_) | PlatformError::Unreachable(_) | PlatformError::TooLarge,
        ) => WriteOutcome::Unconfirmed(None),
        Err(_) => read_back(&platform, &pool, &write).await,
    };
    let _ = owner.send(Event::Committed(end)).detach().await;
}

async fn read_back(platform: &Platform, pool: &PoolName, write: &Write) -> WriteOutcome {
    let name = object_name(pool, write.segment.number);
    match platform.get::<Segment>(CLAIMS, &name).await {
        Ok(o) if o.spec.operation == write.segment.operation => {
            WriteOutcome::Done(o.metadata.version)
        }
        Ok(o) => WriteOutcome::Unconfirmed(Some((o.spec, o.metadata.version))),
        Err(_) => WriteOutcome::Unconfirmed(None),
    }
}

/// Deletes segments whose claims are all past their retention.
pub(super) async fn delete(platform: Platform, pool: PoolName, numbers: Vec<u64>) {
    for number in numbers {
        // One that stays is read by the next owner and expires there.
        let _ = platform.delete(CLAIMS, &object_name(&pool, number)).await;
    }
}

impl OwnerActor {
    pub(super) fn keep_journal(&mut self, now: Moment) {
        let numbers = self.journal.expire(now);
        if !numbers.is_empty() {
            let work = delete(self.shared.platform.clone(), self.name.clone(), numbers);
            tokio::spawn(work);
        }
        if !self.journal.is_ready() && !self.recovering && now >= self.recover_at {
            self.recovering = true;
            let (platform, pool) = (self.shared.platform.clone(), self.name.clone());
            self.later(async move { Event::JournalRead(read_all(&platform, &pool).await) });
        }
    }

    pub(super) fn journal_read(
        &mut self,
        now: Moment,
        read: Result<Vec<(Segment, String)>, PlatformError>,
    ) {
        let Ok(segments) = read else {
            return self.journal_failed(now);
        };
        if segments.iter().any(|(s, _)| s.token > self.token()) {
            return self.depose();
        }
        self.journal.recover(now, &segments);
        let writes = self.journal.seal();
        let (platform, pool) = (self.shared.platform.clone(), self.name.clone());
        self.later(async move { Event::JournalSealed(seal(&platform, &pool, writes).await) });
    }

    pub(super) fn journal_sealed(
        &mut self,
        now: Moment,
        sealed: Result<Vec<String>, PlatformError>,
    ) {
        match sealed {
            Ok(versions) => {
                self.recovering = false;
                self.journal.seal_done(&versions);
            }
            Err(_) => self.journal_failed(now),
        }
    }

    pub(super) fn journal_failed(&mut self, now: Moment) {
        self.recovering = false;
        self.recover_at = now.after(JOURNAL_PAUSE);
    }

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

    pub(super) fn committed(&mut self, now: Moment, end: WriteOutcome) {
        let (keys, done) = self.journal.write_done(now, end);
        for key in keys {
            let Some((ticket, grant)) = self.held.remove(&key) else {
                continue;
            };
            match done {
                true => self.send_grant(now, ticket, grant),
                false => self.take_back(now, ticket, "platform_down"),
            }
        }
        if self.journal.is_deposed() {
            self.depose();
        }
    }
}
