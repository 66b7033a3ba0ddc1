//! The interactive prompt.

use chervilshunt_query::{QueryError, parse};
use rustyline::completion::Completer;
use rustyline::error::ReadlineError;
use rustyline::highlight::Highlighter;
use rustyline::hint::Hinter;
use rustyline::history::MemHistory;
use rustyline::validate::{ValidationContext, ValidationResult, Validator};
use rustyline::{Config, Editor, Helper};

use crate::exit::Exit;
use crate::session::Session;

const PROMPT: &str = "chervilshunt> ";
const QUIT_WORDS: [&str; 2] = ["quit", "exit"];

/// Continues the input on the next line while a brace is open, so that a group may span lines.
struct GroupHelper;

impl Validator for GroupHelper {
    fn validate(&self, cx: &mut ValidationContext<'_>) -> rustyline::Result<ValidationResult> {
        let input = cx.input();
        let has_open_brace = input.matches('{').count() > input.matches('}').count();
        let ends_early = parse(input).is_err_and(|errors| errors.iter().any(is_at_end));
        Ok(if has_open_brace && ends_early {
            ValidationResult::Incomplete
        } else {
            ValidationResult::Valid(None)
        })
    }
}

/// Returns whether an error is at the end of the input, where it marks no characters.
const fn is_at_end(error: &QueryError) -> bool {
    error.length == 0
}

impl Completer for GroupHelper {
    type Candidate = String;
}

impl Hinter for GroupHelper {
    type Hint = String;
}

impl Highlighter for GroupHelper {}

impl Helper for GroupHelper {}

/// Reads and runs scripts until the end of the input or `quit`.
///
/// A refused statement does not end the session; the exit code is that of the last script.
pub(crate) fn run(session: &Session) -> Exit {
    let mut editor = match Editor::with_history(Config::default(), MemHistory::new()) {
        Ok(editor) => editor,
        Err(error) => {
            eprintln!("chervilshuntctl: can't use the terminal: {error}");
            return Exit::Usage;
        }
    };
    editor.set_helper(Some(GroupHelper));
    println!("Type statements, or quit. The language is described in docs/LANGUAGE.md.");
    let mut exit = Exit::Done;
    loop {
        let line = match editor.readline(PROMPT) {
            Ok(line) => line,
            Err(ReadlineError::Interrupted) => continue,
            Err(ReadlineError::Eof) => return exit,
            Err(error) => {
                eprintln!("chervilshuntctl: can't read from the terminal: {error}");
                return Exit::Usage;
            }
        };
        if QUIT_WORDS.contains(&line.trim()) {
            return exit;
        }
        if line.trim().is_empty() {
            continue;
        }
        // The history is optional; a line that can't be added to it is run anyway.
        let _added = editor.add_history_entry(&line);
        exit = session.run_script(&line, "prompt");
    }
}
