//! The instances that know where streams of others began.

use std::sync::{Mutex, MutexGuard, PoisonError};

use chervilshunt_mesh::Peer;
use chervilshunt_model::InstanceId;

/// Number of keepers that are asked: the placer, its deputy, and the last ones before them.
const MAX_KEEPERS: usize = 4;

/// The placers and deputies that this instance has known, the newest last.
///
/// A placer that has just begun and its deputy know little of the streams that began before. What the
/// earlier ones were told is not lost as long as one of them lives.
#[derive(Debug, Default)]
pub(crate) struct StreamKeepers(Mutex<Vec<Peer>>);

impl StreamKeepers {
    fn lock(&self) -> MutexGuard<'_, Vec<Peer>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an instance is the placer or its deputy.
    pub(crate) fn add(&self, keeper: &Peer) {
        let mut keepers = self.lock();
        if keepers.last() == Some(keeper) {
            return;
        }
        keepers.retain(|it| it.instance != keeper.instance);
        keepers.push(keeper.clone());
        if keepers.len() > MAX_KEEPERS {
            keepers.remove(0);
        }
    }

    /// Returns the keepers other than this instance itself, the newest first.
    pub(crate) fn others(&self, own: &InstanceId) -> Vec<Peer> {
        let keepers = self.lock();
        let others = keepers.iter().rev().filter(|it| it.instance != *own);
        others.cloned().collect()
    }
}
