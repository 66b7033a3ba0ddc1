//! Exhaustive search of the states that a small simulated system can reach within a number of
//! steps.

use std::fmt::Debug;
use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::bfs_reach;
use xxhash_rust::xxh3::Xxh3Default;

/// A world and the number of steps that led to it.
///
/// Two are equal if the 128-bit hashes of their worlds are. The number of steps is not compared:
/// the breadth-first search visits each world first by the fewest steps.
#[derive(Clone)]
struct Visited<W> {
    world: W,
    hash: u128,
    depth: usize,
}

impl<W: Hash> Visited<W> {
    fn new(world: W, depth: usize) -> Self {
        let mut hasher = Xxh3Default::new();
        world.hash(&mut hasher);
        Self {
            world,
            hash: hasher.digest128(),
            depth,
        }
    }
}

impl<W> PartialEq for Visited<W> {
    fn eq(&self, other: &Self) -> bool {
        self.hash == other.hash
    }
}

impl<W> Eq for Visited<W> {}

impl<W> Hash for Visited<W> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.hash.hash(state);
    }
}

/// Returns the search depth in steps: `usual`, or the value of the environment variable
/// `CHERVILSHUNT_COORD_DEPTH`.
pub(super) fn depth(usual: usize) -> usize {
    let asked = std::env::var("CHERVILSHUNT_COORD_DEPTH").ok();
    asked.and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// The number of visited worlds, or the first violation found.
pub(super) type Explored = Result<usize, String>;

/// Visits all worlds within `depth` steps of `start` and returns their number.
///
/// `steps` returns the worlds that one step leads to; `check` returns an error that describes what
/// is wrong with a world.
pub(super) fn explore<W: Clone + Debug + Hash>(
    start: W,
    depth: usize,
    steps: impl Fn(&W) -> Vec<W>,
    check: impl Fn(&W) -> Result<(), String>,
) -> Explored {
    let successors = |visited: &Visited<W>| {
        if visited.depth >= depth {
            return Vec::new();
        }
        let next = steps(&visited.world).into_iter();
        next.map(|world| Visited::new(world, visited.depth + 1))
            .collect()
    };
    let mut count = 0;
    for visited in bfs_reach(Visited::new(start, 0), successors) {
        count += 1;
        check(&visited.world).map_err(|violation| {
            format!(
                "{violation}, after {} steps: {:#?}",
                visited.depth, visited.world
            )
        })?;
    }
    Ok(count)
}
