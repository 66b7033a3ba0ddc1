//! Resolves parsed syntax to typed statements.

use chervilshunt_model::{
    AdapterVersion, Change, Edit, Lifecycle, ObjectKind, Revision, Target, TargetPatch,
};
use chumsky::Parser as _;
use chumsky::error::{Rich, RichPattern};
use chumsky::span::{SimpleSpan, Span as _};

use crate::error::QueryError;
use crate::fields::Reader;
use crate::print::to_lifecycle;
use crate::syntax::{self, RawChange, RawCondition, RawStatement, Verb};
use crate::table::{AGE_COLUMN, FROM_COLUMN};
use crate::token::{self, Spanned, Token};
use crate::{ChangeGroup, Condition, Show, Statement, Table};

/// Parses and resolves a script; returns all errors in the order of the text.
pub(crate) fn parse(text: &str) -> Result<Vec<Statement>, Vec<QueryError>> {
    let (tokens, char_errors) = token::lexer().parse(text).into_output_errors();
    if !char_errors.is_empty() {
        return Err(char_errors
            .iter()
            .map(|error| lexer_error(text, error))
            .collect());
    }
    let tokens = tokens.unwrap_or_default();
    let (statements, token_errors) = syntax::parse(&tokens, text.len());
    let mut resolver = Resolver {
        text,
        errors: token_errors
            .iter()
            .map(|error| unexpected_token(text, error))
            .collect(),
    };
    let statements: Vec<_> = statements
        .into_iter()
        .filter_map(|statement| resolver.statement(statement))
        .collect();
    if resolver.errors.is_empty() {
        return Ok(statements);
    }
    resolver
        .errors
        .sort_by_key(|error| (error.line, error.column));
    Err(resolver.errors)
}

fn lexer_error(text: &str, error: &Rich<'_, char>) -> QueryError {
    let span = error.span();
    let quoted = text[..span.start()].matches('"').count() % 2 == 1;
    let (expected, hint) = if quoted {
        (
            "\" at the end of the quoted text",
            "a quoted text ends on the line where it starts; in it, write \\\" \\\\ \\n \\r \\t for \
             quote, backslash, newline, carriage return and tab",
        )
    } else {
        (
            "a word, a quoted text, ; { } = != or ~",
            "put a name or value that holds other characters in quotes",
        )
    };
    QueryError::at(
        text,
        span.start()..span.end(),
        vec![expected.to_owned()],
        Some(hint.to_owned()),
    )
}

fn unexpected_token(text: &str, error: &Rich<'_, Token<'_>>) -> QueryError {
    let span = error.span();
    let mut expected: Vec<_> = error.expected().filter_map(pattern_text).collect();
    expected.sort();
    expected.dedup();
    // Where a statement may start, another semicolon is allowed too, but is no useful suggestion.
    let starts = expected.iter().any(|word| word == "drain");
    let semicolon = Token::Semicolon.to_string();
    if starts {
        expected.retain(|word| *word != semicolon);
    }
    let hint = (expected.contains(&semicolon) && error.found().is_some())
        .then(|| "statements need a ; between them".to_owned());
    QueryError::at(text, span.start()..span.end(), expected, hint)
}

fn pattern_text(pattern: &RichPattern<'_, Token<'_>>) -> Option<String> {
    match pattern {
        RichPattern::Token(token) => Some(token.to_string()),
        RichPattern::Label(label) => Some(label.to_string()),
        RichPattern::Identifier(word) => Some(word.clone()),
        RichPattern::EndOfInput => Some("the end of the text".to_owned()),
        _ => None,
    }
}

struct Resolver<'a> {
    text: &'a str,
    errors: Vec<QueryError>,
}

