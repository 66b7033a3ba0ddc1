//! The initial configuration of a fleet.

use std::ffi::OsString;
use std::fmt::Write as _;

use super::error::FleetError;
use super::process::Process;
use super::registry::Endpoint;
use super::start::{FleetOptions, TargetKind};

/// Name of the service that the engines belong to.
const ENGINE_SERVICE: &str = "assistant";

/// Name of the service that the plain targets belong to.
pub(crate) const PLAIN_SERVICE: &str = "desk";

/// Name of the engines' base model.
const BASE_MODEL: &str = "base";

const SITE: &str = "hall";
const STORE: &str = "shelf";
const DEADLINE_MS: u64 = 20_000;
const IDLE_WATTS: f64 = 100.0;
const WATTS_PER_SEQUENCE: f64 = 25.0;

/// Returns the name of the adapter with this number, counted from 0.
pub fn adapter_name(number: usize) -> String {
    format!("adapter-{number:04}")
}

/// Returns the model name with which a request selects the first version of an adapter.
pub fn model_name(number: usize) -> String {
    format!("{}@v1", adapter_name(number))
}

pub(crate) const fn service_of(kind: TargetKind) -> &'static str {
    match kind {
        TargetKind::Engine => ENGINE_SERVICE,
        TargetKind::Plain => PLAIN_SERVICE,
    }
}

/// Returns the command-line arguments of an engine stand-in.
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

/// Returns the statements that create all objects in one atomic change.
pub(crate) fn statements<'a>(
    options: &FleetOptions,
    targets: impl Iterator<Item = (TargetKind, &'a Endpoint)>,
) -> String {
    let mut text = format!(
        "{{\n\
         create priority prompt class=live;\n\
         create priority overnight class=deferrable;\n\
         create site {SITE} cap_watts={};\n\
         create store {STORE} concurrency=2 loads_per_second=50;\n\
         create service {ENGINE_SERVICE} kind=engine base_model={BASE_MODEL} priority=prompt \
         idempotent=true deadline_ms={DEADLINE_MS};\n\
         create service {PLAIN_SERVICE} kind=plain priority=prompt deadline_ms={DEADLINE_MS};\n",
        options.cap_watts,
    );
    for (kind, endpoint) in targets {
        text.push_str(&create_target(options, kind, endpoint));
    }
    for number in 0..options.adapters {
        let adapter = adapter_name(number);
        text.push_str(&format!(
            "create adapter {adapter} service={ENGINE_SERVICE};\n"
        ));
        text.push_str(&create_version(&model_name(number)));
    }
    text.push('}');
    text
}

/// Returns the statement that creates an adapter version.
pub fn create_version(model: &str) -> String {
    format!("create version {model} source=store/{model};\n")
}

fn create_target(options: &FleetOptions, kind: TargetKind, endpoint: &Endpoint) -> String {
    let mut text = format!(
        "create target {} service={} address={} zone={} site={SITE} max_batch={}",
        endpoint.name, endpoint.service, endpoint.ports["http"], endpoint.zone, options.max_batch,
    );
    if kind == TargetKind::Engine {
        let fencing = match options.engines_check_fencing {
            true => "checks",
            false => "ignores",
        };
        let _infallible = write!(
            text,
            " store={STORE} slots={} fencing={fencing} idle_watts={IDLE_WATTS} \
             watts_per_sequence={WATTS_PER_SEQUENCE}",
            options.slots,
        );
    }
    text.push_str(";\n");
    text
}
