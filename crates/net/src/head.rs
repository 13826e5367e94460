//! Decides whether the head of an answer is one, and what tells the end of its body.
//!
//! A head that tells two ends of its body, or one that cannot be, is that of no answer: each reader
//! on the way would take other bytes for the body. Whoever reads answers over HTTP/1.1 asks here;
//! names and lines were read by hyper, which refuses those that are none.
//!
//! ```
//! use hyper::{Method, Response};
//! use sorreldeck_net::head::{self, End, Fault};
//!
//! let answer = Response::builder().header("content-length", "04");
//! let (mut parts, ()) = answer.body(())?.into_parts();
//! assert_eq!(head::check(&Method::GET, &mut parts), Ok(End::Length(4)));
//! assert_eq!(parts.headers["content-length"], "4");
//!
//! let answer = Response::builder().header("transfer-encoding", "chunkd");
//! let (mut parts, ()) = answer.body(())?.into_parts();
//! assert_eq!(head::check(&Method::GET, &mut parts), Err(Fault::Coding));
//! # Ok::<(), hyper::http::Error>(())
//! ```

use hyper::header::{HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, StatusCode, Version};
use sorreldeck::Size;
use std::fmt;

/// The longest body that a head may announce: more than any connection carries within a time limit.
const MAX_LENGTH: Size = Size::from_bytes(1 << 40);

/// What tells the end of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The head: there is no body.
    Head,
    /// The length of the body in bytes.
    Length(u64),
    /// The last chunk.
    Chunks,
    /// The end of the connection.
    Connection,
}

/// Why a head is that of no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The status ends no request.
    Status(u16),
    /// The length of the body is no number, too large, or told in two ways.
    Length,
    /// The coding of the body is another than chunks.
    Coding,
    /// The body has both a length and chunks.
    Both,
    /// A body is told of where the status allows none.
    Body(u16),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Status(status) => write!(f, "the answer has the status {status}"),
            Fault::Length => f.write_str("the answer tells no sound length of its body"),
            Fault::Coding => f.write_str("the body of the answer has an unknown coding"),
            Fault::Both => f.write_str("the body of the answer has both a length and chunks"),
            Fault::Body(status) => write!(f, "the answer tells of a body with status {status}"),
        }
    }
}

impl std::error::Error for Fault {}

/// Checks the head of the answer to a request with this method, and returns what tells the end of
/// its body. A length is kept as one plain number.
///
/// # Errors
///
/// Fails if this is the head of no answer; nothing of it may be used then.
pub fn check(method: &Method, parts: &mut Parts) -> Result<End, Fault> {
    check_status(parts.status)?;
    let length = length_of(&parts.headers)?;
    let is_chunked = is_chunked(parts.version, &parts.headers)?;
    if let Some(length) = length {
        let value = HeaderValue::from(length);
        parts.headers.insert(CONTENT_LENGTH, value);
    }
    match (length, is_chunked) {
        (Some(_), true) => Err(Fault::Both),
        _ if *method == Method::HEAD || parts.status == StatusCode::NOT_MODIFIED => Ok(End::Head),
        (None | Some(0), false) if parts.status == StatusCode::NO_CONTENT => {
            parts.headers.remove(CONTENT_LENGTH);
            Ok(End::Head)
        }
        _ if parts.status == StatusCode::NO_CONTENT => Err(Fault::Body(parts.status.as_u16())),
        (Some(length), false) => Ok(End::Length(length)),
        (None, true) => Ok(End::Chunks),
        (None, false) => Ok(End::Connection),
    }
}

/// Checks that a status ends a request.
fn check_status(status: StatusCode) -> Result<(), Fault> {
    match status.as_u16() {
        200..=599 => Ok(()),
        status => Err(Fault::Status(status)),
    }
}

/// Returns the length of the body; lines that repeat the same length count once.
fn length_of(headers: &HeaderMap) -> Result<Option<u64>, Fault> {
    let mut length = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        let this = parse_length(value).ok_or(Fault::Length)?;
        if length.is_some_and(|other| other != this) {
            return Err(Fault::Length);
        }
        length = Some(this);
    }
    Ok(length)
}

fn parse_length(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?;
    // A number may begin with a sign for the parser of the standard library.
    let is_number = text.bytes().all(|b| b.is_ascii_digit());
    let length = text.parse().ok().filter(|_| is_number);
    length.filter(|length| *length <= MAX_LENGTH.bytes())
}

/// Returns whether the body comes in chunks, which is the only coding that callers accept.
fn is_chunked(version: Version, headers: &HeaderMap) -> Result<bool, Fault> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return Ok(false);
    };
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    match is_chunked && codings.next().is_none() && version == Version::HTTP_11 {
        true => Ok(true),
        false => Err(Fault::Coding),
    }
}