impl Resolver<'_> {
    fn statement(&mut self, statement: RawStatement) -> Option<Statement> {
        match statement {
            RawStatement::Show { table, conditions } => {
                let conditions: Vec<_> = conditions
                    .into_iter()
                    .map(|condition| self.condition(table, condition))
                    .collect();
                Some(Statement::Show(Show { table, conditions }))
            }
            RawStatement::Changes { expected, changes } => {
                let expected = expected.and_then(|text| self.revision(&text));
                let changes = changes
                    .into_iter()
                    .filter_map(|change| self.change(change))
                    .collect();
                Some(Statement::Change(ChangeGroup { expected, changes }))
            }
            RawStatement::Invalid => None,
        }
    }

    fn condition(&mut self, table: Table, condition: RawCondition) -> Condition {
        let (column, span) = condition.column;
        if !table.has_column(&column) {
            let own = table.columns().iter().copied();
            let columns = own.chain([FROM_COLUMN, AGE_COLUMN]);
            let expected = columns.map(ToOwned::to_owned).collect();
            self.error(span, expected, format!("{table} has no column {column}"));
        }
        Condition {
            column,
            op: condition.op,
            value: condition.value.0,
        }
    }

    fn revision(&mut self, (text, span): &Spanned<String>) -> Option<Revision> {
        let revision = text.parse().ok().map(Revision::new);
        if revision.is_none() {
            let expected = vec!["a revision, which is a whole number".to_owned()];
            let hint = "show changes gives the revision in force".to_owned();
            self.error(*span, expected, hint);
        }
        revision
    }

    fn change(&mut self, change: RawChange) -> Option<Change> {
        let version = self.version_name(&change);
        if !self.may_set(&change) {
            return None;
        }
        let RawChange {
            verb,
            kind,
            name: (name, _),
            assignments,
            end,
        } = change;
        let reader = &mut Reader::new(self.text, kind, assignments, end, &mut self.errors);
        reader.check_names(verb == Verb::Set);
        let name = name.as_str();
        Some(match kind {
            ObjectKind::Adapter => Change::Adapter {
                name: name.into(),
                edit: edit(verb, reader, Reader::adapter, Reader::adapter_patch)?,
            },
            ObjectKind::Version => {
                let edit = edit(verb, reader, Reader::version, |_| None);
                Change::Version {
                    name: version?,
                    edit: edit?,
                }
            }
            ObjectKind::Service => Change::Service {
                name: name.into(),
                edit: edit(verb, reader, Reader::service, Reader::service_patch)?,
            },
            ObjectKind::Target => Change::Target {
                name: name.into(),
                edit: target_edit(verb, reader)?,
            },
            ObjectKind::Priority => Change::Priority {
                name: name.into(),
                edit: edit(verb, reader, Reader::priority, Reader::priority_patch)?,
            },
            ObjectKind::Site => Change::Site {
                name: name.into(),
                edit: edit(verb, reader, Reader::site, Reader::site_patch)?,
            },
            ObjectKind::Store => Change::Store {
                name: name.into(),
                edit: edit(verb, reader, Reader::store, Reader::store_patch)?,
            },
        })
    }

    /// Records an error for a `set` of a version or without fields; returns whether the change can
    /// be read further.
    fn may_set(&mut self, change: &RawChange) -> bool {
        if change.verb != Verb::Set {
            return true;
        }
        if change.kind == ObjectKind::Version {
            let hint = "a version never changes, so that its name always means the same weights; \
                        create another version";
            let expected = vec!["create version or delete version".to_owned()];
            self.error(change.name.1, expected, hint.to_owned());
            return false;
        }
        if change.assignments.is_empty() {
            let end = SimpleSpan::from(change.end..change.end);
            let hint = "give at least one field to set".to_owned();
            self.error(end, vec!["FIELD=VALUE".to_owned()], hint);
            return false;
        }
        true
    }

    /// Parses the name of a version, `ADAPTER@VERSION`; returns `None` for other kinds of objects.
    fn version_name(&mut self, change: &RawChange) -> Option<AdapterVersion> {
        if change.kind != ObjectKind::Version {
            return None;
        }
        let (name, span) = &change.name;
        let parsed = AdapterVersion::parse(name);
        if parsed.is_err() {
            let expected = vec!["ADAPTER@VERSION".to_owned()];
            let hint = "a version is named by its adapter, @ and its own name".to_owned();
            self.error(*span, expected, hint);
        }
        parsed.ok()
    }

    fn error(&mut self, span: SimpleSpan, expected: Vec<String>, hint: String) {
        let span = span.start()..span.end();
        let error = QueryError::at(self.text, span, expected, Some(hint));
        self.errors.push(error);
    }
}

/// Reads the edit of an object; returns `None` for `drain` and `resume`, which only targets have.
fn edit<'a, O, P>(
    verb: Verb,
    reader: &mut Reader<'a>,
    create: fn(&mut Reader<'a>) -> Option<O>,
    set: fn(&mut Reader<'a>) -> Option<P>,
) -> Option<Edit<O, P>> {
    match verb {
        Verb::Create => create(reader).map(Edit::Create),
        Verb::Set => set(reader).map(Edit::Set),
        Verb::Delete => Some(Edit::Delete),
        Verb::Drain | Verb::Resume => None,
    }
}

fn target_edit(verb: Verb, reader: &mut Reader<'_>) -> Option<Edit<Target, TargetPatch>> {
    match verb {
        Verb::Drain => Some(Edit::Set(to_lifecycle(Lifecycle::Draining))),
        Verb::Resume => Some(Edit::Set(to_lifecycle(Lifecycle::Active))),
        Verb::Create | Verb::Set | Verb::Delete => {
            edit(verb, reader, Reader::target, Reader::target_patch)
        }
    }
}
