//! The HTTP server on the admin port: readiness, metrics, and pages for operators.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};

use crate::clock;
use crate::finding;
use crate::gateway::adapter::Topic;
use crate::gateway::counters;
use crate::gateway::exchange::explain;
use crate::gateway::quarantine;
use crate::gateway::query;
use crate::gateway::shared::Shared;
use crate::gateway::status;

/// Pause after a failed accept.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Serves requests on the admin port until the process ends.
pub(crate) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(Rc::clone(&shared), stream));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}

async fn serve(shared: Rc<Shared>, stream: TcpStream) {
    let handler = service::service_fn(move |request: http::Request<Incoming>| {
        let response = respond(&shared, request.method(), request.uri()).into_response();
        async move { Ok::<_, std::convert::Infallible>(response) }
    });
    // Fails when the client disconnects or sends invalid HTTP; nobody else is
    // affected.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), handler)
        .await;
}

/// Media type of a response.
#[derive(Clone, Copy)]
enum Media {
    Text,
    Json,
    Metrics,
}

impl Media {
    fn name(self) -> &'static str {
        match self {
            Self::Text => "text/plain; charset=utf-8",
            Self::Json => "application/json",
            Self::Metrics => "application/openmetrics-text; version=1.0.0; charset=utf-8",
        }
    }
}

/// A response of the admin port.
struct Page {
    status: http::StatusCode,
    media: Media,
    text: String,
}

impl Page {
    /// Returns a plain-text page.
    fn text(status: http::StatusCode, text: impl Into<String>) -> Self {
        Self {
            status,
            media: Media::Text,
            text: text.into(),
        }
    }

    /// Returns `value` as a JSON page, or a page with status 500 if it can't be
    /// encoded.
    fn json(value: &impl Serialize) -> Self {
        match serde_json::to_string(value) {
            Ok(text) => Self {
                status: http::StatusCode::OK,
                media: Media::Json,
                text: text + "\n",
            },
            Err(error) => Self::text(
                http::StatusCode::INTERNAL_SERVER_ERROR,
                format!("the page can't be encoded as JSON: {error}\n"),
            ),
        }
    }

    fn into_response(self) -> http::Response<Full<Bytes>> {
        let mut response = http::Response::new(Full::new(self.text.into()));
        *response.status_mut() = self.status;
        let media = http::HeaderValue::from_static(self.media.name());
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, media);
        response
    }
}

/// Returns the page at `uri`; faulty parameters give a page with status 400.
fn respond(shared: &Shared, method: &http::Method, uri: &http::Uri) -> Page {
    let path = uri.path();
    let page = match path {
        "/admin/status" => status_page(shared, uri),
        "/admin/history" => history_page(shared, uri),
        "/admin/explain" => explain_page(shared, uri),
        "/admin/requests" => requests_page(shared, uri),
        "/admin/burn" => burn_page(shared, uri),
        "/admin/quarantine" => quarantine_page(shared, method, uri),
        _ => Ok(plain_page(shared, path)),
    };
    page.unwrap_or_else(|findings| {
        Page::text(http::StatusCode::BAD_REQUEST, format!("{findings}\n"))
    })
}

fn status_page(shared: &Shared, uri: &http::Uri) -> Result<Page, finding::Findings> {
    query::Query::parse(uri.path(), uri.query(), &[])?;
    Ok(Page::json(&status::read(shared)))
}

fn history_page(shared: &Shared, uri: &http::Uri) -> Result<Page, finding::Findings> {
    query::Query::parse(uri.path(), uri.query(), &[])?;
    let history = shared.history.read(clock::now(), &shared.settings.host);
    Ok(Page::json(&history))
}

/// Returns the service-level burn, with its series if `series=all` is given.
fn burn_page(shared: &Shared, uri: &http::Uri) -> Result<Page, finding::Findings> {
    let query = query::Query::parse(uri.path(), uri.query(), &["series"])?;
    let settings = &shared.settings;
    let slo = settings.service_level.slo_ppm;
    let burn = shared.burn.page(&settings.host, slo, clock::now());
    match query.get("series") {
        None => Ok(Page::json(&burn.without_series())),
        Some("all") => Ok(Page::json(&burn)),
        Some(other) => {
            let mut findings = finding::Findings::default();
            let place = format!("{}, parameter series", uri.path());
            findings.add(place, "all", format!("{other:?}"));
            Err(findings)
        }
    }
}

