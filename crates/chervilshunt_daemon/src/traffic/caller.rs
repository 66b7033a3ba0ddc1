//! A caller's request after parsing and routing: its model or service, class, and deadline.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_model::{
    AdapterVersion, CallerName, Class, Deployment, Moment, PriorityName, RequestId, Service,
    ServiceKind, ServiceName,
};
use http::uri::PathAndQuery;
use http::{HeaderMap, Method};

use super::completion::Completion;
use super::headers::RequestHeaders;
use super::problem::{Problem, Reason};

/// A validated request that can be sent to a target.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// The id of the request.
    pub(crate) id: RequestId,
    /// The caller, between whom fair queueing divides capacity.
    pub(crate) caller: CallerName,
    /// Whether the request is live or deferrable.
    pub(crate) class: Class,
    /// The weight of the request's priority.
    pub(crate) weight: u32,
    /// When the request arrived.
    pub(crate) arrived: Moment,
    /// The time after which the request counts as failed.
    pub(crate) deadline: Moment,
    /// The idempotency key, if the caller sent one.
    pub(crate) key: Option<String>,
    /// Whether the request may be retried after an attempt that may have run.
    pub(crate) idempotent: bool,
    /// The service whose targets can serve the request.
    pub(crate) service: ServiceName,
    /// The adapter version that must serve the request; none for the base model or a plain service.
    pub(crate) model: Option<AdapterVersion>,
    /// The model name that is sent to the engine; none for a plain service.
    pub(crate) engine_model: Option<String>,
    /// The estimated length of the prompt, in tokens.
    pub(crate) prompt_tokens: u32,
    /// The maximum number of tokens to generate.
    pub(crate) max_tokens: u32,
    /// A hash of the start of the prompt.
    pub(crate) prefix: u64,
    /// Whether the caller asked for a stream of server-sent events.
    pub(crate) stream: bool,
    /// The HTTP method of the call to the target.
    pub(crate) method: Method,
    /// The path and query of the call to the target.
    pub(crate) path: PathAndQuery,
    /// The headers of the call to the target.
    pub(crate) headers: HeaderMap,
    /// The body of the call to the target.
    pub(crate) body: Bytes,
}

/// Everything that is known of a request except its body.
#[derive(Debug)]
pub(crate) struct Head {
    /// The headers that this system defines or interprets.
    pub(crate) parsed: RequestHeaders,
    /// The peer address of the connection: the caller's, or that of a load balancer in front of it.
    pub(crate) peer: SocketAddr,
    /// When the request arrived.
    pub(crate) arrived: Moment,
    /// The HTTP method.
    pub(crate) method: Method,
    /// The path and query on the target.
    pub(crate) path: PathAndQuery,
    /// The headers that are forwarded to the target.
    pub(crate) forwarded: HeaderMap,
}

impl CallerRequest {
    /// Parses a completion request.
    ///
    /// # Errors
    /// Returns a problem if the body can't be parsed or names a model that does not exist.
    pub(crate) fn completion(
        head: Head,
        body: &[u8],
        deployment: &Deployment,
    ) -> Result<Self, Problem> {
        let completion = Completion::parse(body)?;
        let resolved = resolve_model(&completion.model, deployment)?;
        let service = engine_service(&resolved.service, deployment)?;
        let (class, weight) = class_and_weight(
            &head,
            resolved.priority.as_ref().unwrap_or(&service.priority),
            deployment,
        );
        let mut headers = HeaderMap::new();
        headers.insert(
            http::header::CONTENT_TYPE,
            http::HeaderValue::from_static("application/json"),
        );
        Ok(Self {
            class,
            weight,
            caller: caller_name(&head),
            arrived: head.arrived,
            deadline: deadline(&head, service),
            idempotent: service.idempotent,
            service: resolved.service,
            model: resolved.model,
            engine_model: Some(completion.model.clone()),
            prompt_tokens: completion.prompt_tokens,
            max_tokens: completion.max_tokens,
            prefix: completion.prefix,
            stream: completion.stream,
            method: head.method,
            path: head.path,
            headers,
            body: completion.into_engine_body(class),
            id: head.parsed.id,
            key: head.parsed.key,
        })
    }

