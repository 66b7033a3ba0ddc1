//! The way of callers' requests through an instance.

mod answer;
mod attempt;
mod body;
mod events;
mod intake;
mod outdated;
mod place;
mod refusal;
mod relay;
mod request;
mod serve;

pub(crate) use serve::serve;
