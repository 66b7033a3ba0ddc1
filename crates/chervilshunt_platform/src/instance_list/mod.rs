//! The instance list: EndpointSlices as changes of single instances and targets.

mod slice;
mod view;

pub use slice::{
    Endpoint, EndpointConditions, EndpointPort, EndpointSlice, SERVICE_LABEL, TargetRef,
};
pub use view::{EndpointProblem, InstanceChange, InstanceList, ListedInstance};
