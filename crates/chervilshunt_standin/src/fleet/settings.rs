//! Writes the settings files of instances.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::{Map, Value, json};
use snafu::ResultExt as _;

use super::error::{FileSnafu, FleetError};

/// The settings of one instance.
#[derive(Debug)]
pub(crate) struct InstanceSettings<'a> {
    pub(crate) id: &'a str,
    pub(crate) zone: &'a str,
    pub(crate) region: &'a str,
    pub(crate) platform: SocketAddr,
    pub(crate) namespace: &'a str,
    /// The address to advertise to peers, if it differs from the listening address.
    pub(crate) advertise: Option<SocketAddr>,
    /// Additional settings in the format of the file. They override the generated ones.
    pub(crate) extra: &'a Value,
}

impl InstanceSettings<'_> {
    /// Writes the settings file and returns its path.
    pub(crate) fn write(&self, folder: &Path) -> Result<PathBuf, FleetError> {
        let path = folder.join(format!("{}.json", self.id));
        std::fs::write(&path, format!("{:#}\n", self.json())).context(FileSnafu { path: &path })?;
        Ok(path)
    }

    fn json(&self) -> Value {
        let any_port = "127.0.0.1:0";
        let mut settings = json!({
            "instance": {"id": self.id, "zone": self.zone, "region": self.region},
            "addresses": {"callers": any_port, "peers": any_port, "operators": any_port},
            "platform": {"address": self.platform, "namespace": self.namespace},
        });
        if let Some(peers) = self.advertise {
            merge(&mut settings, &json!({"advertise": {"peers": peers}}));
        }
        merge(&mut settings, self.extra);
        settings
    }
}

/// Merges `patch` into `value` recursively. Values of `patch` take precedence.
fn merge(value: &mut Value, patch: &Value) {
    let Value::Object(patch) = patch else {
        *value = patch.clone();
        return;
    };
    if !value.is_object() {
        *value = Value::Object(Map::new());
    }
    if let Value::Object(fields) = value {
        for (key, patch) in patch {
            merge(fields.entry(key.clone()).or_insert(Value::Null), patch);
        }
    }
}
