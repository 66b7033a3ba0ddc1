//! The operators' command-line tool.
//!
//! It reads statements from its arguments, a script on standard input or an interactive prompt,
//! checks their syntax locally, sends them one by one to an instance and prints the answers.
//! See `docs/operators/ctl.md`.

mod answer;
mod client;
mod exit;
mod options;
mod prompt;
mod session;
mod settle;
mod show;

use std::ffi::OsString;
use std::io::{IsTerminal as _, Read as _};

pub use exit::Exit;

use crate::options::{Command, Options};
use crate::session::Session;

/// The environment variable with the server's address, used if the command line gives none.
pub const SERVER_VARIABLE: &str = "CHERVILSHUNT_SERVER";

/// Runs the tool; `server` is the value of [`SERVER_VARIABLE`].
pub fn run(arguments: impl Iterator<Item = OsString>, server: Option<OsString>) -> Exit {
    match options::parse(arguments, server) {
        Ok(Command::Help) => {
            print!("{}", options::HELP);
            Exit::Done
        }
        Ok(Command::Version) => {
            println!("chervilshuntctl {}", env!("CARGO_PKG_VERSION"));
            Exit::Done
        }
        Ok(Command::Run(options)) => run_statements(options),
        Err(error) => {
            eprintln!("chervilshuntctl: {error}\nTry --help.");
            Exit::Usage
        }
    }
}

fn run_statements(options: Options) -> Exit {
    let statements = options.statements.clone();
    let session = Session::new(options);
    if let Some(text) = statements {
        return session.run_script(&text, "command line");
    }
    if std::io::stdin().is_terminal() {
        return prompt::run(&session);
    }
    let mut text = String::new();
    if let Err(error) = std::io::stdin().read_to_string(&mut text) {
        eprintln!("chervilshuntctl: can't read the script on standard input: {error}");
        return Exit::Usage;
    }
    session.run_script(&text, "standard input")
}
