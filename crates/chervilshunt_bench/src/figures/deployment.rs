//! Helpers shared by the deployments of all figures.

use std::net::SocketAddr;
use std::sync::Arc;

use chervilshunt_standin::fleet::{Fleet, FleetOptions, Instance, model_name};
use snafu::{OptionExt as _, ResultExt as _};

use super::error::{AnswersSnafu, DeploymentSnafu, FiguresError};

/// Starts a deployment.
///
/// # Errors
/// Returns an error if a process of the deployment can't be started.
pub(crate) async fn start(options: FleetOptions) -> Result<Fleet, FiguresError> {
    Fleet::start(options).await.context(DeploymentSnafu)
}

/// Returns the model names of a deployment's adapters.
pub(crate) fn models(fleet: &Fleet) -> Vec<Arc<str>> {
    let adapters = fleet.options().adapters;
    (0..adapters)
        .map(|number| model_name(number).into())
        .collect()
}

/// Returns one address per instance, selected by `of`.
pub(crate) fn addresses(fleet: &Fleet, of: fn(&Instance) -> SocketAddr) -> Vec<SocketAddr> {
    fleet.instances().values().map(of).collect()
}

/// Returns the instance of a deployment that has only one, with its process id.
///
/// # Errors
/// Returns an error if there is no instance or its process has exited.
pub(crate) fn only_instance(fleet: &Fleet) -> Result<(&Instance, u32), FiguresError> {
    let instance = fleet.instances().values().next();
    let found = instance.and_then(|instance| Some((instance, instance.process.id()?)));
    found.context(AnswersSnafu {
        problem: "the instance process has exited",
    })
}
