//! The command line of the load tool.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_standin::fleet::model_name;
use lexopt::{Arg, Parser, ValueExt as _};
use serde::Serialize;
use snafu::{OptionExt, ResultExt};

use super::error::{BadOptionSnafu, LoadError, ModelsSnafu, RuntimeSnafu, UsageSnafu};
use super::plan::{LoadPlan, PlainShare};
use super::relay::RelayPlan;
use super::streams::OpenStreamsPlan;
use super::table;

pub(crate) const USAGE: &str = "\
usage: chervilshunt_bench load --entry IP:PORT[,IP:PORT…] [OPTIONS]

  --entry IP:PORT[,…]      instances to send to, in turn
  --rate R                 mean arrivals a second (100)
  --seconds S              how long requests arrive (10)
  --warmup S               seconds at the start whose latencies are left out (0)
  --adapters FILE|N        file with a model name a line, or number of quickstart adapters (100)
  --skew Z                 exponent of the adapters' Zipf popularity (1)
  --deferrable-share F     share of requests that may wait (0.2)
  --keyed-share F          share of requests with an idempotency key (0.2)
  --stream-share F         share of completions answered as a stream (0.7)
  --chat-share F           share of completions that are chats (0.3)
  --plain NAME=F           plain service and its share of all requests
  --tokens MIN..MAX        tokens of an answer (4..32)
  --deadline S             deadline that live requests ask for (the service's)
  --patience S             time after which an answer is called overdue (60)
  --retries N              tries of a keyed request whose outcome is unknown (0)
  --http2                  speak HTTP/2
  --seed N                 seed of arrivals and mix (1)
  --direct IP:PORT[,…]     engines that get the same completions directly, for comparison
  --standins IP:PORT[,…]   stand-ins to ask at the end what they ran
  --json                   print JSON in place of tables

Measurements in place of checked load:

  --relay-events           read streams as fast as they come and count their events
  --open-streams           hold streams open and read the memory of --pid
  --streams N              streams at a time (64; 1000 to hold open)
  --stream-tokens N        tokens of each of these streams (20000)
  --stalled                leave the streams that are held open unread
  --pid PID                process of the instance

Exits with a failure if a promise was broken or a stream did not come through whole.";

/// Streams at a time unless the command line says otherwise.
const RELAYED_STREAMS: usize = 64;
const HELD_STREAMS: usize = 1_000;

/// Tokens of a measured stream unless the command line says otherwise.
const STREAM_TOKENS: u32 = 20_000;

/// What the command line asks for.
#[derive(Debug)]
struct Options {
    mode: Mode,
    plan: LoadPlan,
    streams: Option<usize>,
    stream_tokens: u32,
    stalled: bool,
    pid: Option<u32>,
    json: bool,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Load,
    Relay,
    OpenStreams,
}

/// Runs the load tool with the rest of the command line.
///
/// # Errors
/// Fails if the command line is wrong, the load can't be run, or a promise was broken.
pub fn command(parser: Parser) -> Result<(), LoadError> {
    let Some(options) = parse(parser)? else {
        println!("{USAGE}");
        return Ok(());
    };
    let runtime = tokio::runtime::Runtime::new().context(RuntimeSnafu)?;
    match options.mode {
        Mode::Load => runtime.block_on(load(options)),
        Mode::Relay => {
            let report = runtime.block_on(super::relay(relay_plan(&options)))?;
            print_json(&report);
            Ok(())
        }
        Mode::OpenStreams => {
            let report = runtime.block_on(super::open_streams(open_streams_plan(&options)?))?;
            print_json(&report);
            Ok(())
        }
    }
}

async fn load(options: Options) -> Result<(), LoadError> {
    let report = super::run(options.plan).await?;
    if options.json {
        print_json(&report);
    } else {
        print!("{}", table::render(&report));
    }
    if report.passed {
        return Ok(());
    }
    let count = report.violations.iter().map(|kind| kind.count).sum();
    Err(LoadError::Violations { count })
}

fn print_json(report: &impl Serialize) {
    let text = serde_json::to_string_pretty(report).expect("a report has only plain members");
    println!("{text}");
}

fn relay_plan(options: &Options) -> RelayPlan {
    RelayPlan {
        entry: options.plan.entries[0],
        models: options.plan.models.clone(),
        streams: options.streams.unwrap_or(RELAYED_STREAMS),
        tokens: options.stream_tokens,
        pid: options.pid,
        patience: options.plan.patience,
    }
}

fn open_streams_plan(options: &Options) -> Result<OpenStreamsPlan, LoadError> {
    let problem = "--open-streams: --pid says whose memory is to be read";
    Ok(OpenStreamsPlan {
        entry: options.plan.entries[0],
        pid: options.pid.context(BadOptionSnafu { problem })?,
        models: options.plan.models.clone(),
        streams: options.streams.unwrap_or(HELD_STREAMS),
        tokens: options.stream_tokens,
        hold: options.plan.duration,
        stalled: options.stalled,
        patience: options.plan.patience,
    })
}

fn parse(mut parser: Parser) -> Result<Option<Options>, LoadError> {
    let mut options = Options {
        mode: Mode::Load,
        plan: LoadPlan::default(),
        streams: None,
        stream_tokens: STREAM_TOKENS,
        stalled: false,
        pid: None,
        json: false,
    };
    let mut adapters = OsString::from("100");
    while let Some(arg) = parser.next().context(UsageSnafu)? {
        match arg {
            Arg::Long("help") => return Ok(None),
            Arg::Long("adapters") => adapters = parser.value().context(UsageSnafu)?,
            Arg::Long(name) => {
                let name = name.to_owned();
                take_option(&mut options, &name, &mut parser).context(UsageSnafu)?;
            }
            Arg::Short(_) | Arg::Value(_) => return Err(arg.unexpected()).context(UsageSnafu),
        }
    }
    options.plan.models = models(adapters)?;
    check(&options.plan)?;
    Ok(Some(options))
}

fn take_option(
    options: &mut Options,
    name: &str,
    parser: &mut Parser,
) -> Result<(), lexopt::Error> {
    match name {
        "json" => options.json = true,
        "relay-events" => options.mode = Mode::Relay,
        "open-streams" => options.mode = Mode::OpenStreams,
        "stalled" => options.stalled = true,
        "streams" => options.streams = Some(parser.value()?.parse()?),
        "stream-tokens" => options.stream_tokens = parser.value()?.parse()?,
        "pid" => options.pid = Some(parser.value()?.parse()?),
        _ => take(&mut options.plan, name, parser)?,
    }
    Ok(())
}

fn take(plan: &mut LoadPlan, name: &str, parser: &mut Parser) -> Result<(), lexopt::Error> {
    match name {
        "entry" => plan.entries.extend(addresses(parser)?),
        "direct" => plan.direct.extend(addresses(parser)?),
        "standins" => plan.standins.extend(addresses(parser)?),
        "rate" => plan.rate = parser.value()?.parse()?,
        "seconds" => plan.duration = seconds(parser)?,
        "warmup" => plan.warmup = seconds(parser)?,
        "skew" => plan.skew = parser.value()?.parse()?,
        "deferrable-share" => plan.deferrable_share = parser.value()?.parse()?,
        "keyed-share" => plan.keyed_share = parser.value()?.parse()?,
        "stream-share" => plan.stream_share = parser.value()?.parse()?,
        "chat-share" => plan.chat_share = parser.value()?.parse()?,
        "plain" => plan.plain = Some(parser.value()?.parse_with(plain_share)?),
        "tokens" => plan.tokens = parser.value()?.parse_with(token_range)?,
        "deadline" => plan.deadline = Some(seconds(parser)?),
        "patience" => plan.patience = seconds(parser)?,
        "retries" => plan.retries = parser.value()?.parse()?,
        "http2" => plan.http2 = true,
        "seed" => plan.seed = parser.value()?.parse()?,
        _ => return Err(Arg::Long(name).unexpected()),
    }
    Ok(())
}

fn check(plan: &LoadPlan) -> Result<(), LoadError> {
    let shares = [
        ("--deferrable-share", plan.deferrable_share),
        ("--keyed-share", plan.keyed_share),
        ("--stream-share", plan.stream_share),
        ("--chat-share", plan.chat_share),
        (
            "--plain",
            plan.plain.as_ref().map_or(0.0, |plain| plain.share),
        ),
    ];
    for (name, share) in shares {
        if !(0.0..=1.0).contains(&share) {
            let problem = format!("{name}: a share is between 0 and 1, not {share}");
            return BadOptionSnafu { problem }.fail();
        }
    }
    if plan.entries.is_empty() || plan.models.is_empty() {
        let problem = "--entry names at least one instance, --adapters at least one model";
        return BadOptionSnafu { problem }.fail();
    }
    if !(plan.rate > 0.0 && plan.rate.is_finite()) {
        let problem = format!("--rate: a rate is above 0, not {}", plan.rate);
        return BadOptionSnafu { problem }.fail();
    }
    Ok(())
}

/// Reads model names from a file, or makes those of the quickstart.
fn models(adapters: OsString) -> Result<Vec<Arc<str>>, LoadError> {
    let count = adapters.to_str().and_then(|text| text.parse().ok());
    if let Some(count) = count {
        return Ok((0..count).map(|number| model_name(number).into()).collect());
    }
    let path = PathBuf::from(adapters);
    let text = std::fs::read_to_string(&path).context(ModelsSnafu { path })?;
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    Ok(lines.map(Into::into).collect())
}

fn addresses(parser: &mut Parser) -> Result<Vec<SocketAddr>, lexopt::Error> {
    let value = parser.value()?;
    value.parse_with(|text| {
        text.split(',')
            .map(str::parse)
            .collect::<Result<Vec<_>, _>>()
    })
}

fn seconds(parser: &mut Parser) -> Result<Duration, lexopt::Error> {
    let value = parser.value()?;
    value.parse_with(|text| {
        let seconds: f64 = text.parse().map_err(|error| format!("{error}"))?;
        Duration::try_from_secs_f64(seconds).map_err(|error| error.to_string())
    })
}

fn plain_share(text: &str) -> Result<PlainShare, String> {
    let (service, share) = text.split_once('=').ok_or("it is SERVICE=SHARE")?;
    Ok(PlainShare {
        service: service.into(),
        share: share.parse().map_err(|error| format!("{error}"))?,
    })
}

fn token_range(text: &str) -> Result<(u32, u32), String> {
    let (fewest, most) = text.split_once("..").ok_or("it is MIN..MAX")?;
    let number = |text: &str| text.parse().map_err(|error| format!("{error}"));
    Ok((number(fewest)?, number(most)?))
}
