//! `report`: service-level burn over all daemons, or of one gateway daemon.

use std::net::SocketAddr;
use std::path::Path;
use std::time::SystemTime;

use crate::burn;
use crate::cmd;
use crate::gateway;

/// Prints the report of the daemon whose admin port is `admin`, and writes a
/// page to `html` if that is given.
///
/// # Errors
/// Fails if the daemon does not answer or the page can't be written.
pub fn run(admin: SocketAddr, html: Option<&Path>, format: cmd::Format) -> Result<(), cmd::Error> {
    // A gateway's daemon leaves out what only plots need unless it is asked for.
    let page = match html {
        Some(_) => "/admin/burn?series=all",
        None => "/admin/burn",
    };
    let answer: gateway::burn::Page = cmd::Admin::new(admin).json(page)?;
    if let Some(path) = html {
        let now = humantime::format_rfc3339_seconds(SystemTime::now()).to_string();
        cmd::write(path, burn::page::render(&answer.report, &now)?.as_bytes())?;
    }
    format.print(&answer, |answer| {
        let routes = cmd::gateway::routes_text(&answer.routes);
        format!("{}{routes}", answer.report)
    });
    Ok(())
}
