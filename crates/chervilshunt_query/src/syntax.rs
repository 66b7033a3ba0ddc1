//! Parses tokens into syntax: statements whose fields and values are still unchecked text.

use chervilshunt_model::ObjectKind;
use chumsky::input::{Input as _, ValueInput};
use chumsky::prelude::*;

use crate::Table;
use crate::statement::Op;
use crate::token::{Spanned, Token};

/// A parsed statement, before names and values are checked.
#[derive(Clone, Debug)]
pub(crate) enum RawStatement {
    Show {
        table: Table,
        conditions: Vec<RawCondition>,
    },
    Changes {
        expected: Option<Spanned<String>>,
        changes: Vec<RawChange>,
    },
    /// The placeholder for a statement that could not be parsed.
    Invalid,
}

/// A parsed condition, before its column is checked.
#[derive(Clone, Debug)]
pub(crate) struct RawCondition {
    pub(crate) column: Spanned<String>,
    pub(crate) op: Op,
    pub(crate) value: Spanned<String>,
}

/// A parsed change, before its name and fields are checked.
#[derive(Clone, Debug)]
pub(crate) struct RawChange {
    pub(crate) verb: Verb,
    pub(crate) kind: ObjectKind,
    pub(crate) name: Spanned<String>,
    pub(crate) assignments: Vec<Assignment>,
    /// The byte offset of the end of the change, where errors on missing fields point.
    pub(crate) end: usize,
}

/// A parsed `FIELD=VALUE`, before either is checked.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    pub(crate) field: Spanned<String>,
    pub(crate) value: Spanned<String>,
}

/// The operation of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verb {
    Create,
    Set,
    Delete,
    Drain,
    Resume,
}

type Error<'tokens, 'src> = extra::Err<Rich<'tokens, Token<'src>>>;

/// Parses tokens into statements; returns those that could be parsed, and the errors.
pub(crate) fn parse<'tokens, 'src: 'tokens>(
    tokens: &'tokens [Spanned<Token<'src>>],
    text_len: usize,
) -> (Vec<RawStatement>, Vec<Rich<'tokens, Token<'src>>>) {
    let end = SimpleSpan::from(text_len..text_len);
    let input = tokens.split_token_span(end);
    let (statements, errors) = script().parse(input).into_output_errors();
    (statements.unwrap_or_default(), errors)
}

fn script<'tokens, 'src: 'tokens, I>()
-> impl Parser<'tokens, I, Vec<RawStatement>, Error<'tokens, 'src>>
where
    I: ValueInput<'tokens, Token = Token<'src>, Span = SimpleSpan>,
{
    let semicolons = just(Token::Semicolon).repeated();
    statement()
        .recover_with(via_parser(invalid_statement()))
        .separated_by(just(Token::Semicolon).repeated().at_least(1))
        .collect()
        .padded_by(semicolons)
        .then_ignore(end())
}

/// Recovers from a syntax error: skips to the end of the statement, over whole groups in braces.
fn invalid_statement<'tokens, 'src: 'tokens, I>()
-> impl Parser<'tokens, I, RawStatement, Error<'tokens, 'src>>
where
    I: ValueInput<'tokens, Token = Token<'src>, Span = SimpleSpan>,
{
    let group = none_of(Token::Close)
        .repeated()
        .delimited_by(just(Token::Open), just(Token::Close));
    let other = none_of([Token::Semicolon, Token::Open]).ignored();
    group
        .or(other)
        .repeated()
        .at_least(1)
        .to(RawStatement::Invalid)
}

fn statement<'tokens, 'src: 'tokens, I>()
-> impl Parser<'tokens, I, RawStatement, Error<'tokens, 'src>> + Clone
where
    I: ValueInput<'tokens, Token = Token<'src>, Span = SimpleSpan>,
{
    let group = change()
        .separated_by(just(Token::Semicolon).repeated().at_least(1))
        .at_least(1)
        .allow_trailing()
        .collect()
        .delimited_by(just(Token::Open), just(Token::Close));
    let one = change().map(|change| vec![change]);
    let guard = keyword("if")
        .ignore_then(keyword("revision"))
        .ignore_then(just(Token::Equal))
        .ignore_then(text("a revision"));
    let changes = guard
        .or_not()
        .then(group.or(one))
        .map(|(expected, changes)| RawStatement::Changes { expected, changes });
    show().or(changes)
}

fn show<'tokens, 'src: 'tokens, I>()
-> impl Parser<'tokens, I, RawStatement, Error<'tokens, 'src>> + Clone
where
    I: ValueInput<'tokens, Token = Token<'src>, Span = SimpleSpan>,
{
    let table = choice(Table::ALL.map(|table| keyword(table.as_str()).to(table)));
    let op = choice((
        just(Token::Equal).to(Op::Equal),
        just(Token::NotEqual).to(Op::NotEqual),
        just(Token::Prefix).to(Op::Prefix),
    ));
    let condition = text("a column")
        .then(op)
        .then(text("a value"))
        .map(|((column, op), value)| RawCondition { column, op, value });
    let conditions = keyword("where").ignore_then(
        condition
            .separated_by(keyword("and"))
            .at_least(1)
            .collect::<Vec<_>>(),
    );
    keyword("show")
        .ignore_then(table)
        .then(conditions.or_not())
        .map(|(table, conditions)| RawStatement::Show {
            table,
            conditions: conditions.unwrap_or_default(),
        })
}

fn change<'tokens, 'src: 'tokens, I>()
-> impl Parser<'tokens, I, RawChange, Error<'tokens, 'src>> + Clone
where
    I: ValueInput<'tokens, Token = Token<'src>, Span = SimpleSpan>,
{
    let object = choice(ObjectKind::ALL.map(|kind| keyword(kind.as_str()).to(kind)));
    let target = keyword(ObjectKind::Target.as_str()).to(ObjectKind::Target);
    let assignments = text("a field")
        .then_ignore(just(Token::Equal))
        .then(text("a value"))
        .map(|(field, value)| Assignment { field, value })
        .repeated()
        .collect::<Vec<_>>();
    let with_fields = choice((
        keyword("create").to(Verb::Create),
        keyword("set").to(Verb::Set),
    ))
    .then(object.clone())
    .then(text("a name"))
    .then(assignments);
    let delete = keyword("delete").to(Verb::Delete).then(object);
    let lifecycle = choice((
        keyword("drain").to(Verb::Drain),
        keyword("resume").to(Verb::Resume),
    ))
    .then(target);
    let without_fields = choice((delete, lifecycle))
        .then(text("a name"))
        .map(|head| (head, Vec::new()));
    with_fields
        .or(without_fields)
        .map_with(|(((verb, kind), name), assignments), e| RawChange {
            verb,
            kind,
            name,
            assignments,
            end: SimpleSpan::end(&e.span()),
        })
}

fn keyword<'tokens, 'src: 'tokens, I>(
    word: &'static str,
) -> impl Parser<'tokens, I, (), Error<'tokens, 'src>> + Clone
where
    I: ValueInput<'tokens, Token = Token<'src>, Span = SimpleSpan>,
{
    just(Token::Word(word)).ignored()
}

fn text<'tokens, 'src: 'tokens, I>(
    label: &'static str,
) -> impl Parser<'tokens, I, Spanned<String>, Error<'tokens, 'src>> + Clone
where
    I: ValueInput<'tokens, Token = Token<'src>, Span = SimpleSpan>,
{
    select! {
        Token::Word(word) => word.to_owned(),
        Token::Quoted(text) => text,
    }
    .labelled(label)
    .map_with(|text, e| (text, e.span()))
}
