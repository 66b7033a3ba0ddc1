//! Errors in a settings file.

use std::fmt;

use snafu::Snafu;

/// Why settings could not be loaded.
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
        /// The path or name of the file.
        file: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file was read, but its content is invalid.
    #[snafu(display("{}", ProblemList { file, problems }))]
    Invalid {
        /// The path or name of the file.
        file: String,
        /// All problems, in the order of the file.
        problems: Vec<Problem>,
    },
}

/// One problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The line, starting at 1.
    pub line: usize,
    /// The column in characters, starting at 1.
    pub column: usize,
    /// The path of the key, as `section.key`, or the section; empty if the text is not a JSON
    /// object.
    pub key: String,
    /// The problem.
    pub message: String,
    /// The values or keys that are allowed at this position.
    pub allowed: String,
}

struct ProblemList<'a> {
    file: &'a str,
    problems: &'a [Problem],
}

impl fmt::Display for ProblemList<'_> {
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
