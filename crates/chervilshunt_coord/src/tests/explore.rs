//! Visits every state that a small world can reach within a number of steps.

use std::fmt::Debug;
use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::bfs_reach;
use xxhash_rust::xxh3::Xxh3Default;

/// A world with the number of steps that led to it.
///
/// Two are the same if the hashes of their worlds are, of 128 bits. The steps don't count: the
/// search visits each world first by the fewest.
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

/// Returns the number of steps to search: `usual`, or as many as the environment asks for.
pub(super) fn depth(usual: usize) -> usize {
    let asked = std::env::var("CHERVILSHUNT_COORD_DEPTH").ok();
    asked.and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// What was visited, or the first violation found.
pub(super) type Explored = Result<usize, String>;

/// Visits all worlds within `depth` steps of `start`, and returns their number.
///
/// `steps` returns the worlds that one step leads to, and `check` says what is wrong with one.
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
