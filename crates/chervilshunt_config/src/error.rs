//! What can be wrong with a settings file.

use std::fmt;

use snafu::Snafu;

/// Why settings were not taken.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display(
        "can't read the settings file {file}: {source}; give its path with --settings, or write \
         one with --print-defaults"
    ))]
    Read {
        /// The file.
        file: String,
        /// Why it can't be read.
        source: std::io::Error,
    },
    /// The file was read, but some of it can't be taken.
    #[snafu(display("{}", Listed { file, problems }))]
    Wrong {
        /// The file.
        file: String,
        /// All that is wrong, in the order of the file.
        problems: Vec<Problem>,
    },
}

/// One thing that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The key, as `section.key`; empty if the text is no JSON.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// What is allowed there.
    pub allowed: String,
}

struct Listed<'a> {
    file: &'a str,
    problems: &'a [Problem],
}

impl fmt::Display for Listed<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{}:{}:{}: ", self.file, problem.line, problem.column)?;
            if !problem.key.is_empty() {
                write!(f, "{}: ", problem.key)?;
            }
            write!(f, "{}; allowed: {}", problem.message, problem.allowed)?;
        }
        Ok(())
    }
}
