//! What the tests of the daemon as a process share: one fleet for each test binary, and callers
//! that speak HTTP/1.1, HTTP/2 and bare bytes.

#![allow(dead_code, reason = "each test binary uses a part")]

pub(crate) mod endless;
pub(crate) mod http;
pub(crate) mod raw;
pub(crate) mod serial;
pub(crate) mod shared;
