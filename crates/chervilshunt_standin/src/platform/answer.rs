//! Responses of the object API, including errors.

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};

use super::call::Shape;
use super::path::Collection;
use super::store::{Page, StoreError};

/// About as long as the description that Kubernetes API servers send, so that measured byte counts
/// are not too low.
const NAME_DESCRIPTION: &str = "The name by which calls mean this object among all objects of its \
    kind in its namespace. Whoever creates the object chooses it, unless the kind lets the server \
    make one up; the server refuses a second object of the same name. It stays as it is for as long \
    as the object is there, so that whoever has it can go on to use it in paths and in references \
    from other objects. Letters, digits and a few marks are allowed in it.";

/// The response body type; an error in the body closes the connection.
pub(crate) type AnswerBody = BoxBody<Bytes, std::io::Error>;

/// Returns a response with a JSON body.
pub(crate) fn json_answer(status: StatusCode, body: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut answer = Response::new(full(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    answer
}

/// Returns a `Status` object, as the Kubernetes API server sends it for every failure. Responses
/// with 429 and 503 carry `Retry-After: 1`.
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

/// Returns the error response for a store error.
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

/// Returns the JSON of a list.
pub(crate) fn list_json(collection: &Collection, page: &Page, shape: Shape) -> String {
    let (api_version, kind) = match shape {
        Shape::Whole => (collection.api_version(), "List"),
        Shape::Metadata => ("meta.k8s.io/v1".to_owned(), "PartialObjectMetadataList"),
        Shape::Table | Shape::TableOfNames => return table_json(page, shape),
    };
    let metadata = list_metadata(page);
    let head = json!({ "apiVersion": api_version, "kind": kind, "metadata": metadata }).to_string();
    let mut text = head;
    text.pop();
    text.push_str(",\"items\":[");
    for (index, object) in page.objects.iter().enumerate() {
        if index > 0 {
            text.push(',');
        }
        text.push_str(match shape {
            Shape::Whole => &object.json,
            Shape::Metadata | Shape::Table | Shape::TableOfNames => &object.metadata_json,
        });
    }
    text.push_str("]}");
    text
}

/// Returns the JSON of a list as a table whose rows contain no objects.
fn table_json(page: &Page, shape: Shape) -> String {
    let columns = if shape == Shape::Table { 2 } else { 1 };
    let rows = page.objects.iter().map(|object| {
        let cells = [object.name.clone(), object.revision.to_string()];
        json!({ "cells": &cells[..columns], "object": null })
    });
    let definitions = column_definitions();
    json!({
        "kind": "Table",
        "apiVersion": "meta.k8s.io/v1",
        "metadata": list_metadata(page),
        "columnDefinitions": &definitions[..columns],
        "rows": rows.collect::<Vec<_>>(),
    })
    .to_string()
}

fn column_definitions() -> [Value; 2] {
    [
        json!({
            "name": "Name",
            "type": "string",
            "format": "name",
            "description": NAME_DESCRIPTION,
            "priority": 0,
        }),
        json!({
            "name": "Version",
            "type": "string",
            "format": "",
            "description": "The version of the object.",
            "priority": 0,
        }),
    ]
}

fn list_metadata(page: &Page) -> Value {
    let mut metadata = json!({ "resourceVersion": page.revision.to_string() });
    if let Some(next) = &page.next {
        metadata["continue"] = json!(next.token());
        metadata["remainingItemCount"] = json!(page.remaining);
    }
    metadata
}

fn full(body: impl Into<Bytes>) -> AnswerBody {
    Full::new(body.into())
        .map_err(|never| match never {})
        .boxed()
}
