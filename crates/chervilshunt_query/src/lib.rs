//! The operators' language: text to typed statements and back.
//!
//! [`parse`] reads a script and gives statements whose changes are those of
//! [`chervilshunt_model::Change`], or all errors with line, column and what was expected.
//! [`Statement`] prints as text that parses to itself. `docs/LANGUAGE.md` gives the language whole.

mod error;
mod fields;
mod print;
mod resolve;
mod statement;
mod syntax;
mod table;
mod token;

pub use error::{QueryError, render_errors};
pub use fields::{FieldSpec, FieldText, FieldTexts, fields_of};
pub use statement::{ChangeGroup, Condition, Op, Show, Statement};
pub use table::{AGE_COLUMN, FROM_COLUMN, Table};

/// Reads a script: statements with `;` between them.
///
/// # Errors
/// Gives all errors that were found, in the order of the text.
pub fn parse(text: &str) -> Result<Vec<Statement>, Vec<QueryError>> {
    resolve::parse(text)
}
