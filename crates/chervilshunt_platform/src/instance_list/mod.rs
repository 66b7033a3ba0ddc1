//! The instance list: combines EndpointSlices into changes of individual instances and targets.

mod slice;
mod view;

pub use slice::{
    Endpoint, EndpointConditions, EndpointPort, EndpointSlice, SERVICE_LABEL, TargetRef,
};
pub use view::{EndpointProblem, InstanceChange, InstanceList, ListedInstance};
