//! Requests that crash the targets that run them.

mod fingerprint;

pub use fingerprint::Fingerprint;
