//! The `chicorystage-testbed` program, a thin wrapper around the library's `cli` module.

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    chicorystage_testbed::cli::run(&arguments)
}
