//! The adapter slots of the engine stand-in.

use std::sync::Arc;

/// The loaded adapters, in load order, and the slots reserved for loads in progress.
#[derive(Debug)]
pub(crate) struct Slots {
    limit: usize,
    loaded: Vec<Arc<str>>,
    /// The slots reserved by loads in progress.
    loading: Vec<(LoadTicket, Arc<str>)>,
    next_ticket: u64,
}

/// Identifies a load, so that one that began before a restart is not mistaken for a later load of
/// the same adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LoadTicket(u64);

/// The reason why a slot could not be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotRefusal {
    /// The adapter is already loaded or loading.
    Present,
    /// All slots are loaded or reserved.
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

    /// Reserves a slot, so that concurrent loads cannot take the same one.
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

    /// Ends a load and returns whether the adapter is now loaded. Loads that began before a restart
    /// are ignored.
    pub(crate) fn finish_load(&mut self, ticket: LoadTicket, succeeded: bool) -> bool {
        let Some(index) = self.loading.iter().position(|(other, _)| *other == ticket) else {
            return false;
        };
        let (_, adapter) = self.loading.swap_remove(index);
        if succeeded {
            self.loaded.push(adapter);
        }
        succeeded
    }

    /// Frees the adapter's slot and returns whether the adapter was loaded.
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
