//! EndpointSlices in the format of the object API.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The label that holds the name of a slice's service.
pub const SERVICE_LABEL: &str = "kubernetes.io/service-name";

/// The content of a slice, without its metadata.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EndpointSlice {
    /// The type of all addresses in the slice, `IPv4` or `IPv6`.
    pub address_type: Arc<str>,
    /// The endpoints in the slice.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
    /// The ports, which are the same for all endpoints in the slice.
    #[serde(default)]
    pub ports: Vec<EndpointPort>,
}

/// One endpoint of a slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Endpoint {
    /// The addresses of the endpoint. Only the first is used.
    pub addresses: Vec<Arc<str>>,
    /// The readiness of the endpoint.
    #[serde(default)]
    pub conditions: EndpointConditions,
    /// The instance or target behind the endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_ref: Option<TargetRef>,
    /// The availability zone of the endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Arc<str>>,
}

/// The conditions of an endpoint. Missing values have the defaults that Kubernetes defines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointConditions {
    /// Whether the endpoint accepts new work. Defaults to `true`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready: Option<bool>,
    /// Whether the endpoint responds to requests. Defaults to `ready`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub serving: Option<bool>,
    /// Whether the endpoint is shutting down. Defaults to `false`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub terminating: Option<bool>,
}

/// A reference to the instance or target behind an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRef {
    /// The kind of the referenced object.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<Arc<str>>,
    /// The name of the instance or target.
    pub name: Arc<str>,
}

/// A port shared by all endpoints of a slice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointPort {
    /// The name of the port.
    #[serde(default)]
    pub name: Arc<str>,
    /// The port number.
    pub port: u16,
}
