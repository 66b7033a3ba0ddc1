//! EndpointSlices as the object API has them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The label that names the service of a slice.
pub const SERVICE_LABEL: &str = "kubernetes.io/service-name";

/// What a slice holds beside its metadata.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EndpointSlice {
    /// The kind of all its addresses, `IPv4` or `IPv6`.
    pub address_type: Arc<str>,
    /// Its endpoints.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
    /// The ports of each of its endpoints.
    #[serde(default)]
    pub ports: Vec<EndpointPort>,
}

/// One endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Endpoint {
    /// Its addresses, of which the first counts.
    pub addresses: Vec<Arc<str>>,
    /// Whether it serves.
    #[serde(default)]
    pub conditions: EndpointConditions,
    /// What it is an endpoint of.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_ref: Option<TargetRef>,
    /// The availability zone that it stands in.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Arc<str>>,
}

/// Whether an endpoint serves; what is left out is as Kubernetes has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointConditions {
    /// Whether it takes new work; left out, it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready: Option<bool>,
    /// Whether it answers; left out, as `ready`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub serving: Option<bool>,
    /// Whether it is about to leave; left out, it is not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub terminating: Option<bool>,
}

/// What an endpoint stands for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRef {
    /// Its kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<Arc<str>>,
    /// The name of the instance or target.
    pub name: Arc<str>,
}

/// A port of all endpoints of a slice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointPort {
    /// Its name.
    #[serde(default)]
    pub name: Arc<str>,
    /// Its number.
    pub port: u16,
}
