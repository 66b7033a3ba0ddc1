//! A fake model engine: adapter slots, continuous batching, power and a prefix cache.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use chervilshunt_model::Class;

use super::deployment::{
    IDLE_WATTS, MAX_BATCH, PREFILL_CHUNK, PREFIX_CACHE_TOKENS, SLOTS, STEP_FIXED,
    STEP_PER_PROMPT_TOKEN, STEP_PER_SEQUENCE, WATTS_PER_SEQUENCE,
};
use super::workload::TraceRequest;

/// A fake model engine.
///
/// It checks by itself what the policy may never do: it knows nothing of permits.
#[derive(Debug, Default)]
pub(crate) struct Engine {
    slots: BTreeMap<u32, Slot>,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    prefixes: PrefixCache,
    stepping: bool,
    down: bool,
    generation: u64,
}

/// What an adapter's slot holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Slot {
    Loading,
    Ready,
}

/// One request inside an engine.
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

/// Why an engine doesn't do what it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineRefusal {
    /// It is down.
    Down,
    /// It does not hold the adapter.
    AdapterMissing,
    /// It has no slot left.
    NoSlot,
    /// It holds or loads the adapter already.
    AlreadyHeld,
    /// The adapter serves a request; an engine that obeyed would cut it off.
    Pinned,
}

/// A step that begins.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Step {
    /// How long it takes.
    pub(crate) time: Duration,
    /// What the engine draws during it, in watts.
    pub(crate) watts: f64,
    /// The requests that take part for the first time.
    pub(crate) joined: Vec<u32>,
}

/// What a step that has ended gave.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct StepResult {
    /// Tokens of answers.
    pub(crate) tokens: u32,
    /// The requests whose answers are whole.
    pub(crate) finished: Vec<u32>,
}

impl Engine {
    /// Takes a call in; it joins the batch when the next step begins.
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

    /// Takes a slot for an adapter that is about to be loaded.
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

    /// Ends a load: the adapter is ready, or its slot is free again.
    pub(crate) fn end_load(&mut self, adapter: u32, loaded: bool) {
        if loaded {
            self.slots.insert(adapter, Slot::Ready);
        } else {
            self.slots.remove(&adapter);
        }
    }

    /// Unloads an adapter unless it serves a request.
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

    /// Begins the next step if none runs and there is work.
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

    /// Ends the step that runs: each sequence whose prompt is computed gives one token.
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

    /// Goes down: everything held, running and waiting is gone. Returns the requests cut off.
    pub(crate) fn stop(&mut self) -> Vec<u32> {
        let cut = self.running.iter().chain(&self.waiting);
        let cut = cut.map(|sequence| sequence.request).collect();
        *self = Self {
            down: true,
            generation: self.generation + 1,
            ..Self::default()
        };
        cut
    }

    /// Comes back empty.
    pub(crate) const fn start(&mut self) {
        self.down = false;
    }

    /// Says whether the adapter is ready.
    pub(crate) fn holds(&self, adapter: u32) -> bool {
        self.slots.get(&adapter) == Some(&Slot::Ready)
    }

    /// Says whether the adapter is held or being loaded.
    pub(crate) fn occupies(&self, adapter: u32) -> bool {
        self.slots.contains_key(&adapter)
    }

    /// Says whether a request that runs or waits needs the adapter.
    pub(crate) fn serves(&self, adapter: u32) -> bool {
        let needs = |sequence: &Sequence| sequence.adapter == adapter;
        self.running.iter().any(needs) || self.waiting.iter().any(needs)
    }

    /// Returns the adapters that are ready.
    pub(crate) fn ready(&self) -> impl Iterator<Item = u32> {
        let ready = |(adapter, slot): (&u32, &Slot)| (*slot == Slot::Ready).then_some(*adapter);
        self.slots.iter().filter_map(ready)
    }

    /// Returns the number of slots in use.
    pub(crate) fn slots_used(&self) -> usize {
        self.slots.len()
    }

    /// Returns how many sequences run.
    pub(crate) const fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns how many sequences wait for room in the batch.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the prefixes in the cache.
    pub(crate) fn prefixes(&self) -> impl Iterator<Item = u64> {
        self.prefixes.held.iter().map(|(prefix, _)| *prefix)
    }

    /// Returns a number that each restart raises.
    pub(crate) const fn generation(&self) -> u64 {
        self.generation
    }

    /// Says whether the engine is down.
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

/// Prefixes of prompts in limited memory, the least recently used first.
#[derive(Debug, Default)]
struct PrefixCache {
    held: VecDeque<(u64, u32)>,
    tokens: u32,
}

impl PrefixCache {
    /// Uses a prefix; says whether it was cached.
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
