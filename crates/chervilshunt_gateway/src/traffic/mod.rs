//! Processing of callers' requests.

mod admission;
mod answer;
mod arrival;
mod attempt;
mod authentication;
mod body;
mod charge;
mod confirm;
mod continuing;
mod events;
mod head;
mod in_flight;
mod intake;
mod not_connected;
mod not_run;
mod outdated;
mod permit;
mod place;
mod placer;
mod placer_time;
mod refusal;
mod relay;
mod request;
mod retry;
mod second_attempt;
mod serve;
mod unanswered;

pub(crate) use attempt::CONNECT_TIMEOUT;
pub(crate) use charge::CHARGE_TIMEOUT;
pub(crate) use intake::read_body;
pub(crate) use place::REACHABLE_WINDOW;
pub(crate) use refusal::Reason;
pub(crate) use serve::serve;
