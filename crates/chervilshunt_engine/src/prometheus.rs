//! Parses samples in the Prometheus text format.
//!
//! Of the two parser crates that were tried, one accepts neither colons in metric names nor commas
//! in label values, both of which vLLM uses. The other rejects pages with `HELP` before `TYPE`. See
//! `docs/design/engine-client.md`.

#[cfg(test)]
mod tests;

use std::borrow::Cow;

/// A sample of a metric.
#[derive(Debug, PartialEq)]
pub(crate) struct Sample<'a> {
    pub(crate) name: &'a str,
    pub(crate) value: f64,
    labels: Vec<(&'a str, Cow<'a, str>)>,
}

impl Sample<'_> {
    pub(crate) fn label(&self, name: &str) -> Option<&str> {
        let found = self.labels.iter().find(|(label, _)| *label == name);
        found.map(|(_, value)| &**value)
    }
}

/// Returns all samples of a page; comments and invalid lines are skipped.
pub(crate) fn samples(page: &str) -> Vec<Sample<'_>> {
    page.lines()
        .filter_map(|line| sample(line.trim()))
        .collect()
}

fn sample(line: &str) -> Option<Sample<'_>> {
    if line.starts_with('#') {
        return None;
    }
    let end = line.find(['{', ' ', '\t'])?;
    let (name, rest) = line.split_at(end);
    let (labels, rest) = match rest.strip_prefix('{') {
        Some(rest) => read_labels(rest)?,
        None => (Vec::new(), rest),
    };
    // A timestamp may follow the value.
    let value = rest.split_whitespace().next()?.parse().ok()?;
    Some(Sample {
        name,
        value,
        labels,
    })
}

type Labels<'a> = Vec<(&'a str, Cow<'a, str>)>;

fn read_labels(mut rest: &str) -> Option<(Labels<'_>, &str)> {
    let mut labels = Vec::new();
    loop {
        rest = rest.trim_start_matches([',', ' ']);
        if let Some(rest) = rest.strip_prefix('}') {
            return Some((labels, rest));
        }
        let (name, quoted) = rest.split_once("=\"")?;
        let end = closing_quote(quoted)?;
        labels.push((name.trim(), unescape(&quoted[..end])));
        rest = &quoted[end + 1..];
    }
}

fn closing_quote(text: &str) -> Option<usize> {
    let mut escaped = false;
    text.bytes().position(|byte| {
        let closes = byte == b'"' && !escaped;
        escaped = byte == b'\\' && !escaped;
        closes
    })
}

fn unescape(text: &str) -> Cow<'_, str> {
    if !text.contains('\\') {
        return text.into();
    }
    let mut out = String::with_capacity(text.len());
    let mut chars = text.chars();
    while let Some(char) = chars.next() {
        match (char, chars.as_str().chars().next()) {
            ('\\', Some('n')) => out.push('\n'),
            ('\\', Some(next)) => out.push(next),
            (char, _) => {
                out.push(char);
                continue;
            }
        }
        chars.next();
    }
    out.into()
}
