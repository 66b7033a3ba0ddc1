//! Account of the memory that request bodies take.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_model::Moment;

/// Memory up to which a body is small. Nearly all bodies are, and a part of the memory is left to them.
const SMALL_BODY: usize = 32 * 1024;
/// Part of the memory that is left to small bodies, as a divisor.
const SMALL_BODIES_DIVISOR: usize = 4;
/// Age from which on a body that is still being read may be dropped for others.
const MIN_EVICTION_AGE: Duration = Duration::from_millis(500);
/// Memory for bodies if the memory of the process is not known.
const DEFAULT_CAPACITY: usize = 64 * 1024 * 1024;
/// Part of the process's memory that bodies may take, as a divisor. A body may stand in memory once more while it
/// is being sent.
const MEMORY_DIVISOR: usize = 4;

/// Identifies a body in the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BodyNumber(u64);

#[derive(Clone, Copy, Debug)]
struct HeldBody {
    began: Moment,
    bytes: usize,
    state: BodyState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    Reading,
    /// It has to be dropped for others.
    Evicted,
    Whole,
}

/// The memory that the request bodies of one process take.
///
/// A body counts from its first byte until nothing holds it any longer, by the size of its buffer. Small bodies
/// have a part of the memory to themselves, so that clients with large ones can't keep them out. If there is no
/// room, bodies that are still being read are dropped, the oldest first: what a sound client sends is read soon.
/// See `docs/design/request-bodies.md`.
#[derive(Debug)]
pub struct BodyMemory {
    capacity: usize,
    used: usize,
    /// The part of it that is about to be given back.
    freeing: usize,
    /// The bodies, the oldest first.
    bodies: BTreeMap<BodyNumber, HeldBody>,
    next: u64,
}

/// Why a body can't grow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoRoom {
    /// The bodies that have to be dropped now.
    pub evicted: Vec<BodyNumber>,
    /// Whether there will be room once all bodies are dropped that have to be.
    pub is_coming: bool,
}

impl BodyMemory {
    /// Creates the account for a process that may have this much memory, in bytes.
    pub fn new(process_memory: Option<usize>) -> Self {
        Self {
            capacity: process_memory.map_or(DEFAULT_CAPACITY, |it| it / MEMORY_DIVISOR),
            used: 0,
            freeing: 0,
            bodies: BTreeMap::new(),
            next: 0,
        }
    }

    /// Adds a body of which nothing has been read.
    pub fn begin(&mut self, now: Moment) -> BodyNumber {
        let number = BodyNumber(self.next);
        self.next += 1;
        let body = HeldBody {
            began: now,
            bytes: 0,
            state: BodyState::Reading,
        };
        self.bodies.insert(number, body);
        number
    }

    /// Counts the growth of the memory that a body takes. `largest` is what any body may take: a single one always
    /// has room.
    ///
    /// # Errors
    /// Fails if there is no room, or not yet.
    pub fn grow(
        &mut self,
        number: BodyNumber,
        bytes: usize,
        largest: usize,
        now: Moment,
    ) -> Result<(), NoRoom> {
        let body = self.bodies.get(&number);
        let Some(body) = body.filter(|it| it.state == BodyState::Reading) else {
            return Err(NoRoom {
                evicted: Vec::new(),
                is_coming: false,
            });
        };
        let of_others = self.used - body.bytes;
        let capacity = self.capacity_for(bytes).max(largest);
        if of_others + bytes > capacity {
            let missing = of_others + bytes - capacity;
            let evicted = self.evict(number, missing, now);
            return Err(NoRoom {
                evicted,
                is_coming: self.freeing >= missing,
            });
        }
        self.used = of_others + bytes;
        if let Some(body) = self.bodies.get_mut(&number) {
            body.bytes = bytes;
        }
        Ok(())
    }

    /// Records that a body has been read as a whole, so that it is no longer dropped.
    pub fn read_whole(&mut self, number: BodyNumber) {
        if let Some(body) = self.bodies.get_mut(&number)
            && body.state == BodyState::Reading
        {
            body.state = BodyState::Whole;
        }
    }

    /// Removes a body that nothing holds any longer.
    pub fn release(&mut self, number: BodyNumber) {
        if let Some(body) = self.bodies.remove(&number) {
            self.used -= body.bytes;
            if body.state == BodyState::Evicted {
                self.freeing -= body.bytes;
            }
        }
    }

    /// Returns the number of bytes that bodies take.
    pub const fn used(&self) -> usize {
        self.used
    }

    const fn capacity_for(&self, bytes: usize) -> usize {
        if bytes <= SMALL_BODY {
            return self.capacity;
        }
        self.capacity - self.capacity / SMALL_BODIES_DIVISOR
    }

    /// Returns the oldest bodies that, with those that are dropped already, make up for the missing bytes.
    fn evict(&mut self, number: BodyNumber, missing: usize, now: Moment) -> Vec<BodyNumber> {
        let mut evicted = Vec::new();
        let old = self.bodies.iter_mut().filter(|(it, body)| {
            **it != number
                && body.state == BodyState::Reading
                && body.bytes > 0
                && now.since(body.began) >= MIN_EVICTION_AGE
        });
        for (it, body) in old {
            if self.freeing >= missing {
                break;
            }
            body.state = BodyState::Evicted;
            self.freeing += body.bytes;
            evicted.push(*it);
        }
        evicted
    }
}
