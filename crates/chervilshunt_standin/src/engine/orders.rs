//! Handlers for load and unload orders, and the list of loaded models.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;

use super::routes::{error, read_json};
use super::slots::{LoadTicket, SlotRefusal};
use super::state::Engine;
use crate::serve::{self, Answer, AnswerBody, Cut};
use crate::weights;

const FENCING_TOKEN: &str = "x-fencing-token";

/// The body of a load order.
#[derive(Debug, Deserialize)]
struct LoadBody {
    lora_name: Arc<str>,
    lora_path: Arc<str>,
}

/// The body of an unload order.
#[derive(Debug, Deserialize)]
struct UnloadBody {
    lora_name: Arc<str>,
}

/// Loads an adapter into a free slot, unless the order is fenced off or no slot is free.
pub(crate) async fn load(engine: Arc<Engine>, req: Request<Incoming>) -> Answer {
    let headers = req.headers().clone();
    engine.lock().meter.count.load_orders += 1;
    if let Some(refusal) = refuse_fencing(&engine, &headers) {
        return Ok(refusal);
    }
    let body = match read_json::<LoadBody>(req).await? {
        Ok(body) => body,
        Err(refusal) => return Ok(refusal),
    };
    let reserved = engine.lock().slots.reserve(&body.lora_name);
    let ticket = match reserved {
        Ok(ticket) => ticket,
        Err(refusal) => return Ok(refuse_slot(refusal, &body.lora_name)),
    };
    // The load continues if the client that ordered it disconnects.
    let loading = tokio::spawn(carry_out_load(Arc::clone(&engine), ticket, body.lora_path));
    let loaded = loading.await.unwrap_or(false);
    let response = if loaded {
        let message = format!(
            "Success: LoRA adapter '{}' added successfully.",
            body.lora_name
        );
        serve::text(StatusCode::OK, message)
    } else {
        let message = format!("Loading lora {} failed", body.lora_name);
        error(
            StatusCode::INTERNAL_SERVER_ERROR,
            "InternalServerError",
            &message,
        )
    };
    finish_order(&engine, &headers, response).await
}

async fn carry_out_load(engine: Arc<Engine>, ticket: LoadTicket, source: Arc<str>) -> bool {
    let (slow, fails) = {
        let mut state = engine.lock();
        let share = state.faults.load_fails;
        (state.faults.load_slow, state.chance(share))
    };
    tokio::time::sleep(slow).await;
    let fetched = match engine.cfg.weights {
        Some(store) => weights::fetch(store, &source).await,
        None => {
            tokio::time::sleep(engine.cfg.load_time).await;
            true
        }
    };
    let mut state = engine.lock();
    let loaded = state.slots.finish_load(ticket, fetched && !fails);
    state.meter.count.loads += u64::from(loaded);
    state.meter.count.failed_loads += u64::from(!loaded);
    loaded
}

/// Unloads an adapter even while it serves a running sequence, as vLLM does.
pub(crate) async fn unload(engine: &Engine, req: Request<Incoming>) -> Answer {
    let headers = req.headers().clone();
    engine.lock().meter.count.unload_orders += 1;
    if let Some(refusal) = refuse_fencing(engine, &headers) {
        return Ok(refusal);
    }
    let body = match read_json::<UnloadBody>(req).await? {
        Ok(body) => body,
        Err(refusal) => return Ok(refusal),
    };
    let response = carry_out_unload(engine, &body.lora_name);
    finish_order(engine, &headers, response).await
}

fn carry_out_unload(engine: &Engine, adapter: &Arc<str>) -> Response<AnswerBody> {
    let mut state = engine.lock();
    if state.faults.refuse_unload {
        let message = "unload refused by the stand-in's refuse_unload fault";
        return error(
            StatusCode::INTERNAL_SERVER_ERROR,
            "InternalServerError",
            message,
        );
    }
    if !state.slots.unload(adapter) {
        let message = format!("The lora adapter '{adapter}' cannot be found.");
        return error(StatusCode::NOT_FOUND, "NotFoundError", &message);
    }
    let serving = state.batch.running_models().any(|model| model == adapter);
    state.meter.count.unloads += 1;
    state.meter.count.unloads_while_serving += u64::from(serving);
    let message = format!("Success: LoRA adapter '{adapter}' removed successfully.");
    serve::text(StatusCode::OK, message)
}

/// Lists the base model and all loaded adapters.
pub(crate) fn models(engine: &Engine) -> Response<AnswerBody> {
    let base = &*engine.cfg.base_model;
    let state = engine.lock();
    let adapters = state.slots.loaded().iter().map(
        |name| json!({"id": &**name, "object": "model", "created": 0, "root": &**name, "parent": base}),
    );
    let first = json!({"id": base, "object": "model", "created": 0, "root": base, "parent": null});
    let data: Vec<_> = std::iter::once(first).chain(adapters).collect();
    serve::json(StatusCode::OK, &json!({"object": "list", "data": data}))
}

/// Refuses an order whose fencing number is lower than the highest one seen so far; otherwise
/// stores its number as the highest.
fn refuse_fencing(engine: &Engine, headers: &HeaderMap) -> Option<Response<AnswerBody>> {
    let token = headers
        .get(FENCING_TOKEN)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok())
        .unwrap_or(0);
    let mut state = engine.lock();
    let highest = state.highest_fencing;
    let checks = engine.cfg.checks_fencing && !state.faults.ignore_fencing;
    if token < highest {
        state.meter.count.stale_orders += 1;
        state.meter.count.fenced_orders += u64::from(checks);
        let message = format!("fencing token {token} is older than {highest}");
        return checks.then(|| error(StatusCode::PRECONDITION_FAILED, "Fenced", &message));
    }
    state.highest_fencing = token;
    None
}

fn refuse_slot(refusal: SlotRefusal, adapter: &Arc<str>) -> Response<AnswerBody> {
    let message = match refusal {
        SlotRefusal::Present => {
            format!("The lora adapter '{adapter}' has already been loaded.")
        }
        SlotRefusal::Full => "No free slot for a lora adapter.".to_owned(),
    };
    error(StatusCode::BAD_REQUEST, "InvalidUserInput", &message)
}

async fn finish_order(
    engine: &Engine,
    headers: &HeaderMap,
    response: Response<AnswerBody>,
) -> Answer {
    let (late, lost): (Duration, bool) = {
        let state = engine.lock();
        (state.faults.answer_late, state.faults.lose_order_answers)
    };
    tokio::time::sleep(late).await;
    if lost {
        return Err(Cut);
    }
    Ok(serve::echo_ids(headers, response))
}
