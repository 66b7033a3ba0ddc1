//! Settings of the daemon: JSON with comments, parsed and validated in one step.
//!
//! [`Settings::load`] reads a file and returns either settings that are complete and within their
//! bounds, or a list of all problems in the file. [`print_defaults`] returns a commented file to
//! start from. See `docs/operators/settings.md` and `docs/design/configuration-format.md`.

mod check;
mod defaults;
mod error;
mod keys;
mod locate;
mod raw;
mod settings;

pub use defaults::print_defaults;
pub use error::{Problem, SettingsError};
pub use settings::{
    Addresses, Advertise, InstanceSettings, KeyedDuringOutage, LeaseSettings, Limits, LogLevel,
    LogSettings, OutageSettings, PlatformSettings, QueueBounds, RuntimeSettings, Settings,
};
