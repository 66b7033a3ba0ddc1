//! Locates and builds the executables of the workspace.

use std::env;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::OnceLock;

use snafu::{ResultExt as _, ensure};

use super::error::{BuildSnafu, FileSnafu, FleetError, MissingProgramSnafu};

const DAEMON: &str = "chervilshuntd";
const CTL: &str = "chervilshuntctl";
const STANDIN: &str = "chervilshunt_standin";
const PACKAGES: [&str; 3] = [
    "chervilshunt_daemon",
    "chervilshunt_ctl",
    "chervilshunt_standin",
];

/// Cargo's directory for test binaries, inside the directory with the executables.
const TEST_FOLDER: &str = "deps";

/// The executables that a fleet starts.
#[derive(Clone, Debug)]
pub struct Binaries {
    folder: PathBuf,
}

impl Binaries {
    /// Locates the executables in the directory of the running one, after building them.
    ///
    /// `cargo run -p chervilshunt_standin` builds only the stand-ins, and `cargo test` of one crate
    /// does not build the executables of other crates. If the `CARGO` variable is set, this method
    /// therefore runs `cargo build` with the profile of the running executable, once per process.
    /// Otherwise the executables must already exist.
    ///
    /// # Errors
    /// Returns an error if the build fails or the path of the running executable is unknown.
    pub fn locate() -> Result<Self, FleetError> {
        static BUILT: OnceLock<bool> = OnceLock::new();

        let folder = program_folder()?;
        if let Some(cargo) = env::var_os("CARGO") {
            let mut status = None;
            let built = *BUILT.get_or_init(|| {
                status = build(Path::new(&cargo), &folder).ok();
                status.is_some_and(|status| status.success())
            });
            if !built {
                return match status {
                    Some(status) => BuildSnafu { status }.fail(),
                    None => MissingProgramSnafu {
                        program: DAEMON,
                        folder,
                    }
                    .fail(),
                };
            }
        }
        Ok(Self { folder })
    }

    /// Returns the path of `chervilshuntd`.
    ///
    /// # Errors
    /// Returns an error if the file does not exist.
    pub fn daemon(&self) -> Result<PathBuf, FleetError> {
        self.program(DAEMON)
    }

    /// Returns the path of `chervilshuntctl`.
    ///
    /// # Errors
    /// Returns an error if the file does not exist.
    pub fn ctl(&self) -> Result<PathBuf, FleetError> {
        self.program(CTL)
    }

    /// Returns the path of `chervilshunt_standin`.
    ///
    /// # Errors
    /// Returns an error if the file does not exist.
    pub fn standin(&self) -> Result<PathBuf, FleetError> {
        self.program(STANDIN)
    }

    fn program(&self, program: &'static str) -> Result<PathBuf, FleetError> {
        let path = self.folder.join(program);
        ensure!(
            path.is_file(),
            MissingProgramSnafu {
                program,
                folder: &self.folder
            }
        );
        Ok(path)
    }
}

fn program_folder() -> Result<PathBuf, FleetError> {
    let exe = env::current_exe().context(FileSnafu {
        path: "the running program",
    })?;
    let mut folder = exe.parent().unwrap_or(Path::new(".")).to_owned();
    if folder.ends_with(TEST_FOLDER) {
        folder.pop();
    }
    Ok(folder)
}

fn build(cargo: &Path, folder: &Path) -> std::io::Result<std::process::ExitStatus> {
    let profile = match folder.file_name().and_then(|name| name.to_str()) {
        Some("debug") | None => "dev",
        Some(profile) => profile,
    };
    let mut command = Command::new(cargo);
    command
        .arg("build")
        .args(["--quiet", "--bins", "--profile", profile])
        .args(PACKAGES.iter().flat_map(|package| ["-p", package]))
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .stdin(Stdio::null())
        .stdout(Stdio::null());
    if let Some(target) = folder.parent() {
        command.arg("--target-dir").arg(target);
    }
    command.status()
}
