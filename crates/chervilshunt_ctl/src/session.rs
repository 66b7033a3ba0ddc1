//! Running scripts: the whole script is checked first, then its statements are sent one by one.

use std::io::Write as _;

use bytes::Bytes;
use chervilshunt_model::ChangeId;
use chervilshunt_query::{Statement, parse, render_errors};
use tokio::runtime::Runtime;

use crate::answer::{Answer, Problem, StatementRequest};
use crate::client::{self, CallError, Reply};
use crate::exit::Exit;
use crate::options::Options;
use crate::show::{printable, result_text};

/// Runs scripts against one server.
pub(crate) struct Session {
    pub(crate) options: Options,
    runtime: Runtime,
}

impl Session {
    pub(crate) fn new(options: Options) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the process may open its timers and sockets");
        Self { options, runtime }
    }

    /// Checks a script and sends its statements; stops at the first that does not succeed.
    pub(crate) fn run_script(&self, text: &str, origin: &str) -> Exit {
        let statements = match parse(text) {
            Ok(statements) => statements,
            Err(errors) => {
                eprint!("{}", render_errors(text, origin, &errors));
                return Exit::Usage;
            }
        };
        if self.options.check {
            return Exit::Done;
        }
        let count = statements.len();
        if self.options.id.is_some() && count != 1 {
            eprintln!("chervilshuntctl: --id names one change, but there are {count} statements");
            return Exit::Usage;
        }
        for (index, statement) in statements.iter().enumerate() {
            let exit = self.run_statement(statement);
            if exit != Exit::Done {
                let left = count - index - 1;
                if left > 0 {
                    eprintln!("chervilshuntctl: {left} more statements were not sent");
                }
                return exit;
            }
        }
        Exit::Done
    }

    fn run_statement(&self, statement: &Statement) -> Exit {
        match statement {
            Statement::Show(_) => self.show(statement, &self.call(statement, None)),
            Statement::Change(_) => self.settle(statement),
        }
    }

    /// Sends a statement once.
    pub(crate) fn call(
        &self,
        statement: &Statement,
        id: Option<ChangeId>,
    ) -> Result<Reply, CallError> {
        let text = statement.to_string();
        let request = StatementRequest {
            text: &text,
            local: self.options.local,
            id,
        };
        let body =
            serde_json::to_vec(&request).expect("a request holds only text, a flag and an id");
        let server = self
            .options
            .server
            .expect("options have a server unless they are for --check");
        let call = client::call(server, Bytes::from(body), self.options.timeout);
        self.runtime.block_on(call)
    }

    /// Prints the answer to a statement, or why there is none, once its outcome is known.
    pub(crate) fn show(&self, statement: &Statement, result: &Result<Reply, CallError>) -> Exit {
        match result {
            Ok(reply) if reply.status.is_success() => self.show_answer(reply),
            Ok(reply) => show_refusal(statement, reply),
            Err(error) => self.show_no_answer(error),
        }
    }

    fn show_answer(&self, reply: &Reply) -> Exit {
        let answer: Answer = match serde_json::from_slice(&reply.body) {
            Ok(answer) => answer,
            Err(error) => {
                eprintln!(
                    "chervilshuntctl: the server's answer can't be read ({error}); it may be of \
                     another version, or --server is not an instance's operators' address"
                );
                return Exit::BadAnswer;
            }
        };
        if self.options.json {
            let line = serde_json::to_string(&answer).expect("an answer that was read is JSON");
            write_out(&(line + "\n"));
        } else {
            for result in &answer.results {
                write_out(&result_text(result));
            }
        }
        if !answer.silent.is_empty() {
            let names: Vec<_> = answer.silent.iter().map(|name| printable(name)).collect();
            eprintln!(
                "chervilshuntctl: no answer from {}; rows that only they can report are missing above",
                names.join(", ")
            );
        }
        Exit::Done
    }

    fn show_no_answer(&self, error: &CallError) -> Exit {
        let server = self.options.server.map(|server| server.to_string());
        let server = server.unwrap_or_default();
        if error.may_have_run() {
            eprintln!(
                "chervilshuntctl: {server} did not answer: {error}; try again, or use another \
                 instance with --server"
            );
        } else {
            eprintln!(
                "chervilshuntctl: {server} can't be reached: {error}; nothing was sent. Check that \
                 an instance runs there, or give the operators' address of another with --server"
            );
        }
        Exit::Unreachable
    }
}

/// Writes to standard output; ignores errors, since a reader such as `head` may close the pipe
/// early.
fn write_out(text: &str) {
    let mut stdout = std::io::stdout().lock();
    let _written = stdout
        .write_all(text.as_bytes())
        .and_then(|()| stdout.flush());
}

fn show_refusal(statement: &Statement, reply: &Reply) -> Exit {
    eprintln!(
        "chervilshuntctl: refused ({}): {}\n  {}",
        reply.status.as_u16(),
        printable(&Problem::of(reply).reason(reply)),
        printable(&statement.to_string())
    );
    if let Some(seconds) = &reply.retry_after {
        eprintln!("chervilshuntctl: try again in {} s", printable(seconds));
    }
    Exit::Refused
}
