//! The operators' command line.

use std::process::ExitCode;

use masticstream::cli::Command;
use masticstream::cli::errors;
use masticstream::cli::operator;

#[tokio::main]
async fn main() -> ExitCode {
    let ended = match Command::parse(std::env::args_os().skip(1)) {
        Ok(command) => operator::run(&command).await,
        Err(error) => Err(error),
    };
    match ended {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => errors::report(&error),
    }
}
