//! The operations on a configuration type that the acceptance of changes needs.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use chervilshunt_model::{ChangeId, ChangeSet, Deployment, Page, PageId, Revision};
use serde::{Deserialize, Serialize};

/// The key of a page in the configuration, such as `common`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PageKey(Arc<str>);

impl PageKey {
    /// Creates a key from its text.
    pub fn new(key: impl Into<Arc<str>>) -> Self {
        Self(key.into())
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for PageKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A configuration after a change, with the keys of the pages that the change replaces.
pub type AppliedChange<S> = (S, Vec<PageKey>);

/// The operations that apply changes of type `C` to a configuration of type `S` and divide it into
/// pages.
///
/// All functions must be deterministic: they have to return the same result in every process.
#[derive(Debug)]
pub struct ConfigModel<S, C> {
    /// Returns the configuration before the first change.
    pub empty: fn() -> S,
    /// Returns the id of a change.
    pub change_id: fn(&C) -> ChangeId,
    /// Applies a change; returns the configuration at the next revision and the pages that differ,
    /// or the reason why the change is invalid.
    pub apply: fn(&S, &C) -> Result<AppliedChange<S>, String>,
    /// Serializes a page as text.
    pub page: fn(&S, &PageKey) -> String,
    /// Returns the configuration with one page replaced by its deserialized text, or the reason why
    /// the text is invalid.
    pub with_page: fn(&S, &PageKey, &str) -> Result<S, String>,
    /// Returns the configuration with another revision number.
    pub at_revision: fn(&S, Revision) -> S,
}

impl<S, C> Clone for ConfigModel<S, C> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<S, C> Copy for ConfigModel<S, C> {}

/// All models of one type hash alike, so that state machines that hold a model can be hashed.
impl<S, C> Hash for ConfigModel<S, C> {
    fn hash<H: Hasher>(&self, _state: &mut H) {}
}

/// Returns the model for programs that use roles and leases without a configuration.
pub fn no_configuration() -> ConfigModel<(), ()> {
    ConfigModel {
        empty: || (),
        change_id: |()| ChangeId::from_u128(0),
        apply: |(), ()| Err("this program has no configuration to change".to_owned()),
        page: |(), _key| String::new(),
        with_page: |(), _key, _body| Ok(()),
        at_revision: |(), _revision| (),
    }
}

/// Returns the model of a [`Deployment`] that is changed by [`ChangeSet`]s.
pub fn deployment_model() -> ConfigModel<Deployment, ChangeSet> {
    ConfigModel {
        empty: Deployment::default,
        change_id: |change| change.id,
        apply: apply_to_deployment,
        page: deployment_page,
        with_page: deployment_with_page,
        at_revision: deployment_at_revision,
    }
}

fn apply_to_deployment(
    deployment: &Deployment,
    change: &ChangeSet,
) -> Result<AppliedChange<Deployment>, String> {
    let next = deployment
        .apply(change)
        .map_err(|error| error.to_string())?;
    let touched = change.touched_pages();
    let touched = touched.iter().map(|id| PageKey::new(id.to_string()));
    let touched = touched.collect();
    Ok((next, touched))
}

fn deployment_page(deployment: &Deployment, key: &PageKey) -> String {
    let Ok(id) = PageId::parse(key.as_str()) else {
        return String::new();
    };
    serde_json::to_string(&deployment.page(id)).unwrap_or_default()
}

fn deployment_with_page(
    deployment: &Deployment,
    key: &PageKey,
    body: &str,
) -> Result<Deployment, String> {
    let id = PageId::parse(key.as_str()).map_err(|error| error.to_string())?;
    let page: Page = serde_json::from_str(body).map_err(|error| error.to_string())?;
    deployment
        .with_pages(deployment.revision, [(id, page)])
        .map_err(|error| error.to_string())
}

fn deployment_at_revision(deployment: &Deployment, revision: Revision) -> Deployment {
    Deployment {
        revision,
        ..deployment.clone()
    }
}
