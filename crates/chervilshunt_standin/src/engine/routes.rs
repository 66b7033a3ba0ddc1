//! Request routing of the engine stand-in.

use std::sync::Arc;

use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::state::Engine;
use super::{EngineFaultChange, cache, completion, orders, reports};
use crate::serve::{self, Answer, AnswerBody, Cut};

/// Routes one request to its handler.
pub(crate) async fn answer(engine: Arc<Engine>, req: Request<Incoming>) -> Answer {
    if req.uri().path().starts_with(serve::CONTROL_PREFIX) {
        return answer_control(&engine, req).await;
    }
    engine.port.until_unfrozen().await;
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::POST, "/v1/completions") => {
            completion::answer(&engine, req, completion::Style::Text).await
        }
        (&Method::POST, "/v1/chat/completions") => {
            completion::answer(&engine, req, completion::Style::Chat).await
        }
        (&Method::POST, "/v1/load_lora_adapter") => orders::load(engine, req).await,
        (&Method::POST, "/v1/unload_lora_adapter") => orders::unload(&engine, req).await,
        (&Method::GET, "/v1/models") => Ok(orders::models(&engine)),
        (&Method::GET, "/metrics") => Ok(reports::metrics(&engine)),
        (&Method::GET, "/v1/cache_events") => Ok(cache::cache_events(&engine, req.uri())),
        (&Method::GET, "/health") => Ok(serve::text(StatusCode::OK, "")),
        _ => Ok(serve::json(
            StatusCode::NOT_FOUND,
            &json!({"detail": "Not Found"}),
        )),
    }
}

async fn answer_control(engine: &Arc<Engine>, req: Request<Incoming>) -> Answer {
    match (req.method(), req.uri().path()) {
        (&Method::POST, "/standin/faults") => {
            match serve::read_faults::<EngineFaultChange>(req).await? {
                Ok(change) => {
                    engine.set_faults(&change);
                    Ok(serve::json(StatusCode::OK, &json!({})))
                }
                Err(refusal) => Ok(refusal),
            }
        }
        (&Method::GET, "/standin/runs") => Ok(serve::json(StatusCode::OK, &engine.runs.all())),
        (&Method::GET, "/standin/stats") => Ok(serve::json(StatusCode::OK, &engine.stats())),
        (&Method::GET, "/standin/power") => {
            Ok(serve::json(StatusCode::OK, &engine.power_changes()))
        }
        _ => Ok(serve::text(StatusCode::NOT_FOUND, "no such path")),
    }
}

/// Reads a JSON request body. A malformed body yields the error response that vLLM would send.
pub(crate) async fn read_json<T: DeserializeOwned>(
    req: Request<Incoming>,
) -> Result<Result<T, Response<AnswerBody>>, Cut> {
    let Ok(body) = req.into_body().collect().await else {
        return Err(Cut);
    };
    Ok(serde_json::from_slice(&body.to_bytes())
        .map_err(|err| error(StatusCode::BAD_REQUEST, "BadRequestError", &err.to_string())))
}

/// Returns an error response in the format of OpenAI's API.
pub(crate) fn error(status: StatusCode, kind: &str, message: &str) -> Response<AnswerBody> {
    let body = json!({
        "error": {"message": message, "type": kind, "param": null, "code": status.as_u16()}
    });
    serve::json(status, &body)
}
