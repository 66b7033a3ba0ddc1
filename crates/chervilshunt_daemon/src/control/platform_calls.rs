//! Executes the platform calls of the coordinator and the claim keepers.

use std::sync::Arc;

use chervilshunt_coord::{
    Object as Content, ObjectKind, ObjectName, ObjectVersion, PlatformCall, PlatformOp,
    PlatformResult, StoredObject,
};
use chervilshunt_platform::{
    ASSIGNMENTS, CLAIM_PAGES, CONFIG_HEADS, CONFIG_PAGES, LEASES, Object, Platform, PlatformError,
    Resource, ResourceVersion, Selector,
};
use serde_json::{Value, json};

/// The annotation that holds the whole lease record, as the `spec` of a Lease has no fields for it.
const LEASE_RECORD: &str = "chervilshunt.io/lease-record";
/// The label that selects the claim pages of one shard.
const CLAIM_SHARD: &str = "chervilshunt.io/claim-shard";

/// Executes one call and returns its result.
pub(super) async fn carry_out(platform: &Platform, call: PlatformCall) -> PlatformResult {
    let result = match call.op {
        PlatformOp::Read(name) => read(platform, &name).await,
        PlatformOp::List(kind) => list(platform, kind, &Selector::all()).await,
        PlatformOp::ListClaims(shard) => {
            let selector = Selector::label(CLAIM_SHARD, shard.to_string());
            list(platform, ObjectKind::Claims, &selector).await
        }
        PlatformOp::Create(content) => match to_object(&content, None) {
            Some(object) => {
                let created = platform
                    .create(resource(content.name().kind()), &object)
                    .await;
                created.map(written)
            }
            None => Ok(PlatformResult::Unavailable),
        },
        PlatformOp::Update(content, version) => match to_object(&content, Some(&version)) {
            Some(object) => {
                let updated = platform
                    .update(resource(content.name().kind()), &object)
                    .await;
                updated.map(written)
            }
            None => Ok(PlatformResult::Conflict),
        },
        PlatformOp::Delete(name, version) => {
            let parsed = version.as_ref().map(parse_version);
            if parsed == Some(None) {
                return PlatformResult::Conflict;
            }
            let version = parsed.flatten();
            let kind = resource(name.kind());
            let deleted = platform.delete(kind, &name.object_name(), version).await;
            deleted.map(|()| written(version.unwrap_or(ResourceVersion::new(0))))
        }
    };
    result.unwrap_or_else(|error| failed(&error))
}

/// Parses an object from the platform, or returns `None` if it does not have the format that this
/// system writes.
pub(super) fn to_stored(kind: ObjectKind, object: Object<Value>) -> Option<StoredObject> {
    let version = object.resource_version?;
    let spec = match kind {
        ObjectKind::Lease => serde_json::from_str(object.annotations.get(LEASE_RECORD)?).ok()?,
        ObjectKind::Assignment | ObjectKind::Head | ObjectKind::Page | ObjectKind::Claims => {
            object.spec
        }
    };
    let content = Content::from_spec(kind, spec).ok()?;
    Some(StoredObject {
        object: content,
        version: ObjectVersion::new(version.to_string()),
    })
}

async fn read(platform: &Platform, name: &ObjectName) -> Result<PlatformResult, PlatformError> {
    let kind = name.kind();
    let object = platform
        .get::<Value>(resource(kind), &name.object_name())
        .await?;
    Ok(to_stored(kind, object).map_or(PlatformResult::Unavailable, PlatformResult::Found))
}

async fn list(
    platform: &Platform,
    kind: ObjectKind,
    selector: &Selector,
) -> Result<PlatformResult, PlatformError> {
    let list = platform.list::<Value>(resource(kind), selector).await?;
    let stored = list
        .objects
        .into_iter()
        .filter_map(|object| to_stored(kind, object));
    Ok(PlatformResult::Listed(stored.collect()))
}

fn resource(kind: ObjectKind) -> Resource {
    match kind {
        ObjectKind::Lease => LEASES,
        ObjectKind::Assignment => ASSIGNMENTS,
        ObjectKind::Head => CONFIG_HEADS,
        ObjectKind::Page => CONFIG_PAGES,
        ObjectKind::Claims => CLAIM_PAGES,
    }
}

fn to_object(content: &Content, version: Option<&ObjectVersion>) -> Option<Object<Value>> {
    let name = content.name();
    let spec = serde_json::to_value(content).ok()?;
    let mut object: Object<Value> = match content {
        Content::Lease(lease) => {
            let mut object = Object::new(
                name.object_name(),
                json!({
                    "holderIdentity": lease.holder.to_string(),
                    "leaseDurationSeconds": lease.duration_ms.div_ceil(1_000),
                }),
            );
            object
                .annotations
                .insert(LEASE_RECORD.to_owned(), spec.to_string());
            object
        }
        Content::Claims(page) => Object::new(name.object_name(), spec)
            .with_label(CLAIM_SHARD, page.name.shard.to_string()),
        Content::Assignment(_) | Content::Head(_) | Content::Page { .. } => {
            Object::new(name.object_name(), spec)
        }
    };
    object.resource_version = match version {
        Some(version) => Some(parse_version(version)?),
        None => None,
    };
    Some(object)
}

fn parse_version(version: &ObjectVersion) -> Option<ResourceVersion> {
    version.as_str().parse().ok().map(ResourceVersion::new)
}

fn written(version: ResourceVersion) -> PlatformResult {
    PlatformResult::Written(ObjectVersion::new(Arc::<str>::from(version.to_string())))
}

fn failed(error: &PlatformError) -> PlatformResult {
    match error {
        PlatformError::Conflict { .. } => PlatformResult::Conflict,
        PlatformError::AlreadyExists { .. } => PlatformResult::AlreadyExists,
        PlatformError::NotFound { .. } => PlatformResult::NotFound,
        PlatformError::OutcomeUnknown { .. } => PlatformResult::Unknown,
        _ => PlatformResult::Unavailable,
    }
}
