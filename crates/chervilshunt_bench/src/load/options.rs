//! Command line of the load tool.

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
  --rate R                 mean arrivals per second (100)
  --seconds S              seconds during which requests arrive (10)
  --warmup S               seconds at the start excluded from latencies (0)
  --adapters FILE|N        file with one model name per line, or number of quickstart adapters (100)
  --skew Z                 Zipf exponent of the adapters' popularity (1)
  --deferrable-share F     share of deferrable requests (0.2)
  --keyed-share F          share of requests with an idempotency key (0.2)
  --stream-share F         share of streamed completions (0.7)
  --chat-share F           share of completions sent to the chat API (0.3)
  --plain NAME=F           plain service, and its share of all requests
  --tokens MIN..MAX        tokens per answer (4..32)
  --deadline S             deadline of live requests (the service's own)
  --patience S             seconds after which an answer counts as overdue (60)
  --retries N              retries of a keyed request whose outcome is unknown (0)
  --http2                  use HTTP/2
  --seed N                 seed of arrivals and request contents (1)
  --direct IP:PORT[,…]     engines that also get the completions directly, for comparison
  --standins IP:PORT[,…]   stand-ins that report at the end which requests they ran
  --json                   print JSON instead of tables

Measurements instead of checked load:

  --relay-events           read streams as fast as they arrive and count their events
  --open-streams           hold streams open and read the memory of --pid
  --streams N              concurrent streams (64; 1000 with --open-streams)
  --stream-tokens N        tokens per stream (20000)
  --stalled                do not read the streams held open
  --pid PID                process id of the instance

Exits with a failure if a guarantee was violated or a stream was incomplete.";

/// Defaults of `--streams` for `--relay-events` and `--open-streams`.
const RELAYED_STREAMS: usize = 64;
const HELD_STREAMS: usize = 1_000;

/// Default of `--stream-tokens`.
const STREAM_TOKENS: u32 = 20_000;

/// Parsed command line.
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

/// What the load tool runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Load,
    Relay,
    OpenStreams,
}

/// Runs the load tool with the rest of the command line and prints its report.
///
/// # Errors
/// Returns an error if the command line is invalid, the load can't be run, or a guarantee was
/// violated.
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
        timeout: options.plan.timeout,
    }
}

fn open_streams_plan(options: &Options) -> Result<OpenStreamsPlan, LoadError> {
    let problem = "--open-streams requires --pid, the process whose memory is read";
    Ok(OpenStreamsPlan {
        entry: options.plan.entries[0],
        pid: options.pid.context(BadOptionSnafu { problem })?,
        models: options.plan.models.clone(),
        streams: options.streams.unwrap_or(HELD_STREAMS),
        tokens: options.stream_tokens,
        hold: options.plan.duration,
        stalled: options.stalled,
        timeout: options.plan.timeout,
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
                set_option(&mut options, &name, &mut parser).context(UsageSnafu)?;
            }
            Arg::Short(_) | Arg::Value(_) => return Err(arg.unexpected()).context(UsageSnafu),
        }
    }
    options.plan.models = models(adapters)?;
    check(&options.plan)?;
    Ok(Some(options))
}

fn set_option(options: &mut Options, name: &str, parser: &mut Parser) -> Result<(), lexopt::Error> {
    match name {
        "json" => options.json = true,
        "relay-events" => options.mode = Mode::Relay,
        "open-streams" => options.mode = Mode::OpenStreams,
        "stalled" => options.stalled = true,
        "streams" => options.streams = Some(parser.value()?.parse()?),
        "stream-tokens" => options.stream_tokens = parser.value()?.parse()?,
        "pid" => options.pid = Some(parser.value()?.parse()?),
        _ => set_plan_option(&mut options.plan, name, parser)?,
    }
    Ok(())
}

fn set_plan_option(
    plan: &mut LoadPlan,
    name: &str,
    parser: &mut Parser,
) -> Result<(), lexopt::Error> {
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
        "patience" => plan.timeout = seconds(parser)?,
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
            let problem = format!("{name}: a share must be between 0 and 1, got {share}");
            return BadOptionSnafu { problem }.fail();
        }
    }
    if plan.entries.is_empty() || plan.models.is_empty() {
        let problem = "at least one instance (--entry) and one model (--adapters) are required";
        return BadOptionSnafu { problem }.fail();
    }
    if !(plan.rate > 0.0 && plan.rate.is_finite()) {
        let problem = format!(
            "--rate: a rate must be finite and above 0, got {}",
            plan.rate
        );
        return BadOptionSnafu { problem }.fail();
    }
    Ok(())
}

/// Reads model names from a file, or generates those of the quickstart if given a number.
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
    let (service, share) = text.split_once('=').ok_or("expected SERVICE=SHARE")?;
    Ok(PlainShare {
        service: service.into(),
        share: share.parse().map_err(|error| format!("{error}"))?,
    })
}

fn token_range(text: &str) -> Result<(u32, u32), String> {
    let (fewest, most) = text.split_once("..").ok_or("expected MIN..MAX")?;
    let number = |text: &str| text.parse().map_err(|error| format!("{error}"));
    Ok((number(fewest)?, number(most)?))
}
