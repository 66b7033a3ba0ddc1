//! Serving on a platform that keeps configuration, targets and leases in its object service.
//!
//! All instances run the same code. An instance serves callers' requests, follows the platform and
//! chooses targets on its own (`traffic`), and may hold the lease that lets it send orders to
//! targets (`control`). The platform's names and formats are provided by a [`Dialect`]; no other
//! part of this crate depends on them. See `docs/design/on-the-platform.md`.

mod admit;
mod brittle;
mod control;
mod crashes;
mod dialect;
mod front;
mod grants;
mod leaving;
mod limits;
mod links;
mod peers;
mod ports;
mod reports;
mod run;
mod run_check;
mod settings;
mod shared;
mod stalls;
mod store;
mod streams;
mod traffic;
mod transit;
mod unwritten;

pub use dialect::{
    Change, Changes, Content, Dialect, Entry, Freshness, Headers, Kind, Malformed, NamedLimit,
    Page, StoreDialect, StreamRecord, StreamRecordPage, TargetDialect,
};
pub use run::run;
pub use settings::{
    Addresses, Bounds, InstanceSettings, LogLevel, PlainAdmission, PlatformSettings, Settings,
    SettingsError,
};
