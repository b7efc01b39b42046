//! Stand-ins and checks of the review's scripts: the platform's log, upstreams, clients, and
//! the platform's part that fills the settings template and starts daemons.
//!
//! `driver CASE FOLDER` runs one case from the root of the repository. It exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cases;
mod daemon;
mod http;
mod record;
mod store;
mod upstream;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: driver CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match cases::run(case, folder.as_ref(), trouble) {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
