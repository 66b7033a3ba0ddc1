//! The operators' language: parses scripts into typed statements and prints statements as text.
//!
//! [`parse`] returns statements whose changes are [`chervilshunt_model::Change`]s, or all errors,
//! each with its line, its column and what was expected. A printed [`Statement`] parses back to an
//! equal statement. `docs/LANGUAGE.md` specifies the language.

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

/// Parses a script: statements separated by `;`.
///
/// # Errors
/// Returns all errors that were found, in the order of the text.
pub fn parse(text: &str) -> Result<Vec<Statement>, Vec<QueryError>> {
    resolve::parse(text)
}
