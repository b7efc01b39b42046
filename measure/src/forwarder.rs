//! A bare forwarder: `astra` and `ureq` without decisions.

use std::io::Read;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Largest answer that is forwarded, in bytes.
const MAX_ANSWER: u64 = 64 << 20;

/// Forwards every request on `listen` to `to` until the process ends.
pub fn serve(listen: SocketAddr, to: SocketAddr) -> ExitCode {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .max_idle_connections(256)
        .max_idle_connections_per_host(256)
        .build();
    let agent = config.new_agent();
    let served = astra::Server::bind(listen)
        .max_workers(256)
        .serve(move |request: astra::Request, _| forward(&agent, to, request));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("forwarder: {error}");
            ExitCode::FAILURE
        }
    }
}

fn forward(agent: &ureq::Agent, to: SocketAddr, mut request: astra::Request) -> astra::Response {
    match exchange(agent, to, &mut request) {
        Ok(response) => response,
        Err(error) => {
            eprintln!("forwarder: {error}");
            let mut response = astra::Response::new(astra::Body::empty());
            *response.status_mut() = http::StatusCode::BAD_GATEWAY;
            response
        }
    }
}

fn exchange(
    agent: &ureq::Agent,
    to: SocketAddr,
    request: &mut astra::Request,
) -> Result<astra::Response, ureq::Error> {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let url = format!("http://{to}{path}");
    let mut answer = match *request.method() {
        http::Method::POST => {
            let mut body = Vec::new();
            request.body_mut().reader().read_to_end(&mut body)?;
            agent.post(url).send(&body)?
        }
        _ => agent.get(url).call()?,
    };
    let body = answer
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER)
        .read_to_vec()?;
    let mut response = astra::Response::new(astra::Body::new(body));
    *response.status_mut() = answer.status();
    Ok(response)
}
