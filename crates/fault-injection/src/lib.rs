//! System call faults for tests: a plan says which calls of a process fail, how and when, and what its wall clock shows.
//!
//! A test builds a [`FaultPlan`] and starts the process with [`preload`]; the library of
//! `copperroute-fault-injection-preload`, loaded before libc by `LD_PRELOAD`, carries it out. A test's package needs both
//! packages as dev-dependencies, the second so that the library is built.
//!
//! Only calls that go through libc's symbols can fail: std, socket2 and nix use them. rustix calls the kernel itself, so
//! the event loop's epoll, timerfd and eventfd calls are out of reach; a process that is stopped and continued
//! (`SIGSTOP`, `SIGCONT`) has its waits interrupted.

// Not yet: calls and plans have names that say it.
#![allow(missing_docs)]

mod call;
mod errno;
mod parse;
mod plan;

pub use call::Call;
pub use errno::Errno;
pub use parse::Invalid;
pub use plan::{CallRule, FaultPlan, OneIn, Span, WallStep};

use std::env;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The environment variable that hands in the plan.
pub const VARIABLE: &str = "COPPERROUTE_FAULTS";
/// File name of the library.
const LIBRARY: &str = "libcopperroute_fault_injection_preload.so";

/// The library to be preloaded, as cargo has built it for the running test.
///
/// # Panics
/// If it isn't there: the test's package lacks the dev-dependency `copperroute-fault-injection-preload`.
pub fn library() -> PathBuf {
    let program = env::current_exe().expect("the running test has a path");
    let folders =
        program.ancestors().skip(1).take(2).flat_map(|folder| [folder.to_owned(), folder.join("deps")]);
    let found = folders.map(|folder| folder.join(LIBRARY)).find(|path| path.is_file());
    found.unwrap_or_else(|| panic!("{LIBRARY} is not beside {}", program.display()))
}

/// Lets this command run with the plan.
pub fn preload<'c>(command: &'c mut Command, plan: &FaultPlan) -> &'c mut Command {
    preload_from(&library(), command, plan)
}

/// Lets this command run with the plan, carried out by the library at this path.
pub fn preload_from<'c>(library: &Path, command: &'c mut Command, plan: &FaultPlan) -> &'c mut Command {
    command.env("LD_PRELOAD", library).env(VARIABLE, plan.to_string())
}
