//! The adapter slots of the engine stand-in.

use std::sync::Arc;

/// The adapters that are loaded, in the order in which they were.
#[derive(Debug)]
pub(crate) struct Slots {
    limit: usize,
    loaded: Vec<Arc<str>>,
    /// Slots that loads in progress have reserved.
    loading: Vec<(LoadTicket, Arc<str>)>,
    next_ticket: u64,
}

/// Tells one load from another of the same adapter that began after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LoadTicket(u64);

/// Why a slot could not be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotRefusal {
    /// The adapter is loaded already, or being loaded.
    Present,
    /// Every slot is taken.
    Full,
}

impl Slots {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            loaded: Vec::new(),
            loading: Vec::new(),
            next_ticket: 0,
        }
    }

    pub(crate) fn loaded(&self) -> &[Arc<str>] {
        &self.loaded
    }

    pub(crate) fn find(&self, adapter: &str) -> Option<&Arc<str>> {
        self.loaded.iter().find(|loaded| &***loaded == adapter)
    }

    /// Reserves a slot, so that two loads side by side can't take the same one.
    pub(crate) fn reserve(&mut self, adapter: &Arc<str>) -> Result<LoadTicket, SlotRefusal> {
        let loading = self.loading.iter().any(|(_, loading)| loading == adapter);
        if loading || self.loaded.contains(adapter) {
            return Err(SlotRefusal::Present);
        }
        if self.loaded.len() + self.loading.len() >= self.limit {
            return Err(SlotRefusal::Full);
        }
        let ticket = LoadTicket(self.next_ticket);
        self.next_ticket += 1;
        self.loading.push((ticket, Arc::clone(adapter)));
        Ok(ticket)
    }

    /// Ends a load and says whether the adapter is there now; a restart forgets loads.
    pub(crate) fn settle(&mut self, ticket: LoadTicket, succeeded: bool) -> bool {
        let Some(place) = self.loading.iter().position(|(other, _)| *other == ticket) else {
            return false;
        };
        let (_, adapter) = self.loading.swap_remove(place);
        if succeeded {
            self.loaded.push(adapter);
        }
        succeeded
    }

    /// Frees the adapter's slot and says whether it held it.
    pub(crate) fn unload(&mut self, adapter: &str) -> bool {
        let before = self.loaded.len();
        self.loaded.retain(|loaded| &**loaded != adapter);
        self.loaded.len() < before
    }

    pub(crate) fn clear(&mut self) {
        self.loaded.clear();
        self.loading.clear();
    }
}
