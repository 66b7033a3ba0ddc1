//! Simulated model engine: adapter slots, continuous batching, power draw and a prefix cache.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use chervilshunt_model::Class;

use super::deployment::{
    IDLE_WATTS, MAX_BATCH, PREFILL_CHUNK, PREFIX_CACHE_TOKENS, SLOTS, STEP_FIXED,
    STEP_PER_PROMPT_TOKEN, STEP_PER_SEQUENCE, WATTS_PER_SEQUENCE,
};
use super::workload::TraceRequest;

/// Simulated model engine.
///
/// The engine has no knowledge of permits. It therefore checks independently that the policy never
/// does what it must not do, such as unloading an adapter that serves a request.
#[derive(Debug, Default)]
pub(crate) struct SimulatedEngine {
    slots: BTreeMap<u32, Slot>,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    prefixes: PrefixCache,
    stepping: bool,
    down: bool,
    generation: u64,
}

/// State of an adapter's slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Slot {
    Loading,
    Ready,
}

/// A request that runs or waits in an engine.
#[derive(Clone, Debug)]
struct Sequence {
    request: u32,
    adapter: u32,
    class: Class,
    prompt_left: u32,
    tokens_left: u32,
    shared_tokens: u32,
    prefix: u64,
}

/// Reason for which an engine refuses a call or an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineRefusal {
    /// The engine is down.
    Down,
    /// The adapter is not loaded.
    AdapterMissing,
    /// All adapter slots are in use.
    NoSlot,
    /// The adapter is already loaded or being loaded.
    AlreadyHeld,
    /// The adapter serves a request, which unloading it would abort.
    Pinned,
}

/// An engine step that begins.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Step {
    /// Duration of the step.
    pub(crate) time: Duration,
    /// Power that the engine draws during the step, in watts.
    pub(crate) watts: f64,
    /// Requests that join the batch with this step.
    pub(crate) joined: Vec<u32>,
}

/// Result of a completed step.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct StepResult {
    /// Number of output tokens generated.
    pub(crate) tokens: u32,
    /// Requests whose responses are complete.
    pub(crate) finished: Vec<u32>,
}

impl SimulatedEngine {
    /// Queues a call, behind waiting calls of the same or a more urgent class.
    ///
    /// Calls join the batch when a step begins, as far as it has room.
    ///
    /// # Errors
    /// Returns an error if the engine is down or the adapter is not loaded.
    pub(crate) fn call(&mut self, request: u32, req: &TraceRequest) -> Result<(), EngineRefusal> {
        let adapter = req.adapter.expect("an engine is called with an adapter");
        if self.down {
            return Err(EngineRefusal::Down);
        }
        if !self.holds(adapter) {
            return Err(EngineRefusal::AdapterMissing);
        }
        let sequence = Sequence {
            request,
            adapter,
            class: req.class,
            prompt_left: req.own_tokens,
            tokens_left: req.output,
            shared_tokens: req.shared_tokens,
            prefix: req.prefix,
        };
        let behind = self
            .waiting
            .partition_point(|other| other.class <= sequence.class);
        self.waiting.insert(behind, sequence);
        Ok(())
    }

    /// Reserves a slot for an adapter whose load begins.
    ///
    /// # Errors
    /// Returns an error if the engine is down, the adapter is already loaded or being loaded, or no
    /// slot is free.
    pub(crate) fn begin_load(&mut self, adapter: u32) -> Result<(), EngineRefusal> {
        if self.down {
            return Err(EngineRefusal::Down);
        }
        if self.slots.contains_key(&adapter) {
            return Err(EngineRefusal::AlreadyHeld);
        }
        if self.slots.len() >= SLOTS as usize {
            return Err(EngineRefusal::NoSlot);
        }
        self.slots.insert(adapter, Slot::Loading);
        Ok(())
    }

    /// Ends a load: marks the adapter as ready if `loaded`, and otherwise frees its slot.
    pub(crate) fn end_load(&mut self, adapter: u32, loaded: bool) {
        if loaded {
            self.slots.insert(adapter, Slot::Ready);
        } else {
            self.slots.remove(&adapter);
        }
    }

    /// Unloads an adapter.
    ///
    /// # Errors
    /// Returns an error if the engine is down, or if the adapter is not loaded or serves a request.
    pub(crate) fn unload(&mut self, adapter: u32) -> Result<(), EngineRefusal> {
        if self.down {
            return Err(EngineRefusal::Down);
        }
        if !self.holds(adapter) {
            return Err(EngineRefusal::AdapterMissing);
        }
        if self.serves(adapter) {
            return Err(EngineRefusal::Pinned);
        }
        self.slots.remove(&adapter);
        Ok(())
    }

