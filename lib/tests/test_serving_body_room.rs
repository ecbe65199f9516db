//! How much memory the bodies of requests may take.

use banyangauge::serving::BodyRoom;
use rstest::rstest;

const MIB: u64 = 1 << 20;

/// Memory with room for bodies of `mib`, beside the 60 MiB that the process needs itself.
fn room(mib: u64) -> BodyRoom {
    BodyRoom::new(Some((60 + mib) * MIB))
}

/// Many callers begin to send large bodies at the same moment.
#[test]
fn burst_of_bodies_is_bounded() {
    let mut room = room(100);
    let admitted = (0..1_000).filter(|_| room.begin(4 * MIB)).count();
    // Three quarters of what is still to come count.
    assert_eq!(admitted, 33);
}

/// Bodies that arrive while others are over keep the bytes that are held near the room.
#[test]
fn steady_stream_of_bodies_stays_within_room() {
    let mut room = room(100);
    let mut open: Vec<u64> = Vec::new();
    let mut most = 0;
    for _ in 0..10_000 {
        if room.begin(4 * MIB) {
            open.push(0);
        }
        for read in open.iter_mut().filter(|read| **read < 4 * MIB) {
            room.read(MIB / 8, MIB / 8);
            *read += MIB / 8;
        }
        most = most.max(open.iter().sum());
        let done = open.iter().filter(|read| **read == 4 * MIB).count();
        if done > 4 {
            let first = open.iter().position(|read| *read == 4 * MIB).unwrap();
            open.remove(first);
            room.end(4 * MIB, 4 * MIB);
        }
    }
    // Three quarters of the room are used, and at most the room and what counts late.
    assert!(most >= 75 * MIB, "{most}");
    assert!(most <= 134 * MIB, "{most}");
}

#[test]
fn body_above_the_room_is_read_alone() {
    let mut room = room(1);
    assert!(room.begin(4 * MIB));
    assert!(!room.begin(4 * MIB));
    room.read(MIB, MIB);
    room.end(4 * MIB, MIB);
    assert!(room.begin(4 * MIB));
}

/// What a body took is given back, however far it was read.
#[rstest]
#[case::unread(0)]
#[case::in_part(MIB)]
#[case::whole(4 * MIB)]
#[case::longer_than_stated(6 * MIB)]
fn room_is_given_back(#[case] read: u64) {
    let mut room = room(4);
    for _ in 0..100 {
        assert!(room.begin(4 * MIB));
        room.read(read, read.min(4 * MIB));
        room.end(4 * MIB, read);
    }
    assert!(room.begin(4 * MIB));
}

/// Requests that would wait behind many others are refused at once.
#[test]
fn waiting_bodies_are_bounded() {
    let mut room = room(100);
    let waiting = (0..100).filter(|_| room.wait(4 * MIB)).count();
    assert_eq!(waiting, 6);
    room.leave(4 * MIB);
    assert!(room.wait(4 * MIB));
}

#[test]
fn unlimited_memory_admits_all() {
    let mut room = BodyRoom::new(None);
    assert!((0..10_000).all(|_| room.begin(4 * MIB)));
}

/// Bodies without a stated length, or that arrive at the same time after all, were read whatever
/// there was room for.
#[test]
fn bodies_that_arrive_stay_within_room() {
    let mut room = room(10);
    let mut sizes = [0_u64; 8];
    for n in 0..1_000 {
        let own = &mut sizes[n % 8];
        if room.fits(*own, MIB / 8) {
            room.read(MIB / 8, 0);
            *own += MIB / 8;
        }
    }
    assert_eq!(sizes.iter().sum::<u64>(), 10 * MIB);
    // A body that is refused makes room for the others.
    room.end(0, sizes[0]);
    assert!(room.fits(sizes[1], MIB));
}

/// Replicas that send too much must not keep callers from sending requests.
#[test]
fn answers_leave_room_for_bodies() {
    let mut room = room(100);
    let kept = (0..1_000).filter(|_| room.keep_answer(MIB)).count();
    assert_eq!(kept, 25);
    let admitted = (0..1_000).filter(|_| room.begin(4 * MIB)).count();
    assert_eq!(admitted, 25);
    room.release_answer(25 * MIB);
    assert!(room.keep_answer(MIB));
}

/// An answer is not kept while bodies fill the room.
#[test]
fn answers_yield_to_bodies() {
    let mut room = room(100);
    room.read(99 * MIB, 0);
    assert!(room.keep_answer(MIB));
    assert!(!room.keep_answer(1));
}
