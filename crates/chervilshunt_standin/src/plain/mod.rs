//! A stand-in for a plain HTTP service: it accepts any call and counts how often each request ran.

mod command;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

pub use command::run;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::RunRecord;
use crate::command::Addresses;
use crate::runs::Runs;
use crate::serve::{self, Answer, Cut, Port, REQUEST_ID, header_text};

/// Configuration of a plain-service stand-in.
#[derive(Clone, Debug)]
pub struct PlainStandinConfig {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Address that serves `/standin/…` even while connections to the main address are refused.
    pub control: SocketAddr,
    /// Duration of each call.
    pub delay: Duration,
}

impl Default for PlainStandinConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            delay: Duration::from_millis(5),
        }
    }
}

/// A partial update of the fault switches; absent fields leave their switch unchanged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlainFaultChange {
    /// Refuses new connections and closes the existing ones.
    pub down: Option<bool>,
    /// Refuses connections for this many milliseconds, then accepts them again.
    pub down_ms: Option<u64>,
    /// Added to the duration of each call, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Leaves calls unanswered until it is switched off.
    pub freeze: Option<bool>,
    /// Runs this many calls and closes the connection instead of responding.
    pub lose_answers: Option<u32>,
    /// Closes the connection of this many calls before they run.
    pub cut_before_run: Option<u32>,
    /// Sends responses without a length or chunks; they end with their connection.
    pub unframed: Option<bool>,
    /// Closes the connection half-way through the response body of this many calls.
    pub cut_answers: Option<u32>,
    /// Responds to this many calls with 503 and `Retry-After: 1`, without running them.
    pub refuse: Option<u32>,
}

/// Counters of a plain-service stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainStats {
    /// Calls received.
    pub calls: u64,
    /// Calls executed.
    pub runs: u64,
    /// Executed calls whose response was lost or truncated.
    pub lost_answers: u64,
    /// Calls that were refused or cut off before they ran.
    pub not_run: u64,
}

/// A running plain-service stand-in; it serves until the runtime shuts down.
#[derive(Clone, Debug)]
pub struct PlainStandin {
    /// Address of the service.
    pub address: SocketAddr,
    /// Address that serves `/standin/…` even while connections to the main address are refused.
    pub control: SocketAddr,
    service: Arc<Service>,
}

impl PlainStandin {
    pub(crate) fn addresses(&self) -> Addresses {
        Addresses {
            main: self.address,
            control: self.control,
        }
    }

    /// Updates the fault switches, as `POST /standin/faults` does.
    pub fn set_faults(&self, change: &PlainFaultChange) {
        self.service.set_faults(change);
    }

    /// Returns the run record of the requests with this id.
    pub fn runs(&self, request_id: &str) -> RunRecord {
        self.service.runs.get(request_id)
    }

    /// Returns the counters, as `GET /standin/stats` does.
    pub fn stats(&self) -> PlainStats {
        self.service.lock().stats
    }
}

/// Starts a plain-service stand-in on the current Tokio runtime.
///
/// # Errors
/// Fails if one of its addresses cannot be bound.
pub async fn start_plain(cfg: PlainStandinConfig) -> io::Result<PlainStandin> {
    let port = Port::new();
    let (listen, control) = (cfg.listen, cfg.control);
    let service = Arc::new(Service {
        cfg,
        port: port.clone(),
        runs: Runs::default(),
        state: Mutex::default(),
    });
    let shared = Arc::clone(&service);
    let opened = serve::listen(listen, control, port, move |req| {
        answer(Arc::clone(&shared), req)
    })
    .await?;
    Ok(PlainStandin {
        address: opened.main,
        control: opened.control,
        service,
    })
}

#[derive(Debug)]
struct Service {
    cfg: PlainStandinConfig,
    port: Port,
    runs: Runs,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    stats: PlainStats,
    slow: Duration,
    lose_answers: u32,
    cut_before_run: u32,
    cut_answers: u32,
    refuse: u32,
}

/// The effect of the current faults on one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultEffect {
    Answered,
    CutBeforeRun,
    Refused,
    AnswerLost,
    AnswerCut,
}

