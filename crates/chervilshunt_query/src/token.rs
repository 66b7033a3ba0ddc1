//! Splits text into tokens.

use std::fmt;

use chumsky::prelude::*;

/// An item, such as a token, with its byte range in the text.
pub(crate) type Spanned<T> = (T, SimpleSpan);

/// A token of the language.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Token<'src> {
    /// A keyword, name, field or value; the parser decides which from the position.
    Word(&'src str),
    /// A quoted name or value, without the quotes and with its escapes resolved.
    Quoted(String),
    /// `;`
    Semicolon,
    /// `{`
    Open,
    /// `}`
    Close,
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `~`
    Prefix,
}

impl fmt::Display for Token<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Word(word) => f.write_str(word),
            Self::Quoted(text) => f.write_str(&quote(text)),
            Self::Semicolon => f.write_str(";"),
            Self::Open => f.write_str("{"),
            Self::Close => f.write_str("}"),
            Self::Equal => f.write_str("="),
            Self::NotEqual => f.write_str("!="),
            Self::Prefix => f.write_str("~"),
        }
    }
}

/// Returns whether a character is allowed in an unquoted word.
pub(crate) const fn is_word_char(c: char) -> bool {
    c.is_ascii_alphanumeric()
        || matches!(
            c,
            '_' | '.' | ':' | '/' | '@' | '+' | '-' | '[' | ']' | ',' | '*' | '%'
        )
}

/// Quotes and escapes a text.
pub(crate) fn quote(text: &str) -> String {
    let mut quoted = String::with_capacity(text.len() + 2);
    quoted.push('"');
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            '\r' => quoted.push_str("\\r"),
            '\t' => quoted.push_str("\\t"),
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

/// Returns the lexer, which splits a text into tokens separated by white space and comments.
pub(crate) fn lexer<'src>()
-> impl Parser<'src, &'src str, Vec<Spanned<Token<'src>>>, extra::Err<Rich<'src, char>>> {
    let word = any()
        .filter(|c: &char| is_word_char(*c))
        .repeated()
        .at_least(1)
        .to_slice()
        .map(Token::Word);
    let escape = just('\\').ignore_then(choice((
        just('"'),
        just('\\'),
        just('n').to('\n'),
        just('r').to('\r'),
        just('t').to('\t'),
    )));
    let quoted = none_of("\"\\\n")
        .or(escape)
        .repeated()
        .collect::<String>()
        .delimited_by(just('"'), just('"'))
        .map(Token::Quoted);
    let symbol = choice((
        just(';').to(Token::Semicolon),
        just('{').to(Token::Open),
        just('}').to(Token::Close),
        just('=').to(Token::Equal),
        just("!=").to(Token::NotEqual),
        just('~').to(Token::Prefix),
    ));
    let comment = just('#')
        .then(none_of('\n').repeated())
        .ignored()
        .labelled("a comment");
    let space = any()
        .filter(|c: &char| c.is_whitespace())
        .ignored()
        .or(comment)
        .repeated();
    choice((word, quoted, symbol))
        .map_with(|token, e| (token, e.span()))
        .padded_by(space)
        .repeated()
        .collect()
        .then_ignore(end())
        .padded_by(space)
}
