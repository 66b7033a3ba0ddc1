//! Finds the team that sent a request by its API key.

use std::sync::Arc;

use chervilshunt_core::{Route, RouteTable, Team};
use http::header::{AUTHORIZATION, GetAll};
use http::{HeaderMap, HeaderName, HeaderValue};
use memchr::memmem::Finder;

use super::refusal::{Reason, Refusal};

/// The authentication scheme, which is compared without regard to case.
const SCHEME: &str = "bearer";
/// Length in bytes from which other headers are searched for a key. A shorter one would be found in
/// headers that have nothing to do with it.
const MIN_REPEATED_KEY: usize = 8;

/// Takes the key out of a request's headers and returns the team that holds it, or `None` if the
/// request needs no key.
///
/// From here on nothing holds the key, so it can't be passed on or logged.
///
/// # Errors
///
/// Fails if the key is missing, doubled, malformed or unknown.
pub(crate) fn authenticate(
    table: &RouteTable,
    route: &Route,
    headers: &mut HeaderMap,
) -> Result<Option<Arc<Team>>, Refusal> {
    let Some(teams) = &table.teams else {
        return Ok(None);
    };
    let team = key_of(headers.get_all(AUTHORIZATION))
        .and_then(|key| teams.find(key))
        .cloned();
    remove_key(headers);
    if route.is_key_exempt {
        return Ok(None);
    }
    team.map(Some)
        .ok_or_else(|| Refusal::new(Reason::UnknownKey))
}

/// Returns the key in the only value of the header, if it is well-formed.
fn key_of(values: GetAll<'_, HeaderValue>) -> Option<&[u8]> {
    let mut values = values.iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return None;
    };
    let (scheme, key) = value.to_str().ok()?.split_once(' ')?;
    let key = key.trim_matches(' ');
    let is_well_formed = scheme.eq_ignore_ascii_case(SCHEME)
        && !key.is_empty()
        && key
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b',');
    is_well_formed.then_some(key.as_bytes())
}

/// Removes the credentials, and every other header that repeats a key.
fn remove_key(headers: &mut HeaderMap) {
    let credentials: Vec<HeaderValue> = headers.get_all(AUTHORIZATION).iter().cloned().collect();
    headers.remove(AUTHORIZATION);
    let keys = credentials
        .iter()
        .filter_map(|it| it.as_bytes().split(|byte| *byte == b' ').next_back())
        .filter(|key| key.len() >= MIN_REPEATED_KEY);
    for key in keys {
        let finder = Finder::new(key);
        let repeating: Vec<HeaderName> = headers
            .iter()
            .filter(|(_, value)| finder.find(value.as_bytes()).is_some())
            .map(|(name, _)| name.clone())
            .collect();
        for name in repeating {
            headers.remove(name);
        }
    }
}

#[cfg(test)]
mod tests;
