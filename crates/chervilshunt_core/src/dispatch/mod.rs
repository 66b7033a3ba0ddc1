//! Which target gets a request, decided by the instance that took it.
//!
//! Nobody is asked: a target refuses what it doesn't hold and what it has no room for, and both
//! refusals say truly that nothing has run. So an instance may always decide alone, from what the
//! platform lists, what targets report with their answers, and what the placer tells. See
//! `docs/design/on-the-platform.md`.

mod budget;
mod choose;
mod facts;
mod guide;
mod health;
mod holders;
mod lanes;
mod load;
mod routes;
mod said;
mod state;
mod uses;

pub use budget::{ServiceBudgets, WindowBudget, WindowBudgetConfig};
pub use choose::{Ask, Choice, DispatchConfig, Wait};
pub use facts::{
    Leaving, LoadReport, LoadedAdapter, LoadedModel, ModelSpec, PlacementLimits, RequestSize,
    TargetFacts, TargetStart, Weights,
};
pub use guide::{Continuity, Guide, Pace};
pub use health::{HealthConfig, Sign};
pub(crate) use holders::NamedVersions;
pub use holders::{HeldAdapters, Holding, TargetSnapshot};
pub use lanes::{Lane, long_prompt_targets};
pub use routes::{CallerBounds, Repeat, Route, RouteTable, ServiceSpec};
pub use state::{Dispatch, EntryChange};
