//! Answers of the object API, errors among them.

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use serde_json::json;

use super::path::Collection;
use super::store::{Page, StoreError};

/// The body of every answer; an error in it breaks the connection off.
pub(crate) type AnswerBody = BoxBody<Bytes, std::io::Error>;

/// Returns an answer with a JSON body.
pub(crate) fn json_answer(status: StatusCode, body: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut answer = Response::new(full(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    answer
}

/// Returns a `Status` object as the API server sends it for every failure.
pub(crate) fn failure(status: StatusCode, reason: &str, message: &str) -> Response<AnswerBody> {
    let mut answer = json_answer(status, status_json(status, reason, message));
    if matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    ) {
        answer
            .headers_mut()
            .insert(header::RETRY_AFTER, header::HeaderValue::from_static("1"));
    }
    answer
}

/// Returns the answer to a call that the store refused.
pub(crate) fn refusal(
    collection: &Collection,
    name: &str,
    err: &StoreError,
) -> Response<AnswerBody> {
    let what = format!("{}.{} \"{name}\"", collection.plural, collection.group);
    match err {
        StoreError::NotFound => {
            let message = format!("{what} not found");
            failure(StatusCode::NOT_FOUND, "NotFound", &message)
        }
        StoreError::AlreadyExists => {
            let message = format!("{what} already exists");
            failure(StatusCode::CONFLICT, "AlreadyExists", &message)
        }
        StoreError::Conflict => {
            let message = format!("{what}: the object has been modified");
            failure(StatusCode::CONFLICT, "Conflict", &message)
        }
        StoreError::Expired => {
            let message = format!("{}: the resource version is too old", collection.plural);
            failure(StatusCode::GONE, "Expired", &message)
        }
        StoreError::Invalid(problem) => failure(StatusCode::BAD_REQUEST, "BadRequest", problem),
    }
}

/// Returns the JSON of a `Status` object.
pub(crate) fn status_json(status: StatusCode, reason: &str, message: &str) -> String {
    json!({
        "kind": "Status",
        "apiVersion": "v1",
        "metadata": {},
        "status": "Failure",
        "reason": reason,
        "message": message,
        "code": status.as_u16(),
    })
    .to_string()
}

/// Returns the JSON of a list, of whole objects or of their metadata.
pub(crate) fn list_json(collection: &Collection, page: &Page, metadata_only: bool) -> String {
    let (api_version, kind) = if metadata_only {
        ("meta.k8s.io/v1".to_owned(), "PartialObjectMetadataList")
    } else {
        (collection.api_version(), "List")
    };
    let mut metadata = json!({ "resourceVersion": page.revision.to_string() });
    if let Some(next) = &page.next {
        metadata["continue"] = json!(next.token());
        metadata["remainingItemCount"] = json!(page.remaining);
    }
    let head = json!({ "apiVersion": api_version, "kind": kind, "metadata": metadata }).to_string();
    let mut text = head;
    text.pop();
    text.push_str(",\"items\":[");
    for (index, object) in page.objects.iter().enumerate() {
        if index > 0 {
            text.push(',');
        }
        text.push_str(if metadata_only {
            &object.metadata_json
        } else {
            &object.json
        });
    }
    text.push_str("]}");
    text
}

fn full(body: impl Into<Bytes>) -> AnswerBody {
    Full::new(body.into())
        .map_err(|never| match never {})
        .boxed()
}
