//! Parsing and validation of the command line.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_model::ChangeId;
use lexopt::prelude::{Long, Short, Value, ValueExt as _};
use snafu::{OptionExt as _, ResultExt as _, Snafu};

use crate::SERVER_VARIABLE;

/// The output of `--help`.
pub(crate) const HELP: &str = "\
chervilshuntctl [OPTIONS] [STATEMENTS]

Queries and changes a deployment. Statements come from the arguments, from a script on
standard input, or from a prompt if standard input is a terminal. The language:
docs/LANGUAGE.md. Examples:

  chervilshuntctl --server 10.0.0.7:8082 show targets where zone = herning
  chervilshuntctl 'drain target lm-1; show loads where target = lm-1'
  chervilshuntctl < new-tenant.script

Options:
  --server IP:PORT   the operators' address of any instance
                     (default: CHERVILSHUNT_SERVER from the environment)
  --json             write each answer as one line of JSON
  --local            query only the server itself, not the whole deployment
  --check            only check the statements; needs no server
  --timeout SECONDS  how long to wait for an answer (default 30)
  --settle SECONDS   how long to resend a change whose answer was lost, to get its outcome
                     (default 60)
  --id UUID          the id of the change, to get the outcome of one sent before
  -h, --help         show this text
  -V, --version      show the version

Exit codes:
  0  everything was answered and accepted
  1  a statement was refused and has not taken effect
  2  the command line or a statement is invalid; nothing was sent
  3  the server can't be reached, or did not answer a query; nothing has changed
  4  a change was sent, and its outcome could not be determined: it may have taken effect
  5  the answer of the server could not be parsed
";

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_SETTLE: Duration = Duration::from_secs(60);

/// The action that the command line selects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    Help,
    Version,
    Run(Options),
}

/// Validated options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Options {
    /// The server's address; may be `None` only with `check`, when nothing is sent.
    pub(crate) server: Option<SocketAddr>,
    pub(crate) json: bool,
    pub(crate) local: bool,
    pub(crate) check: bool,
    pub(crate) timeout: Duration,
    /// The time during which a change with an unknown outcome is sent again.
    pub(crate) settle: Duration,
    /// The id of a change that was sent before; if `None`, each change gets a new one.
    pub(crate) id: Option<ChangeId>,
    /// The statements given as arguments.
    pub(crate) statements: Option<String>,
}

/// Why a command line is invalid.
#[derive(Debug, Snafu)]
pub(crate) enum OptionsError {
    #[snafu(display("{source}"))]
    Arguments { source: lexopt::Error },
    #[snafu(display("{origin} is {value:?}, which is not an IP:PORT such as 10.0.0.7:8082"))]
    Server { origin: &'static str, value: String },
    #[snafu(display(
        "no server given; set the operators' address of any instance with --server IP:PORT or in \
         {SERVER_VARIABLE}"
    ))]
    NoServer,
    #[snafu(display("--timeout is {value:?}, which is not a number of seconds above 0"))]
    Timeout { value: String },
    #[snafu(display("--settle is {value:?}, which is not a number of seconds, at least 0"))]
    Settle { value: String },
    #[snafu(display("--id is {value:?}, which is not a UUID"))]
    Id { value: String },
}

/// Options before validation.
#[derive(Default)]
struct RawOptions {
    server: Option<String>,
    json: bool,
    local: bool,
    check: bool,
    timeout: Option<String>,
    settle: Option<String>,
    id: Option<String>,
    words: Vec<String>,
}

/// Parses and validates a command line; `server` is the value of [`SERVER_VARIABLE`].
pub(crate) fn parse(
    arguments: impl Iterator<Item = OsString>,
    server: Option<OsString>,
) -> Result<Command, OptionsError> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut raw = RawOptions::default();
    while let Some(argument) = parser.next().context(ArgumentsSnafu)? {
        match argument {
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Long("server") => raw.server = Some(value(&mut parser)?),
            Long("timeout") => raw.timeout = Some(value(&mut parser)?),
            Long("settle") => raw.settle = Some(value(&mut parser)?),
            Long("id") => raw.id = Some(value(&mut parser)?),
            Long("json") => raw.json = true,
            Long("local") => raw.local = true,
            Long("check") => raw.check = true,
            Value(word) => raw.words.push(word.string().context(ArgumentsSnafu)?),
            other => return Err(other.unexpected()).context(ArgumentsSnafu),
        }
    }
    resolve(raw, server).map(Command::Run)
}

fn value(parser: &mut lexopt::Parser) -> Result<String, OptionsError> {
    parser
        .value()
        .and_then(|value| value.string())
        .context(ArgumentsSnafu)
}

fn resolve(raw: RawOptions, variable: Option<OsString>) -> Result<Options, OptionsError> {
    let variable = variable.map(|value| value.to_string_lossy().into_owned());
    let server = match (raw.server, variable) {
        (Some(value), _) => Some(address("--server", value)?),
        (None, Some(value)) => Some(address(SERVER_VARIABLE, value)?),
        (None, None) => None,
    };
    if !raw.check {
        server.context(NoServerSnafu)?;
    }
    Ok(Options {
        server,
        json: raw.json,
        local: raw.local,
        check: raw.check,
        timeout: raw.timeout.map_or(Ok(DEFAULT_TIMEOUT), timeout)?,
        settle: raw.settle.map_or(Ok(DEFAULT_SETTLE), settle)?,
        id: raw.id.map(id).transpose()?,
        statements: (!raw.words.is_empty()).then(|| raw.words.join(" ")),
    })
}

fn address(origin: &'static str, value: String) -> Result<SocketAddr, OptionsError> {
    value.parse().ok().context(ServerSnafu { origin, value })
}

fn timeout(value: String) -> Result<Duration, OptionsError> {
    let seconds = value.parse().ok().filter(|seconds| *seconds > 0.0);
    seconds
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
        .context(TimeoutSnafu { value })
}

fn settle(value: String) -> Result<Duration, OptionsError> {
    let seconds = value.parse().ok();
    seconds
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
        .context(SettleSnafu { value })
}

fn id(value: String) -> Result<ChangeId, OptionsError> {
    ChangeId::parse(&value).context(IdSnafu { value })
}
