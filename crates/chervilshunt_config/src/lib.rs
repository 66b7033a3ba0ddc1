//! Settings of the daemon: JSON with comments, resolved in one step from raw to checked.
//!
//! [`Settings::load`] reads a file and either gives settings that are whole and within their bounds,
//! or lists everything that is wrong with the file at once. [`print_defaults`] writes a commented
//! file to start from. See `docs/operators/settings.md` and `docs/design/configuration-format.md`.

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
