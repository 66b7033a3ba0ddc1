//! Random choice of each request's content.

use std::sync::Arc;

use chervilshunt_model::Class;
use chervilshunt_standin::check::{Api, Call, CompletionCall, PlainCall, RequestPlan, Route};
use rand::Rng;
use rand_distr::{Distribution, Zipf};

use super::plan::LoadPlan;

/// Draws random requests according to the shares of a plan.
#[derive(Debug)]
pub(crate) struct Mix<'a> {
    plan: &'a LoadPlan,
    popularity: Zipf<f64>,
    /// Part of every request id, so that ids differ between runs on the same stand-ins.
    run: u32,
}

impl<'a> Mix<'a> {
    /// Returns `None` if the plan has no models, or its skew is not a valid Zipf exponent.
    pub(crate) fn new(plan: &'a LoadPlan, run: u32) -> Option<Self> {
        #[expect(clippy::cast_precision_loss, reason = "there are few models")]
        let models = plan.models.len() as f64;
        let popularity = Zipf::new(models, plan.skew).ok()?;
        Some(Self {
            plan,
            popularity,
            run,
        })
    }

    /// Draws the request with the given number, which also selects the instance it is sent to.
    pub(crate) fn draw(&self, number: usize, rng: &mut impl Rng) -> RequestPlan {
        let plan = self.plan;
        let call = match &plan.plain {
            Some(plain) if rng.random_bool(plain.share) => Call::Plain(PlainCall {
                service: Arc::clone(&plain.service),
                path: "/load".into(),
                body: format!("{{\"number\":{number}}}").into(),
                idempotent: false,
            }),
            _ => Call::Completion(self.draw_completion(number, rng)),
        };
        let deferrable = rng.random_bool(plan.deferrable_share);
        let keyed = rng.random_bool(plan.keyed_share);
        let request_id: Arc<str> = format!("load-{:08x}-{number}", self.run).into();
        RequestPlan {
            to: plan.entries[number % plan.entries.len()],
            route: Route::System,
            key: keyed.then(|| Arc::clone(&request_id)),
            request_id,
            call,
            class: if deferrable {
                Class::Deferrable
            } else {
                Class::Live
            },
            deadline: if deferrable { None } else { plan.deadline },
            timeout: plan.timeout,
        }
    }

    fn draw_completion(&self, number: usize, rng: &mut impl Rng) -> CompletionCall {
        let plan = self.plan;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "ranks are whole numbers from 1 to the number of models"
        )]
        let rank = self.popularity.sample(rng) as usize - 1;
        let api = if rng.random_bool(plan.chat_share) {
            Api::Chat
        } else {
            Api::Text
        };
        CompletionCall {
            model: Arc::clone(&plan.models[rank.min(plan.models.len() - 1)]),
            api,
            stream: rng.random_bool(plan.stream_share),
            max_tokens: rng.random_range(plan.tokens.0..=plan.tokens.1),
            prompt: format!("Pack list of flat {number}").into(),
        }
    }
}
