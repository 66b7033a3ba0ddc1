//! Code that the command lines of all stand-ins share.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use lexopt::Parser;
use serde_json::json;

/// The listening addresses of a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Addresses {
    /// The address of the simulated server.
    pub(crate) main: SocketAddr,
    /// The address of the control endpoints, which stays reachable while the main one refuses
    /// connections.
    pub(crate) control: SocketAddr,
}

/// Runs a stand-in until the process is terminated.
///
/// `parse` returns `None` if help was requested.
pub(crate) fn run<C, F>(
    mut parser: Parser,
    usage: &str,
    parse: impl FnOnce(&mut Parser) -> Result<Option<C>, lexopt::Error>,
    start: impl FnOnce(C) -> F,
) -> ExitCode
where
    F: Future<Output = io::Result<Addresses>>,
{
    let cfg = match parse(&mut parser) {
        Ok(Some(cfg)) => cfg,
        Ok(None) => {
            println!("{usage}");
            return ExitCode::SUCCESS;
        }
        Err(err) => {
            eprintln!("chervilshunt_standin: {err}\n{usage}");
            return ExitCode::from(2);
        }
    };
    match serve(start(cfg)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("chervilshunt_standin: {err}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn serve(start: impl Future<Output = io::Result<Addresses>>) -> io::Result<()> {
    let addresses = start.await?;
    let line = json!({
        "listening": addresses.main.to_string(),
        "control": addresses.control.to_string(),
    });
    println!("{line}");
    std::future::pending().await
}