    /// Builds the request for a call to a plain service.
    ///
    /// # Errors
    /// Returns a problem if there is no plain service of that name.
    pub(crate) fn plain(
        head: Head,
        body: Bytes,
        service_name: &str,
        deployment: &Deployment,
    ) -> Result<Self, Problem> {
        let Some((name, service)) = deployment.services.get_key_value(service_name) else {
            return Err(unknown_service(service_name));
        };
        match &service.kind {
            ServiceKind::Plain => {}
            ServiceKind::Engine { .. } => {
                return Err(Problem::not_run(
                    Reason::UnknownService,
                    format!("{name} is an engine service; call it at /v1/completions"),
                ));
            }
        }
        let (class, weight) = class_and_weight(&head, &service.priority, deployment);
        // RFC 9110, section 9.2.2: these methods are idempotent by definition.
        let by_method = head.method.is_idempotent();
        Ok(Self {
            class,
            weight,
            caller: caller_name(&head),
            arrived: head.arrived,
            deadline: deadline(&head, service),
            idempotent: by_method || service.idempotent,
            service: name.clone(),
            model: None,
            engine_model: None,
            prompt_tokens: 0,
            max_tokens: 0,
            prefix: 0,
            stream: false,
            method: head.method,
            path: head.path,
            headers: head.forwarded,
            body,
            id: head.parsed.id,
            key: head.parsed.key,
        })
    }

    /// Returns the time that is left until the deadline.
    pub(crate) fn time_left(&self, now: Moment) -> Duration {
        now.until(self.deadline)
    }
}

/// The service, adapter version and priority that a model name refers to.
struct ResolvedModel {
    service: ServiceName,
    model: Option<AdapterVersion>,
    priority: Option<PriorityName>,
}

fn resolve_model(model: &str, deployment: &Deployment) -> Result<ResolvedModel, Problem> {
    let base = deployment
        .services
        .iter()
        .find(|(_, service)| match &service.kind {
            ServiceKind::Engine { base_model } => **base_model == *model,
            ServiceKind::Plain => false,
        });
    if let Some((service, _)) = base {
        return Ok(ResolvedModel {
            service: service.clone(),
            model: None,
            priority: None,
        });
    }
    let named = AdapterVersion::parse(model)
        .map_err(|error| Problem::not_run(Reason::BadRequest, error.to_string()))?;
    let Some(adapter) = deployment.adapters.get(&named.adapter) else {
        let detail = format!("there is no adapter {}", named.adapter);
        return Err(Problem::not_run(Reason::UnknownModel, detail));
    };
    if !adapter.versions.contains_key(&named.version) {
        let detail = format!(
            "the adapter {} has no version {}",
            named.adapter, named.version
        );
        return Err(Problem::not_run(Reason::UnknownModel, detail));
    }
    Ok(ResolvedModel {
        service: adapter.service.clone(),
        model: Some(named),
        priority: adapter.priority.clone(),
    })
}

fn engine_service<'a>(
    name: &ServiceName,
    deployment: &'a Deployment,
) -> Result<&'a Service, Problem> {
    deployment
        .services
        .get(name)
        .ok_or_else(|| unknown_service(name.as_str()))
}

fn unknown_service(name: &str) -> Problem {
    Problem::not_run(
        Reason::UnknownService,
        format!("there is no service {name}"),
    )
}

fn class_and_weight(head: &Head, default: &PriorityName, deployment: &Deployment) -> (Class, u32) {
    let priority = deployment.priorities.get(default);
    let class = head
        .parsed
        .class
        .or(priority.map(|priority| priority.class))
        .unwrap_or(Class::Live);
    (class, priority.map_or(1, |priority| priority.weight))
}

fn caller_name(head: &Head) -> CallerName {
    let given = head.parsed.caller.clone();
    given.unwrap_or_else(|| CallerName::new(head.peer.ip().to_string()))
}

fn deadline(head: &Head, service: &Service) -> Moment {
    let default = Duration::from_millis(service.deadline_ms);
    head.arrived + head.parsed.deadline.unwrap_or(default)
}
