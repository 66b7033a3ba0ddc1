//! The fields of each kind of object: their specification, parsing and printing.

mod read;
mod specs;
mod write;

use chervilshunt_model::ObjectKind;

pub(crate) use read::Reader;
pub use specs::FieldSpec;
pub use write::{FieldText, FieldTexts};

/// Returns the fields of a kind of object, in the order in which they are printed.
pub const fn fields_of(kind: ObjectKind) -> &'static [FieldSpec] {
    specs::of(kind)
}
