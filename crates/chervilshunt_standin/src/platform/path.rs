//! Parsing of paths and query strings of the object API.

/// A collection: all objects of one resource in one namespace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Collection {
    pub(crate) group: String,
    pub(crate) version: String,
    pub(crate) namespace: String,
    pub(crate) plural: String,
}

impl Collection {
    /// Returns `group/version`, the `apiVersion` of the collection's objects.
    pub(crate) fn api_version(&self) -> String {
        if self.group.is_empty() {
            self.version.clone()
        } else {
            format!("{}/{}", self.group, self.version)
        }
    }
}

/// The collection or object that a request path names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ObjectPath {
    pub(crate) collection: Collection,
    /// The object's name, or `None` if the path names the collection.
    pub(crate) name: Option<String>,
}

impl ObjectPath {
    /// Parses `/apis/GROUP/VERSION/namespaces/NS/PLURAL[/NAME]`, or `/api/v1/…` for the core group.
    pub(crate) fn parse(path: &str) -> Option<Self> {
        let mut parts = path.strip_prefix('/')?.split('/');
        let group = match parts.next()? {
            "apis" => parts.next()?,
            "api" => "",
            _ => return None,
        };
        let version = parts.next()?;
        if parts.next()? != "namespaces" {
            return None;
        }
        let namespace = parts.next()?;
        let plural = parts.next()?;
        let name = parts.next();
        let rest_is_empty = parts.next().is_none();
        let filled = [version, namespace, plural]
            .iter()
            .chain(name.iter())
            .all(|part| !part.is_empty());
        (rest_is_empty && filled).then(|| Self {
            collection: Collection {
                group: group.to_owned(),
                version: version.to_owned(),
                namespace: namespace.to_owned(),
                plural: plural.to_owned(),
            },
            name: name.map(str::to_owned),
        })
    }
}

/// The query parameters of a list or watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Query {
    pub(crate) watch: bool,
    pub(crate) bookmarks: bool,
    pub(crate) resource_version: Option<u64>,
    pub(crate) timeout_seconds: Option<u64>,
    pub(crate) selector: Selector,
    pub(crate) limit: Option<usize>,
    pub(crate) after: Option<Continue>,
}

impl Query {
    /// Parses a query string. Unknown parameters are ignored.
    ///
    /// # Errors
    /// Fails with a message that names the invalid parameter.
    pub(crate) fn parse(text: &str) -> Result<Self, String> {
        let mut query = Self::default();
        for (key, value) in form_urlencoded::parse(text.as_bytes()) {
            let number = || {
                let parsed = value.parse::<u64>();
                parsed.map_err(|err| format!("{key} is not a number: {err}"))
            };
            match key.as_ref() {
                "watch" => query.watch = is_true(&value),
                "allowWatchBookmarks" => query.bookmarks = is_true(&value),
                "resourceVersion" if value.is_empty() => {}
                "resourceVersion" => query.resource_version = Some(number()?),
                "timeoutSeconds" => query.timeout_seconds = Some(number()?),
                "limit" => query.limit = Some(usize::try_from(number()?).unwrap_or(usize::MAX)),
                "labelSelector" => query.selector = Selector::parse(&value)?,
                "continue" => {
                    query.after = Some(Continue::parse(&value).ok_or("continue is malformed")?);
                }
                _ => {}
            }
        }
        query.limit = query.limit.filter(|limit| *limit > 0);
        Ok(query)
    }
}

/// A label selector made of equality terms, all of which must match.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Selector(Vec<(String, String)>);

impl Selector {
    fn parse(text: &str) -> Result<Self, String> {
        text.split(',')
            .filter(|term| !term.is_empty())
            .map(|term| {
                let (key, value) = term
                    .split_once("==")
                    .or_else(|| term.split_once('='))
                    .ok_or_else(|| {
                        format!("labelSelector supports only KEY=VALUE terms, not `{term}`")
                    })?;
                Ok((key.trim().to_owned(), value.trim().to_owned()))
            })
            .collect::<Result<_, String>>()
            .map(Self)
    }

    /// Returns whether the labels match every term.
    pub(crate) fn matches(&self, labels: &[(String, String)]) -> bool {
        self.0.iter().all(|term| labels.contains(term))
    }
}

/// The continuation of a list that was truncated at its limit: the revision that it shows and the
/// last name returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Continue {
    pub(crate) revision: u64,
    pub(crate) last: String,
}

impl Continue {
    /// Returns the continuation token for the client.
    pub(crate) fn token(&self) -> String {
        format!("{}.{}", self.revision, self.last)
    }

    fn parse(token: &str) -> Option<Self> {
        let (revision, last) = token.split_once('.')?;
        Some(Self {
            revision: revision.parse().ok()?,
            last: last.to_owned(),
        })
    }
}

fn is_true(value: &str) -> bool {
    matches!(value, "1" | "true")
}
