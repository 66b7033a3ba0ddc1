//! What all cases share: the configuration, and how a case ends.

use std::path::PathBuf;

use crate::fleet::Record;

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
    pub aim_ms: u32,
    pub max_attempts: u32,
    pub is_resumable: bool,
}

/// Returns a configuration with these routes; `engine` is the service that runs model engines, if any.
pub fn configuration(routes: &[Route], plain: &[&str], engine: Option<&str>) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|it| {
            format!(
                "{{\"name\":\"{0}\",\"hostname\":\"callers.example\",\"path_prefix\":\"/{0}/\",\
                 \"route_type\":\"{1}\",\"service\":\"{2}\",\"timeout_ms\":{3},\
                 \"target_latency_ms\":{4},\"priority\":1,\"max_attempts\":{5},\
                 \"session_affinity\":false,\"resumable\":{6}}}",
                it.name,
                it.kind,
                it.service,
                it.timeout_ms,
                it.aim_ms,
                it.max_attempts,
                it.is_resumable
            )
        })
        .collect();
    let mut services: Vec<String> = plain
        .iter()
        .map(|it| {
            format!(
                "{{\"name\":\"{it}\",\"health_path\":\"/health\",\"max_connections\":360,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    services.extend(engine.map(|it| {
        format!(
            "{{\"name\":\"{it}\",\"health_path\":\"/health\",\"max_connections\":360,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"models\":[{{\"name\":\"base\",\
             \"weights_mb\":65500,\"load_s\":0.6,\"adapters\":3000,\"adapter_mb\":80}}],\
             \"weights_mb\":68000,\"adapter_slots\":30,\"loads_per_s\":3.5}}}}"
        )
    }));
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":65536,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// What a case was told.
pub struct Setup {
    pub record: Record,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// Reads the path of the record and `TROUBLE`. What keeps the case from running stands in the record too.
fn setup(record: Option<String>) -> Result<Setup, String> {
    let path = PathBuf::from(record.ok_or("the path of the record is missing")?);
    let record = Record::create(&path)?;
    let checked = check();
    if let Err(problem) = &checked {
        record.note(&format!("could not run: {problem}"));
    }
    Ok(Setup {
        has_trouble: checked?,
        record,
    })
}

/// Returns whether the disruption takes place.
fn check() -> Result<bool, String> {
    let program = PathBuf::from("target/release/chervilshunt-on-platform");
    if !program.is_file() {
        return Err(format!("{} is missing: build it first", program.display()));
    }
    match std::env::var("TROUBLE").as_deref() {
        Ok("0") => Ok(false),
        Ok("1") | Err(_) => Ok(true),
        Ok(other) => Err(format!("TROUBLE is 0 or 1, not {other}")),
    }
}

/// Plays a case. What keeps it from running to its end stands in the record too.
pub fn play(
    record: Option<String>,
    case: fn(&Setup) -> Result<bool, String>,
) -> Result<bool, String> {
    let setup = setup(record)?;
    setup.record.note(if setup.has_trouble {
        "with the disruption"
    } else {
        "TROUBLE=0: without the disruption"
    });
    let result = case(&setup);
    setup.record.note(&match &result {
        Ok(true) => "the rule held".to_owned(),
        Ok(false) => "the rule was broken".to_owned(),
        Err(problem) => format!("could not run: {problem}"),
    });
    result
}
