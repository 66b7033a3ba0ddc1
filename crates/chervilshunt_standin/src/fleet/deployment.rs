//! The objects that a fleet starts with.

use std::ffi::OsString;
use std::fmt::Write as _;

use super::error::FleetError;
use super::process::Process;
use super::start::{FleetOptions, Target, TargetKind};

/// The service of the engines.
const ENGINE_SERVICE: &str = "assistant";

/// The service of the plain targets.
const PLAIN_SERVICE: &str = "desk";

/// The base model of the engines.
const BASE_MODEL: &str = "base";

const IDLE_WATTS: f64 = 100.0;
const WATTS_PER_SEQUENCE: f64 = 25.0;

/// Returns the name of an adapter by number, from 0.
pub fn adapter_name(number: usize) -> String {
    format!("adapter-{number:04}")
}

/// Returns the model name by which a request asks for the first version of an adapter.
pub fn model_name(number: usize) -> String {
    format!("{}@v1", adapter_name(number))
}

pub(crate) const fn service_of(kind: TargetKind) -> &'static str {
    match kind {
        TargetKind::Engine => ENGINE_SERVICE,
        TargetKind::Plain => PLAIN_SERVICE,
    }
}

/// Writes the command line of an engine stand-in.
pub(crate) fn engine_args(
    options: &FleetOptions,
    weights: &Process,
) -> Result<Vec<OsString>, FleetError> {
    let mut args: Vec<OsString> = vec!["engine".into()];
    let mut push = |name: &str, value: String| args.extend([name.into(), value.into()]);
    push("--base-model", BASE_MODEL.to_owned());
    push("--slots", options.slots.to_string());
    push("--max-batch", options.max_batch.to_string());
    push("--step-ms", options.step.as_millis().to_string());
    push("--weights", weights.address("listening")?.to_string());
    push("--idle-watts", IDLE_WATTS.to_string());
    push("--watts-per-sequence", WATTS_PER_SEQUENCE.to_string());
    if !options.engines_check_fencing {
        args.push("--no-fencing".into());
    }
    Ok(args)
}

/// Writes the statements that create everything in one atomic change.
pub(crate) fn statements<'a>(
    options: &FleetOptions,
    targets: impl Iterator<Item = &'a Target>,
) -> String {
    let mut text = format!(
        "create priority live class = live, weight = 1;\n\
         create priority later class = deferrable, weight = 1;\n\
         create site main cap_watts = 100000;\n\
         create store weights concurrency = 2, loads_per_second = 50;\n\
         create service {ENGINE_SERVICE} kind = engine, base_model = {BASE_MODEL}, \
         priority = live, idempotent = true, deadline_ms = 20000;\n\
         create service {PLAIN_SERVICE} kind = plain, priority = live, idempotent = false, \
         deadline_ms = 20000;\n"
    );
    for target in targets {
        let endpoint = &target.endpoint;
        let address = endpoint.ports["http"];
        let slots = match target.kind {
            TargetKind::Engine => options.slots,
            TargetKind::Plain => 0,
        };
        let fencing = match options.engines_check_fencing && target.kind == TargetKind::Engine {
            true => "checks",
            false => "ignores",
        };
        let _infallible = writeln!(
            text,
            "create target {} service = {}, address = '{address}', zone = '{}', site = main, \
             store = weights, slots = {slots}, max_batch = {}, fencing = {fencing}, \
             idle_watts = {IDLE_WATTS}, watts_per_sequence = {WATTS_PER_SEQUENCE};",
            endpoint.name, endpoint.service, endpoint.zone, options.max_batch,
        );
    }
    for number in 0..options.adapters {
        let adapter = adapter_name(number);
        let _infallible = writeln!(
            text,
            "create adapter {adapter} service = {ENGINE_SERVICE};\n\
             create version {adapter}@v1 source = 'store/{adapter}/v1';"
        );
    }
    text
}