impl State {
    fn decide(&mut self) -> FaultEffect {
        let switches = [
            (&mut self.cut_before_run, FaultEffect::CutBeforeRun),
            (&mut self.refuse, FaultEffect::Refused),
            (&mut self.lose_answers, FaultEffect::AnswerLost),
            (&mut self.cut_answers, FaultEffect::AnswerCut),
        ];
        for (left, effect) in switches {
            if *left > 0 {
                *left -= 1;
                return effect;
            }
        }
        FaultEffect::Answered
    }
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(self: &Arc<Self>, change: &PlainFaultChange) {
        let mut state = self.lock();
        state.slow = change.slow_ms.map_or(state.slow, Duration::from_millis);
        state.lose_answers = change.lose_answers.unwrap_or(state.lose_answers);
        state.cut_before_run = change.cut_before_run.unwrap_or(state.cut_before_run);
        state.cut_answers = change.cut_answers.unwrap_or(state.cut_answers);
        state.refuse = change.refuse.unwrap_or(state.refuse);
        drop(state);
        self.port.change(change.freeze, change.down, change.down_ms);
        self.port.set_unframed(change.unframed);
    }
}

async fn answer(service: Arc<Service>, req: Request<Incoming>) -> Answer {
    if req.uri().path().starts_with(serve::CONTROL_PREFIX) {
        return answer_control(&service, req).await;
    }
    service.port.until_unfrozen().await;
    let effect = {
        let mut state = service.lock();
        state.stats.calls += 1;
        let effect = state.decide();
        state.stats.not_run += u64::from(matches!(
            effect,
            FaultEffect::CutBeforeRun | FaultEffect::Refused
        ));
        effect
    };
    if effect == FaultEffect::CutBeforeRun {
        return Err(Cut);
    }
    run_call(&service, req, effect).await
}

async fn run_call(service: &Service, req: Request<Incoming>, effect: FaultEffect) -> Answer {
    let (parts, body) = req.into_parts();
    let Ok(body) = body.collect().await else {
        return Err(Cut);
    };
    if effect == FaultEffect::Refused {
        let mut response = serve::text(StatusCode::SERVICE_UNAVAILABLE, "busy");
        let seconds = http::HeaderValue::from_static("1");
        response.headers_mut().insert("retry-after", seconds);
        return Ok(response);
    }
    let request_id: Arc<str> = header_text(&parts.headers, &REQUEST_ID).into();
    let slow = {
        let mut state = service.lock();
        state.stats.runs += 1;
        state.stats.lost_answers += u64::from(effect != FaultEffect::Answered);
        state.slow
    };
    service.runs.begin(&request_id);
    tokio::time::sleep(service.cfg.delay + slow).await;
    let text = json!({
        "method": parts.method.as_str(),
        "path": parts.uri.path_and_query().map(http::uri::PathAndQuery::as_str),
        "request": &*request_id,
        "runs": service.runs.get(&request_id).runs,
        "body": String::from_utf8_lossy(&body.to_bytes()),
    });
    match effect {
        FaultEffect::AnswerLost => Err(Cut),
        FaultEffect::AnswerCut => Ok(serve::cut_halfway(&text.to_string())),
        FaultEffect::Answered | FaultEffect::CutBeforeRun | FaultEffect::Refused => {
            let response = serve::json(StatusCode::OK, &text);
            Ok(serve::echo_ids(&parts.headers, response))
        }
    }
}

async fn answer_control(service: &Arc<Service>, req: Request<Incoming>) -> Answer {
    match (req.method(), req.uri().path()) {
        (&Method::POST, "/standin/faults") => {
            let change = match serve::read_faults::<PlainFaultChange>(req).await? {
                Ok(change) => change,
                Err(refusal) => return Ok(refusal),
            };
            service.set_faults(&change);
            Ok(serve::json(StatusCode::OK, &json!({})))
        }
        (&Method::GET, "/standin/runs") => Ok(serve::json(StatusCode::OK, &service.runs.all())),
        (&Method::GET, "/standin/stats") => {
            let stats = service.lock().stats;
            Ok(serve::json(StatusCode::OK, &stats))
        }
        _ => Ok(serve::text(StatusCode::NOT_FOUND, "no such path")),
    }
}
