//! Teams, the API keys that identify them, and their limits.
//!
//! Keys are kept as digests only, so that neither a log line, a `Debug` text nor a message to
//! another process can contain one. See `docs/design/teams.md`.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use sha2::{Digest as _, Sha256};
use snafu::{Snafu, ensure};

use super::facts::RequestSize;

/// The SHA-256 digest of an API key.
///
/// Looking a digest up instead of a key keeps the time of the look-up independent of how much of a
/// presented key matches a valid one.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Parses what [`KeyDigest::to_hex`] returns.
    pub fn from_hex(text: &str) -> Option<Self> {
        let mut digest = [0; 32];
        if text.len() != 2 * digest.len() || !text.is_ascii() {
            return None;
        }
        for (index, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(Self(digest))
    }

    /// Returns the digest as hexadecimal text, for messages between instances.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// How the size of a request counts against a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt tokens and its maximum of output tokens.
    Tokens {
        /// What a request without a stated size counts as.
        without_size: u32,
    },
}

/// The quota of a team, which holds for all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second that are admitted in the long run; greater than 0.
    pub rate: f64,
    /// Units that may be admitted at once after a quiet time; greater than 0.
    pub burst: f64,
    /// What is counted.
    pub unit: QuotaUnit,
}

impl Quota {
    /// Returns what a request counts as.
    pub fn cost(&self, size: Option<RequestSize>) -> f64 {
        match (self.unit, size) {
            (QuotaUnit::Requests, _) => 1.0,
            (QuotaUnit::Tokens { without_size }, None) => f64::from(without_size),
            (QuotaUnit::Tokens { .. }, Some(size)) => {
                f64::from(size.prompt_tokens) + f64::from(size.output_tokens)
            }
        }
    }
}

/// A team.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its name, which targets are told.
    pub name: Arc<str>,
    /// The priority of its requests, which replaces the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Its quota; `None` means no limit.
    pub quota: Option<Quota>,
}

/// Contradictions between teams.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TeamsError {
    /// Two teams have the same name.
    #[snafu(display("team {team} is defined twice"))]
    NameTwice {
        /// The name.
        team: Arc<str>,
    },
    /// Two teams share a key.
    #[snafu(display("teams {first} and {second} have the same key"))]
    KeyTwice {
        /// The team that is defined first.
        first: Arc<str>,
        /// The team that is defined second.
        second: Arc<str>,
    },
}

/// The teams of a configuration by their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Teams {
    teams: Vec<Arc<Team>>,
    by_key: HashMap<KeyDigest, Arc<Team>>,
}

impl Teams {
    /// Creates the teams from their definitions and the digests of their keys.
    ///
    /// # Errors
    ///
    /// Fails if two teams share a name or a key.
    pub fn new(
        definitions: impl IntoIterator<Item = (Team, Vec<KeyDigest>)>,
    ) -> Result<Self, TeamsError> {
        let mut all = Self::default();
        for (team, keys) in definitions {
            let is_new = all.teams.iter().all(|it| it.name != team.name);
            ensure!(is_new, NameTwiceSnafu { team: team.name });
            let team = Arc::new(team);
            for key in keys {
                let before = all.by_key.insert(key, Arc::clone(&team));
                if let Some(first) = before.filter(|it| it.name != team.name) {
                    return KeyTwiceSnafu {
                        first: Arc::clone(&first.name),
                        second: Arc::clone(&team.name),
                    }
                    .fail();
                }
            }
            all.teams.push(team);
        }
        Ok(all)
    }

    /// Returns the team that holds a key.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Team>> {
        self.by_key.get(&KeyDigest::of(key))
    }

    /// Returns all teams in the order of their definition.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.teams.iter()
    }
}