    /// Begins the next step if the engine is up, no step is running and there are sequences to run.
    pub(crate) fn begin_step(&mut self) -> Option<Step> {
        if self.stepping || self.down {
            return None;
        }
        let joined = self.admit();
        if self.running.is_empty() {
            return None;
        }
        self.stepping = true;
        let sequences = self.running.len() as u32;
        let prompt = self.compute_prompts();
        Some(Step {
            time: STEP_FIXED + STEP_PER_SEQUENCE * sequences + STEP_PER_PROMPT_TOKEN * prompt,
            watts: WATTS_PER_SEQUENCE.mul_add(f64::from(sequences), IDLE_WATTS),
            joined,
        })
    }

    /// Ends the running step: each sequence whose prompt is computed generates one token.
    pub(crate) fn end_step(&mut self) -> StepResult {
        self.stepping = false;
        let mut result = StepResult::default();
        self.running.retain_mut(|sequence| {
            if sequence.prompt_left > 0 {
                return true;
            }
            result.tokens += 1;
            sequence.tokens_left -= 1;
            if sequence.tokens_left == 0 {
                result.finished.push(sequence.request);
            }
            sequence.tokens_left > 0
        });
        result
    }

    /// Takes the engine down, which loses all adapters, cached prefixes and sequences.
    ///
    /// Returns the requests that were aborted.
    pub(crate) fn stop(&mut self) -> Vec<u32> {
        let aborted = self.running.iter().chain(&self.waiting);
        let aborted = aborted.map(|sequence| sequence.request).collect();
        *self = Self {
            down: true,
            generation: self.generation + 1,
            ..Self::default()
        };
        aborted
    }

    /// Brings the engine back up, with no adapters loaded.
    pub(crate) const fn start(&mut self) {
        self.down = false;
    }

    /// Returns whether the adapter is loaded and ready.
    pub(crate) fn holds(&self, adapter: u32) -> bool {
        self.slots.get(&adapter) == Some(&Slot::Ready)
    }

    /// Returns whether the adapter is loaded or being loaded.
    pub(crate) fn occupies(&self, adapter: u32) -> bool {
        self.slots.contains_key(&adapter)
    }

    /// Returns whether a running or waiting request uses the adapter.
    pub(crate) fn serves(&self, adapter: u32) -> bool {
        let needs = |sequence: &Sequence| sequence.adapter == adapter;
        self.running.iter().any(needs) || self.waiting.iter().any(needs)
    }

    /// Returns the adapters that are ready.
    pub(crate) fn ready(&self) -> impl Iterator<Item = u32> {
        let ready = |(adapter, slot): (&u32, &Slot)| (*slot == Slot::Ready).then_some(*adapter);
        self.slots.iter().filter_map(ready)
    }

    /// Returns the number of slots in use, including those of adapters being loaded.
    pub(crate) fn slots_used(&self) -> usize {
        self.slots.len()
    }

    /// Returns the number of sequences in the batch.
    pub(crate) const fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of sequences that wait for room in the batch.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the prefixes in the cache.
    pub(crate) fn prefixes(&self) -> impl Iterator<Item = u64> {
        self.prefixes.held.iter().map(|(prefix, _)| *prefix)
    }

    /// Returns the engine's generation, which increases each time the engine goes down.
    pub(crate) const fn generation(&self) -> u64 {
        self.generation
    }

    pub(crate) const fn is_down(&self) -> bool {
        self.down
    }

    fn admit(&mut self) -> Vec<u32> {
        let mut joined = Vec::new();
        while self.running.len() < MAX_BATCH as usize
            && let Some(mut sequence) = self.waiting.pop_front()
        {
            if !self.prefixes.touch(sequence.prefix, sequence.shared_tokens) {
                sequence.prompt_left += sequence.shared_tokens;
            }
            joined.push(sequence.request);
            self.running.push(sequence);
        }
        joined
    }

    fn compute_prompts(&mut self) -> u32 {
        let mut budget = PREFILL_CHUNK;
        for sequence in &mut self.running {
            let part = sequence.prompt_left.min(budget);
            sequence.prompt_left -= part;
            budget -= part;
        }
        PREFILL_CHUNK - budget
    }
}

/// LRU cache of prompt prefixes with a limited number of tokens, least recently used first.
#[derive(Debug, Default)]
struct PrefixCache {
    held: VecDeque<(u64, u32)>,
    tokens: u32,
}

impl PrefixCache {
    /// Marks a prefix as most recently used, adding it if it is not cached.
    ///
    /// Returns whether it was cached before. An addition evicts the least recently used prefixes
    /// until the cache is within its capacity.
    fn touch(&mut self, prefix: u64, tokens: u32) -> bool {
        let at = self.held.iter().position(|(held, _)| *held == prefix);
        if let Some(entry) = at.and_then(|at| self.held.remove(at)) {
            self.held.push_back(entry);
            return true;
        }
        self.held.push_back((prefix, tokens));
        self.tokens += tokens;
        while self.tokens > PREFIX_CACHE_TOKENS
            && let Some((_, freed)) = self.held.pop_front()
        {
            self.tokens -= freed;
        }
        false
    }
}
