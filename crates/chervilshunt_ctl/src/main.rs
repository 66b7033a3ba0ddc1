//! The binary of the command-line tool: passes its arguments and environment to the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1);
    let server = std::env::var_os(chervilshunt_ctl::SERVER_VARIABLE);
    chervilshunt_ctl::run(arguments, server).into()
}
