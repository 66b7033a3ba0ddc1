//! Processing of callers' requests.

mod answer;
mod attempt;
mod authentication;
mod body;
mod charge;
mod events;
mod in_flight;
mod intake;
mod outdated;
mod permit;
mod place;
mod placer;
mod refusal;
mod relay;
mod request;
mod serve;

pub(crate) use serve::serve;
