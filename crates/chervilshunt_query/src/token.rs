//! From text to tokens.

use std::fmt;

use chumsky::prelude::*;

/// A token, and the bytes of the text that it stands for.
pub(crate) type Spanned<T> = (T, SimpleSpan);

/// The smallest parts of the language.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Token<'src> {
    /// A keyword, name, field or value; which of them is known from where it stands.
    Word(&'src str),
    /// A name or value in quotes, without them and with its escapes resolved.
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

/// Returns whether a character may stand in a word without quotes.
pub(crate) const fn is_word_char(c: char) -> bool {
    c.is_ascii_alphanumeric()
        || matches!(
            c,
            '_' | '.' | ':' | '/' | '@' | '+' | '-' | '[' | ']' | ',' | '*' | '%'
        )
}

/// Puts a text in quotes, with escapes.
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

/// Reads a text as tokens; white space and comments separate them.
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
