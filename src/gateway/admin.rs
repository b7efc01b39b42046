//! The admin port: readiness, metrics and status.

use std::fmt::Write;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::clock;
use crate::gateway::shared::Shared;

/// Answers on the admin port until the process ends.
pub(crate) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(Rc::clone(&shared), stream));
            }
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(10)).await,
        }
    }
}

async fn serve(shared: Rc<Shared>, stream: TcpStream) {
    let handler = service::service_fn(move |request: http::Request<Incoming>| {
        let response = answer(&shared, request.uri().path());
        async move { Ok::<_, std::convert::Infallible>(response) }
    });
    // A caller that breaks off has no further interest in the answer.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), handler)
        .await;
}

fn answer(shared: &Shared, path: &str) -> http::Response<Full<Bytes>> {
    let (status, text) = match path {
        "/live" => (200, "live\n".to_owned()),
        "/metrics" => (200, metrics(shared)),
        "/admin/status" => (200, status(shared)),
        path if path == "/ready" || path == shared.settings.ready_path => ready(shared),
        _ => (404, "no such page\n".to_owned()),
    };
    let mut response = http::Response::new(Full::new(text.into()));
    if let Ok(status) = http::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
    response
}

fn ready(shared: &Shared) -> (u16, String) {
    match shared.is_ready() {
        true => (200, "ready\n".to_owned()),
        false => (503, "not ready\n".to_owned()),
    }
}

fn metrics(shared: &Shared) -> String {
    let mut text = String::new();
    for (name, value) in shared.counters.list() {
        // Writing to a string does not fail.
        let _ = writeln!(text, "gateway_{name}_total {value}");
    }
    let _ = writeln!(text, "gateway_running {}", shared.running.get());
    text
}

fn status(shared: &Shared) -> String {
    let now = clock::now();
    let registry = shared.registry.borrow();
    let targets: Vec<_> = registry
        .iter()
        .map(|target| {
            serde_json::json!({
                "target": target.name,
                "service": target.service,
                "domain": target.domain,
                "state": format!("{:?}", target.state).to_lowercase(),
                "cold": target.is_cold(now),
            })
        })
        .collect();
    let catalog = shared.catalog.borrow();
    let table = shared.table.borrow();
    let status = serde_json::json!({
        "host": shared.settings.host,
        "ready": shared.is_ready(),
        "version": catalog.as_ref().map(|catalog| catalog.version()),
        "taken_out": shared.taken_out.borrow().keys().collect::<Vec<_>>(),
        "daemons": shared.peers.borrow().live(now),
        "steward": table.as_ref().map(|(_, table)| table.host.clone()),
        "targets": targets,
    });
    format!("{status:#}\n")
}
