//! Support for the tests that run the daemon as a process: one fleet for each test binary, and
//! clients for HTTP/1.1, HTTP/2 and raw bytes.

#![allow(dead_code, reason = "each test binary uses a part")]

pub(crate) mod endless;
pub(crate) mod http;
pub(crate) mod raw;
pub(crate) mod scripted;
pub(crate) mod serial;
pub(crate) mod shared;
