//! System call faults for tests. A plan says which calls of a process fail, when, with which errors, and by how much
//! its wall clock is off.
//!
//! A test builds a [`FaultPlan`] and starts the process with [`preload`]; the library of
//! `copperroute-fault-injection-preload`, loaded before libc by `LD_PRELOAD`, injects the faults. A test's package
//! needs both packages as dev-dependencies, the second so that the library is built.
//!
//! Only calls through libc's symbols can fail: std, socket2 and nix use them. rustix calls the kernel directly, so the
//! event loop's epoll, timerfd and eventfd calls can't fail this way. To interrupt its waits, stop and continue the
//! process (`SIGSTOP`, `SIGCONT`).

// Missing: items whose names describe them have no doc comments yet.
#![allow(missing_docs)]

mod call;
mod errno;
mod parse;
mod plan;

pub use call::Call;
pub use errno::Errno;
pub use parse::ParsePlanError;
pub use plan::{CallRule, FaultPlan, OneIn, Span, WallStep};

use std::env;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The environment variable that holds the plan.
pub const VARIABLE: &str = "COPPERROUTE_FAULTS";
/// File name of the library.
const LIBRARY: &str = "libcopperroute_fault_injection_preload.so";

/// Path of the library to preload, as cargo built it for the running test.
///
/// # Panics
/// If the library does not exist: the test's package lacks the dev-dependency `copperroute-fault-injection-preload`.
pub fn library() -> PathBuf {
    let program = env::current_exe().expect("the running test has a path");
    let folders =
        program.ancestors().skip(1).take(2).flat_map(|folder| [folder.to_owned(), folder.join("deps")]);
    let found = folders.map(|folder| folder.join(LIBRARY)).find(|path| path.is_file());
    found.unwrap_or_else(|| {
        panic!(
            "{LIBRARY} is neither beside {} nor in the folder above; add the dev-dependency that builds it",
            program.display()
        )
    })
}

/// Sets the command's environment so that it runs with the plan.
pub fn preload<'c>(command: &'c mut Command, plan: &FaultPlan) -> &'c mut Command {
    preload_from(&library(), command, plan)
}

/// The same with the library at this path.
pub fn preload_from<'c>(library: &Path, command: &'c mut Command, plan: &FaultPlan) -> &'c mut Command {
    command.env("LD_PRELOAD", library).env(VARIABLE, plan.to_string())
}
