//! Which request bodies have room in memory, and which are dropped for others.

use chervilshunt_core::{BodyMemory, BodyNumber, NoRoom, WaitingCallers};
use chervilshunt_model::Moment;

const KIB: usize = 1024;
/// Memory of the process; a quarter of it is for bodies.
const MEMORY: usize = 4 * 1024 * KIB;
const LARGEST: usize = 512 * KIB;
const SMALL: usize = 8 * KIB;

const fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

fn memory() -> BodyMemory {
    BodyMemory::new(Some(MEMORY))
}

/// Begins a body of a size, which must have room.
fn held(memory: &mut BodyMemory, bytes: usize, millis: u64) -> BodyNumber {
    let number = memory.begin(at(millis));
    let grown = memory.grow(number, bytes, LARGEST, at(millis));
    assert_eq!(grown, Ok(()));
    number
}

/// Fills what large bodies may take.
fn filled(memory: &mut BodyMemory, millis: u64) -> Vec<BodyNumber> {
    (0..6).map(|_| held(memory, 128 * KIB, millis)).collect()
}

fn try_body(memory: &mut BodyMemory, bytes: usize, millis: u64) -> Result<(), NoRoom> {
    let number = memory.begin(at(millis));
    memory.grow(number, bytes, LARGEST, at(millis))
}

#[test]
fn a_single_body_of_the_largest_size_has_room_in_any_memory() {
    let mut memory = BodyMemory::new(Some(KIB));
    let number = memory.begin(at(0));
    for bytes in [KIB, LARGEST / 2, LARGEST] {
        assert_eq!(memory.grow(number, bytes, LARGEST, at(0)), Ok(()));
    }
    assert_eq!(memory.used(), LARGEST);
    memory.release(number);
    assert_eq!(memory.used(), 0);
}

/// Guards against large bodies that keep small ones out.
#[test]
fn small_bodies_have_room_beside_whole_large_ones() {
    let mut memory = memory();
    for number in filled(&mut memory, 0) {
        memory.read_whole(number);
    }
    let refused = try_body(&mut memory, 128 * KIB, 5_000).expect_err("no room");
    assert_eq!((refused.evicted, refused.is_coming), (Vec::new(), false));
    for _ in 0..32 {
        held(&mut memory, SMALL, 5_000);
    }
    assert!(try_body(&mut memory, SMALL, 5_000).is_err());
}

/// Guards against bodies that never end and take up the memory for good.
#[test]
fn the_oldest_bodies_that_are_being_read_are_dropped_for_others() {
    let mut memory = memory();
    let old = filled(&mut memory, 0);
    let number = memory.begin(at(500));
    let grown = memory.grow(number, 200 * KIB, LARGEST, at(500));
    let refused = grown.expect_err("no room yet");
    assert_eq!(refused.evicted, old[..2]);
    assert!(refused.is_coming);
    for it in &old[..2] {
        memory.release(*it);
    }
    assert_eq!(memory.grow(number, 200 * KIB, LARGEST, at(501)), Ok(()));
}

/// Guards against dropping more than is needed when several bodies ask for room at once.
#[test]
fn bodies_that_are_being_dropped_count_as_room_to_come() {
    let mut memory = memory();
    let old = filled(&mut memory, 0);
    let first = try_body(&mut memory, 128 * KIB, 600).expect_err("no room yet");
    assert_eq!(first.evicted, old[..1]);
    let second = try_body(&mut memory, 128 * KIB, 600).expect_err("no room yet");
    assert_eq!((second.evicted, second.is_coming), (Vec::new(), true));
}

/// Guards against dropping what a sound client has just begun to send.
#[test]
fn young_bodies_are_not_dropped() {
    let mut memory = memory();
    filled(&mut memory, 0);
    let refused = try_body(&mut memory, 128 * KIB, 499).expect_err("no room");
    assert_eq!((refused.evicted, refused.is_coming), (Vec::new(), false));
}

#[test]
fn a_dropped_body_does_not_grow() {
    let mut memory = memory();
    let old = filled(&mut memory, 0);
    try_body(&mut memory, 128 * KIB, 600).expect_err("no room yet");
    assert!(memory.grow(old[0], 129 * KIB, LARGEST, at(600)).is_err());
    memory.read_whole(old[0]);
    memory.release(old[0]);
    assert_eq!(try_body(&mut memory, 128 * KIB, 601), Ok(()));
}

/// Guards against clients that open connections and send nothing on them.
#[test]
fn the_oldest_connection_without_a_request_is_closed_for_a_new_one() {
    let mut waiting = WaitingCallers::default();
    let first = waiting.opened(at(0));
    let second = waiting.opened(at(10));
    let third = waiting.opened(at(20));
    waiting.ended(first);
    assert_eq!(waiting.evict(at(1_009)), None);
    assert_eq!(waiting.evict(at(1_010)), Some(second));
    assert_eq!(waiting.evict(at(5_000)), Some(third));
    assert_eq!(waiting.evict(at(9_000)), None);
}
