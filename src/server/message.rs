//! Requests, responses and handlers.

use std::io::Read;
use std::net::SocketAddr;

use bytes::Bytes;

use crate::clock;
use crate::server::payload;
use crate::token;

/// A request as a handler gets it. Its body may not have arrived whole.
pub struct Request {
    /// Method.
    pub method: http::Method,
    /// Path and query as received.
    pub target: http::uri::PathAndQuery,
    /// Headers as received.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: payload::Payload,
    /// Socket address of the caller.
    pub peer: SocketAddr,
    /// Time when the head had arrived.
    pub arrived: clock::Millis,
    /// Token that is cancelled when the caller's connection is lost, and after
    /// the response was sent.
    pub token: token::Token,
}

impl Request {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.path()
    }

    /// Returns the query without the question mark.
    pub fn query(&self) -> Option<&str> {
        self.target.query()
    }
}

/// Body of a response.
pub enum Body {
    /// A body that is in memory as a whole.
    Whole(Bytes),
    /// A body that the worker reads while it is sent, with its length in bytes
    /// if it is known. If reading fails or ends before that length, the connection is
    /// closed so that the response can't be taken for a complete one.
    Stream(Box<dyn Read + Send>, Option<u64>),
}

/// A response of a handler.
pub struct Response {
    /// Status.
    pub status: http::StatusCode,
    /// Headers. The server adds those for the framing.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Body,
}

impl Response {
    /// Returns a response without headers.
    pub fn new(status: http::StatusCode, body: Body) -> Self {
        Self {
            status,
            headers: http::HeaderMap::new(),
            body,
        }
    }

    /// Returns a response with a body that is in memory as a whole.
    pub fn whole(status: http::StatusCode, data: impl Into<Bytes>) -> Self {
        Self::new(status, Body::Whole(data.into()))
    }

    /// Returns a response without body.
    pub fn empty(status: http::StatusCode) -> Self {
        Self::whole(status, Bytes::new())
    }

    /// Adds a header.
    pub fn header(mut self, name: http::HeaderName, value: http::HeaderValue) -> Self {
        self.headers.append(name, value);
        self
    }
}

/// Handles requests on worker threads.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to one request. May block.
    fn handle(&self, request: Request) -> Response;
}

impl<F> Handler for F
where
    F: Fn(Request) -> Response + Send + Sync + 'static,
{
    fn handle(&self, request: Request) -> Response {
        self(request)
    }
}
