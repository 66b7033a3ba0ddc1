//! Sends calls over HTTP, with rate limit, time limits, retries and metrics.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chervilshunt_core::Backoff;
use chervilshunt_model::{Moment, is_final_status};
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::capture_connection;
use tokio::time::timeout;

use crate::accounting::{count_attempt, count_held_back, count_retry};
use crate::answer::{lost, may_retry, timed_out};
use crate::call::Call;
use crate::clock::{now, sleep_until};
use crate::pacer::Pacer;
use crate::transport::{HttpClient, http_client};
use crate::{PlatformConfig, PlatformError, Timeouts};

/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Identifies the calling instance to the platform.
const INSTANCE_HEADER: &str = "x-instance";

/// Sends all calls of the process to the platform.
///
/// [`crate::Platform`] uses it for the object API. Services with a different API are called with
/// [`Call::custom`], under the same rate limit, time limits and metrics.
#[derive(Debug)]
pub struct Exchange {
    cfg: PlatformConfig,
    http: HttpClient,
    pacer: Pacer,
}

impl Exchange {
    /// Creates an exchange. It connects on the first call.
    pub fn new(cfg: PlatformConfig) -> Self {
        Self {
            http: http_client(cfg.timeouts.connect),
            pacer: Pacer::new(&cfg, now()),
            cfg,
        }
    }

    /// Returns the configuration.
    pub const fn config(&self) -> &PlatformConfig {
        &self.cfg
    }

    /// Makes a call, retrying it where that is safe, and returns the response body.
    ///
    /// # Errors
    /// Returns the error that the call's [`crate::FailureReader`] makes of an error response;
    /// `Unavailable`, `Timeout` or `OutcomeUnknown` if there is no response; and `RateLimited` if
    /// this process's rate limit leaves no time before the deadline.
    pub async fn call(&self, call: &Call, timeouts: Timeouts) -> Result<Bytes, PlatformError> {
        let response = self.call_for_response(call, timeouts).await?;
        Ok(response.into_body())
    }

    /// Makes a call like [`Exchange::call`] and returns the whole response, including its headers.
    ///
    /// # Errors
    /// Returns the same errors as [`Exchange::call`].
    pub async fn call_for_response(
        &self,
        call: &Call,
        timeouts: Timeouts,
    ) -> Result<Response<Bytes>, PlatformError> {
        let deadline = now() + timeouts.call;
        let mut backoff = Backoff::new(self.cfg.backoff);
        self.pacer.record_first_attempt();
        let mut attempts = 1;
        loop {
            let result = self
                .attempt(call, timeouts.attempt, deadline, async |response| {
                    read_response(call, response).await
                })
                .await;
            let err = match result {
                Err(err) if may_retry(&err) => err,
                result => return result,
            };
            let wait = backoff.next_wait(rand::random::<f64>);
            let wait = match &err {
                PlatformError::RateLimited {
                    retry_after: Some(at_least),
                    ..
                } => wait.max(*at_least),
                _ => wait,
            };
            let retry_at = now() + wait;
            if attempts >= timeouts.max_attempts || retry_at >= deadline {
                return Err(err);
            }
            let allowed = self.pacer.try_retry();
            count_retry(call.resource.purpose, allowed);
            if !allowed {
                return Err(err);
            }
            attempts += 1;
            sleep_until(retry_at).await;
        }
    }

    /// Makes one attempt of a call and returns the response body as a stream, which may be read
    /// without a time limit.
    pub(crate) async fn open(
        &self,
        call: &Call,
        timeouts: Timeouts,
    ) -> Result<Incoming, PlatformError> {
        let deadline = now() + timeouts.call;
        let response = self
            .attempt(call, timeouts.attempt, deadline, async |response| {
                Ok(response)
            })
            .await?;
        Ok(response.into_body())
    }

    /// Makes one attempt of a call within its time limit, after waiting for the rate limit.
    async fn attempt<T>(
        &self,
        call: &Call,
        limit: Duration,
        deadline: Moment,
        read: impl AsyncFnOnce(Response<Incoming>) -> Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        let purpose = call.resource.purpose;
        if let Err(retry_after) = self.pacer.acquire(call.urgency(), deadline).await {
            count_held_back(purpose);
            return Err(PlatformError::RateLimited {
                call: Arc::clone(&call.label),
                retry_after,
            });
        }
        let started_at = Instant::now();
        let limit = limit.min(now().until(deadline));
        let result = self.send(call, limit, read).await;
        count_attempt(
            purpose,
            call.verb,
            result.as_ref().map(|_| ()),
            started_at.elapsed(),
        );
        result
    }

    async fn send<T>(
        &self,
        call: &Call,
        limit: Duration,
        read: impl AsyncFnOnce(Response<Incoming>) -> Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        let mut req = self.request(call)?;
        let connection = capture_connection(&mut req);
        let exchange = async {
            let sent = self.http.request(req).await;
            let response = sent.map_err(|err| match err.is_connect() {
                true => call.unavailable(&err.to_string()),
                false => lost(&call.label, call.verb, err.to_string()),
            })?;
            let status = response.status();
            if !is_final_status(status.as_u16()) {
                let cause = format!("the response has the status {status}, which is none");
                return Err(lost(&call.label, call.verb, cause));
            }
            if status.is_success() {
                return read(response).await;
            }
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map(|body| body.to_bytes()).unwrap_or_default();
            Err((call.failure)(
                &call.label,
                call.verb,
                head.status,
                &head.headers,
                &body,
            ))
        };
        match timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_elapsed) if connection.connection_metadata().is_none() => {
                Err(call.unavailable("no connection within the time limit"))
            }
            Err(_elapsed) => Err(timed_out(&call.label, call.verb)),
        }
    }

    fn request(&self, call: &Call) -> Result<Request<Full<Bytes>>, PlatformError> {
        let cfg = &self.cfg;
        let mut req = Request::builder()
            .method(call.method())
            .uri(format!("http://{}{}", cfg.address, call.path))
            .header(header::ACCEPT, call.accept)
            .header(INSTANCE_HEADER, cfg.instance.as_str());
        if !call.body.is_empty() {
            req = req.header(header::CONTENT_TYPE, "application/json");
        }
        req.body(Full::new(call.body.clone()))
            .map_err(|err| call.invalid(&err.to_string()))
    }
}

async fn read_response(
    call: &Call,
    response: Response<Incoming>,
) -> Result<Response<Bytes>, PlatformError> {
    let (head, body) = response.into_parts();
    match Limited::new(body, MAX_RESPONSE_BYTES).collect().await {
        Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
        Err(err) => Err(lost(&call.label, call.verb, err.to_string())),
    }
}