/// Returns the requests that are refused since targets crashed in attempts of them. A POST
/// with `lift=DIGEST` ends the quarantine of one on all daemons.
fn quarantine_page(
    shared: &Shared,
    method: &http::Method,
    uri: &http::Uri,
) -> Result<Page, finding::Findings> {
    let query = query::Query::parse(uri.path(), uri.query(), &["lift"])?;
    let now = clock::now();
    let mut quarantine = shared.quarantine.borrow_mut();
    let Some(text) = query.get("lift") else {
        return Ok(Page::json(&quarantine.list(now)));
    };
    let mut findings = finding::Findings::default();
    if method != http::Method::POST {
        findings.add(uri.path(), "the method POST beside lift", method.as_str());
        return Err(findings);
    }
    let digest: quarantine::Digest = match text.parse() {
        Ok(digest) => digest,
        Err(error) => {
            let place = format!("{}, parameter lift: {error}", uri.path());
            findings.add(place, "a digest", format!("{text:?}"));
            return Err(findings);
        }
    };
    Ok(match quarantine.lift(digest, now) {
        true => Page::text(http::StatusCode::OK, "lifted\n"),
        false => Page::text(http::StatusCode::NOT_FOUND, "no such request is refused\n"),
    })
}

fn requests_page(shared: &Shared, uri: &http::Uri) -> Result<Page, finding::Findings> {
    let query = query::Query::parse(uri.path(), uri.query(), &["id"])?;
    Ok(match query.get("id") {
        Some(request) => request_page(shared, request),
        None => Page::json(&shared.recent.all()),
    })
}

/// Explains how a request would be routed, or returns a past request by its identifier.
fn explain_page(shared: &Shared, uri: &http::Uri) -> Result<Page, finding::Findings> {
    let names = ["host", "path", "key", "request"];
    let query = query::Query::parse(uri.path(), uri.query(), &names)?;
    let [host, path, key, request] = names.map(|name| query.get(name));
    match (request, host.or(path).or(key)) {
        (Some(request), None) => Ok(request_page(shared, request)),
        (Some(_), Some(other)) => {
            let mut findings = finding::Findings::default();
            let place = format!("{}, parameter request", uri.path());
            findings.add(place, "no other parameter beside it", format!("{other:?}"));
            Err(findings)
        }
        (None, _) => {
            let question = explain::Question::new(uri.path(), host, path, key)?;
            Ok(Page::json(&explain::explain(shared, &question)))
        }
    }
}

/// Returns the entries of one request, or a page with status 404 if none is kept.
fn request_page(shared: &Shared, request: &str) -> Page {
    let found = shared.recent.find(request);
    if !found.is_empty() {
        return Page::json(&found);
    }
    let text = format!(
        "request {request:?} is not kept by this daemon: it was answered in time, was sent to \
         another daemon, or ended too long ago\n"
    );
    Page::text(http::StatusCode::NOT_FOUND, text)
}

/// Returns a page that takes no parameters.
fn plain_page(shared: &Shared, path: &str) -> Page {
    match path {
        "/live" => Page::text(http::StatusCode::OK, "live\n"),
        "/metrics" => Page {
            status: http::StatusCode::OK,
            media: Media::Metrics,
            text: metrics(shared),
        },
        path if path == "/ready" || path == shared.settings.ready_path => ready(shared),
        _ => Page::text(http::StatusCode::NOT_FOUND, "no such page\n"),
    }
}

fn ready(shared: &Shared) -> Page {
    match shared.is_ready() {
        true => Page::text(http::StatusCode::OK, "ready\n"),
        false => Page::text(http::StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

fn metrics(shared: &Shared) -> String {
    let catalog = shared.catalog.borrow();
    let table = shared.table.borrow();
    shared.counters.render(counters::GaugeValues {
        version: catalog.as_ref().map_or(0, |catalog| catalog.version()),
        log_era: shared.log_era.get(),
        coordinator: table
            .as_ref()
            .is_some_and(|(_, table)| table.incarnation == shared.incarnation),
        reader: !shared.has_reader(),
        running: shared.in_flight.get(),
        response_bytes: shared.client.memory().held(),
        skipped: catalog
            .as_ref()
            .map_or(0, |catalog| catalog.skipped().0.len()),
        view_ages: {
            let (views, now) = (shared.views.borrow(), clock::now());
            Topic::ALL.map(|topic| views.age(topic, now))
        },
    })
}
