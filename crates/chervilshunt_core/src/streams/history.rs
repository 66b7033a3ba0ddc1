//! The software versions that the targets of each service have had lately.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName};

use crate::dispatch::{SoftwareVersion, TargetFacts};

/// Time for which a version counts after its last target has gone: the longest time after which a caller
/// may still continue a stream of it.
const STREAM_LIFETIME: Duration = Duration::from_secs(60);
/// The longest time between two confirmations of the list of targets in which no version can have come
/// and gone unseen: the entry of a target stays for longer than that even if the target crashes at once.
const MAX_GAP: Duration = Duration::from_secs(3);
/// The age of the last confirmation up to which no target of another version can have served streams that
/// are continued already.
const MAX_AGE: Duration = Duration::from_secs(2);

/// The software versions that the targets of each service have had lately.
///
/// While a service has had only one, a stream must have begun at it, whoever has forgotten that. This
/// holds only for what has been followed without a gap.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// Since when the list of targets has been followed, and when it was last confirmed.
    followed: Option<(Moment, Moment)>,
    /// When each version that has no target any more was last listed.
    left: HashMap<(ServiceName, Option<SoftwareVersion>), Moment>,
}

impl SoftwareHistory {
    /// Records that the list of targets was complete at `as_of`.
    pub fn confirmed(&mut self, as_of: Moment) {
        self.followed = Some(match self.followed {
            Some((since, last)) if as_of.since(last) <= MAX_GAP => (since, last.max(as_of)),
            Some(_) | None => (as_of, as_of),
        });
    }

    /// Records that a target is no longer listed with its version.
    pub(crate) fn left(&mut self, target: &TargetFacts, now: Moment) {
        self.left.retain(|_, at| now.since(*at) < STREAM_LIFETIME);
        let version = (target.service.clone(), target.software.clone());
        self.left.insert(version, now);
    }

    /// Returns the version at which all streams of a service must have begun that can be continued now;
    /// `None` if there may be several. `listed` are the versions of the targets that are listed.
    pub(crate) fn only_version<'a>(
        &'a self,
        service: &ServiceName,
        listed: impl Iterator<Item = Option<&'a SoftwareVersion>>,
        now: Moment,
    ) -> Option<&'a SoftwareVersion> {
        let (since, last) = self.followed?;
        if now.since(since) < STREAM_LIFETIME || now.since(last) > MAX_AGE {
            return None;
        }
        let left = self.left.iter();
        let left = left.filter(|((it, _), at)| it == service && now.since(**at) < STREAM_LIFETIME);
        let mut versions = listed.chain(left.map(|((_, software), _)| software.as_ref()));
        let first = versions.next()??;
        versions.all(|it| it == Some(first)).then_some(first)
    }
}
