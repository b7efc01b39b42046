//! Client that sends requests over one connection pool per address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::RwLock;

use crate::clock;
use crate::forward::{abort, failure, inbound, outbound, transport};

/// Size of each buffer of a connection. The head of a request or response must
/// fit in; physical memory is used only for the part that is touched.
const CONNECTION_BUFFER_BYTES: usize = 64 << 10;

/// Limits of a [`Client`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Maximum number of idle connections per address.
    pub idle_per_address: usize,
    /// Number of open connections over all addresses above which the least
    /// recently used pool is dropped.
    pub open_total: usize,
    /// Idle time after which a connection is no longer reused, in milliseconds.
    pub idle_ms: u64,
    /// Timeout for establishing a connection, in milliseconds.
    pub connect_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            idle_per_address: 130,
            open_total: 2_000,
            idle_ms: 30_000,
            connect_ms: 1_000,
        }
    }
}

/// Connection pool of one address.
struct Pool {
    agent: ureq::Agent,
    authority: http::uri::Authority,
    /// Monotonic time of the last use, in milliseconds.
    last_used: AtomicU64,
}

/// Sends requests over pooled connections.
pub struct Client {
    options: Options,
    open: Arc<AtomicUsize>,
    pools: RwLock<HashMap<SocketAddr, Arc<Pool>>>,
}

impl Client {
    /// Returns a client without connections.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            open: Arc::default(),
            pools: RwLock::default(),
        }
    }

    /// Sends `request` to `addr` and returns when the response's head has
    /// arrived. `timeout` covers the whole exchange, the response's body included.
    ///
    /// `guard` is called directly before each write and returns whether bytes
    /// may still be sent. The request is never retried. Firing `abort` ends the
    /// attempt until the response's body has been read to its end.
    ///
    /// # Errors
    /// Returns a [`failure::Failure`] with the cause and whether the request may
    /// have run.
    pub fn send(
        &self,
        addr: SocketAddr,
        request: outbound::Outbound<'_, '_>,
        timeout: Duration,
        guard: impl Fn() -> bool + 'static,
        abort: &abort::Abort,
    ) -> Result<inbound::Inbound, failure::Failure> {
        let call = transport::Call::new(guard, abort);
        if abort.is_fired() {
            return Err(failure::Failure::new(failure::Cause::Cancelled, &call));
        }
        let pool = self.pool(addr);
        let _scope = call.enter();
        let method = request.method;
        let result = execute(&pool, request, timeout, &call);
        match result {
            Ok(response) => Ok(inbound::Inbound::new(method, response, call.take_binding())),
            Err(error) => Err(failure::Failure::classify(error, &call)),
        }
    }

    /// Drops the idle connections to `addr`. Connections in use are closed once
    /// their response has been read.
    pub fn reset(&self, addr: SocketAddr) {
        let dropped = self.pools.write().remove(&addr);
        drop(dropped);
    }

    /// Returns the number of open connections, idle or in use.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Drops the pools that were unused for the idle time before `now`, and the
    /// least recently used of the others if the total limit is exceeded.
    pub fn sweep(&self, now: clock::Millis) {
        let cutoff = (now - self.options.idle_ms).0;
        let mut dropped = Vec::new();
        let mut pools = self.pools.write();
        pools.retain(|_, pool| {
            let keep = pool.last_used.load(Ordering::Relaxed) >= cutoff;
            if !keep {
                dropped.push(pool.clone());
            }
            keep
        });
        if self.open() > self.options.open_total {
            let oldest = pools
                .iter()
                .min_by_key(|(_, pool)| pool.last_used.load(Ordering::Relaxed));
            if let Some(addr) = oldest.map(|(addr, _)| *addr) {
                dropped.extend(pools.remove(&addr));
            }
        }
        drop(pools);
    }

    fn pool(&self, addr: SocketAddr) -> Arc<Pool> {
        let now = clock::now();
        let found = self.pools.read().get(&addr).cloned();
        if let Some(pool) = found {
            pool.last_used.store(now.0, Ordering::Relaxed);
            if self.open() > self.options.open_total {
                self.sweep(now);
            }
            return pool;
        }
        self.sweep(now);
        let pool = Arc::new(self.new_pool(addr, now));
        self.pools.write().entry(addr).or_insert(pool).clone()
    }

    fn new_pool(&self, addr: SocketAddr, now: clock::Millis) -> Pool {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .allow_non_standard_methods(true)
            .user_agent("")
            .accept("")
            .accept_encoding("")
            .input_buffer_size(CONNECTION_BUFFER_BYTES)
            .output_buffer_size(CONNECTION_BUFFER_BYTES)
            .max_response_header_size(CONNECTION_BUFFER_BYTES)
            .max_idle_connections(self.options.idle_per_address)
            .max_idle_connections_per_host(self.options.idle_per_address)
            .max_idle_age(clock::duration(self.options.idle_ms))
            .timeout_connect(Some(clock::duration(self.options.connect_ms)))
            .build();
        let connector = transport::TcpConnector {
            addr,
            open: self.open.clone(),
        };
        Pool {
            agent: ureq::Agent::with_parts(config, connector, transport::FixedResolver(addr)),
            authority: addr
                .to_string()
                .parse()
                .expect("an IP address and port are an authority"),
            last_used: AtomicU64::new(now.0),
        }
    }
}

/// Builds the request message and sends it over `pool`.
fn execute(
    pool: &Pool,
    request: outbound::Outbound<'_, '_>,
    timeout: Duration,
    call: &std::rc::Rc<transport::Call>,
) -> Result<http::Response<ureq::Body>, ureq::Error> {
    let mut parts = http::uri::Parts::default();
    parts.scheme = Some(http::uri::Scheme::HTTP);
    parts.authority = Some(pool.authority.clone());
    parts.path_and_query = Some(request.path.clone());
    let mut head = http::Request::new(());
    *head.method_mut() = request.method.clone();
    *head.uri_mut() = http::Uri::from_parts(parts).map_err(http::Error::from)?;
    *head.headers_mut() = request.build_headers();
    let agent = &pool.agent;
    match request.content {
        outbound::Content::Whole([]) | outbound::Content::Empty => {
            run_agent(agent, head, (), timeout)
        }
        outbound::Content::Whole(data) => run_agent(agent, head, data, timeout),
        outbound::Content::Stream(reader, _) => {
            let call = call.clone();
            let mut source = transport::BodySource { reader, call };
            run_agent(
                agent,
                head,
                ureq::SendBody::from_reader(&mut source),
                timeout,
            )
        }
    }
}

fn run_agent(
    agent: &ureq::Agent,
    head: http::Request<()>,
    body: impl ureq::AsSendBody,
    timeout: Duration,
) -> Result<http::Response<ureq::Body>, ureq::Error> {
    let request = agent
        .configure_request(head.map(|()| body))
        .timeout_global(Some(timeout))
        .build();
    agent.run(request)
}
