//! Leases: each run of an instance renews its own Lease object, and other instances watch the
//! object to detect failures.
//!
//! [`LeaseKeeper`] renews the own lease and tracks until when it is valid. [`LeaseObserver`]
//! detects that another run's lease has expired. `docs/design/leases.md` shows why a holder never
//! relies on a lease that an observer has ended.

mod exclusive;
mod keeper;
mod observer;
mod record;

pub use exclusive::{
    ExclusiveLeaseAction, ExclusiveLeaseConfig, ExclusiveLeaseEvent, ExclusiveLeaseKeeper,
    ExclusiveLeaseRecord, HeldLease, LeaseWriteOutcome, VersionedLeaseRecord, era_of_term,
};
pub use keeper::{LeaseAction, LeaseConfig, LeaseEvent, LeaseKeeper};
pub use observer::{LeaseObserver, ObserverAction, ObserverConfig, ObserverEvent};
pub use record::{LeaseRecord, LeaseState};
