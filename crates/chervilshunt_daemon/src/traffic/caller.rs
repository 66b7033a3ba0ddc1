//! One caller's request, understood: what it asks for and how long it may take.

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

/// A request that may be sent to a target.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// The request's id.
    pub(crate) id: RequestId,
    /// The unit of fairness.
    pub(crate) caller: CallerName,
    /// Whether it has to be prompt.
    pub(crate) class: Class,
    /// The weight of its priority.
    pub(crate) weight: u32,
    /// When it arrived.
    pub(crate) arrived: Moment,
    /// When it has failed.
    pub(crate) deadline: Moment,
    /// Its idempotency key.
    pub(crate) key: Option<String>,
    /// Whether it may be sent again after it may have run.
    pub(crate) idempotent: bool,
    /// The service whose targets can answer it.
    pub(crate) service: ServiceName,
    /// The adapter version that has to answer it.
    pub(crate) model: Option<AdapterVersion>,
    /// The model's name as the engine knows it; none for a plain service.
    pub(crate) engine_model: Option<String>,
    /// Estimated length of the prompt, in tokens.
    pub(crate) prompt_tokens: u32,
    /// The most tokens that may be generated.
    pub(crate) max_tokens: u32,
    /// A hash of the start of the prompt.
    pub(crate) prefix: u64,
    /// Whether the answer is to be a stream of events.
    pub(crate) stream: bool,
    /// The method of the call.
    pub(crate) method: Method,
    /// Path and query of the call to the target.
    pub(crate) path: PathAndQuery,
    /// Headers of the call to the target.
    pub(crate) headers: HeaderMap,
    /// The body of the call to the target.
    pub(crate) body: Bytes,
}

/// What the front has read of a request, beside its body.
#[derive(Debug)]
pub(crate) struct Head {
    /// The headers of ours.
    pub(crate) ours: RequestHeaders,
    /// The address of the caller, or of the balancer before it.
    pub(crate) peer: SocketAddr,
    /// When the request arrived.
    pub(crate) arrived: Moment,
    /// The method.
    pub(crate) method: Method,
    /// The path on the target with its query.
    pub(crate) path: PathAndQuery,
    /// The headers that go on to the target.
    pub(crate) forwarded: HeaderMap,
}

impl CallerRequest {
    /// Understands a completion.
    ///
    /// # Errors
    /// Fails if the body can't be read or names a model that does not exist.
    pub(crate) fn completion(
        head: Head,
        body: &[u8],
        deployment: &Deployment,
    ) -> Result<Self, Problem> {
        let completion = Completion::parse(body)?;
        let named = named_model(&completion.model, deployment)?;
        let service = engine_service(&named.service, deployment)?;
        let (class, weight) = class_and_weight(
            &head,
            named.priority.as_ref().unwrap_or(&service.priority),
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
            service: named.service,
            model: named.model,
            engine_model: Some(completion.model.clone()),
            prompt_tokens: completion.prompt_tokens,
            max_tokens: completion.max_tokens,
            prefix: completion.prefix,
            stream: completion.stream,
            method: head.method,
            path: head.path,
            headers,
            body: completion.into_engine_body(class),
            id: head.ours.id,
            key: head.ours.key,
        })
    }

    /// Understands a call to a plain service.
    ///
    /// # Errors
    /// Fails if there is no such plain service.
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
                    format!("{name} is a service of engines; call it at /v1/completions"),
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
            id: head.ours.id,
            key: head.ours.key,
        })
    }

    /// Returns the time left until the deadline.
    pub(crate) fn left(&self, now: Moment) -> Duration {
        now.until(self.deadline)
    }
}

/// The service and priority behind a model's name.
struct Named {
    service: ServiceName,
    model: Option<AdapterVersion>,
    priority: Option<PriorityName>,
}

fn named_model(model: &str, deployment: &Deployment) -> Result<Named, Problem> {
    let base = deployment
        .services
        .iter()
        .find(|(_, service)| match &service.kind {
            ServiceKind::Engine { base_model } => **base_model == *model,
            ServiceKind::Plain => false,
        });
    if let Some((service, _)) = base {
        return Ok(Named {
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
    Ok(Named {
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
        .ours
        .class
        .or(priority.map(|priority| priority.class))
        .unwrap_or(Class::Live);
    (class, priority.map_or(1, |priority| priority.weight))
}

fn caller_name(head: &Head) -> CallerName {
    let given = head.ours.caller.clone();
    given.unwrap_or_else(|| CallerName::new(head.peer.ip().to_string()))
}

fn deadline(head: &Head, service: &Service) -> Moment {
    let default = Duration::from_millis(service.deadline_ms);
    head.arrived + head.ours.deadline.unwrap_or(default)
}
