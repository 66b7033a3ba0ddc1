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

/// Reads the folder of the case and `TROUBLE`.
pub fn setup(folder: Option<String>) -> Result<Setup, String> {
    let folder = PathBuf::from(folder.ok_or("the folder of the case is missing")?);
    if !folder.is_dir() {
        return Err(format!("{} is no folder", folder.display()));
    }
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let has_trouble = match trouble.as_str() {
        "0" => false,
        "1" => true,
        other => return Err(format!("TROUBLE is 0 or 1, not {other}")),
    };
    let program = PathBuf::from("target/release/chervilshunt-on-platform");
    if !program.is_file() {
        return Err(format!("{} is missing: build it first", program.display()));
    }
    Ok(Setup {
        record: Record::create(&folder.join("record.txt"))?,
        has_trouble,
    })
}
