//! Decides whether the head of a response can be believed.
//!
//! hyper reads a response as a browser does, so that it gets a body from most heads: a transfer
//! coding that it does not know ends with the connection, and one goes before a length. Here a
//! response is the whole body that its upstream sent, or none.

use std::fmt;
use std::ops::Range;

use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::Version;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::response;

/// The statuses of responses. Interim ones are read as such, and no request asks for another
/// protocol.
const STATUSES: Range<u16> = 200..600;

/// Maximum length of a value in an error, in characters.
const MAX_QUOTE: usize = 200;

/// Why a response is not believed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HeadFault {
    /// It is none of HTTP/1; holds what hyper reports.
    Malformed(String),
    /// A line ends with LF alone.
    LoneLf,
    /// The status is that of no response.
    Status(u16),
    /// The transfer coding is not `chunked` alone; holds what was found.
    Coding(String),
    /// There is no one length; holds what was found.
    Length(String),
    /// There is a transfer coding, and a length.
    CodingAndLength,
    /// A response that has no body, because of its status, states one.
    NeedlessBody(StatusCode),
    /// More bytes follow the head than the length that it states.
    Excess(u64),
}

impl fmt::Display for HeadFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(e) => write!(f, "expected the head of a response: {e}"),
            Self::LoneLf => f.write_str("expected CRLF at the end of a line, found a lone LF"),
            Self::Status(status) => {
                let Range { start, end } = STATUSES;
                write!(
                    f,
                    "expected a status from {start} to {}, found {status}",
                    end - 1
                )
            }
            Self::Coding(found) => {
                write!(f, "expected the transfer coding `chunked`, found {found}")
            }
            Self::Length(found) => {
                write!(f, "expected one length of the body, found {found}")
            }
            Self::CodingAndLength => {
                f.write_str("expected a transfer coding or a length of the body, found both")
            }
            Self::NeedlessBody(status) => {
                write!(
                    f,
                    "expected no body with status {}, found one",
                    status.as_u16()
                )
            }
            Self::Excess(length) => {
                write!(f, "expected a body of {length} bytes, found more")
            }
        }
    }
}

impl std::error::Error for HeadFault {}

/// What the body of a response ends with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyEnd {
    /// So many bytes.
    Length(u64),
    /// An empty chunk.
    Chunk,
    /// The connection.
    Connection,
}

impl BodyEnd {
    /// Checks that the bytes that were read behind a head are no more than its length.
    pub(super) fn check_excess(self, read: u64) -> Result<(), HeadFault> {
        match self {
            Self::Length(length) if read > length => Err(HeadFault::Excess(length)),
            _ => Ok(()),
        }
    }
}

/// Checks that a head has the status of a response, and states how its body ends in at most one
/// way. A length that it repeats stands there once afterwards. Returns how the body of the response
/// to a request with this method ends.
pub(super) fn check_head(
    method: &Method,
    head: &mut response::Parts,
) -> Result<BodyEnd, HeadFault> {
    if !STATUSES.contains(&head.status.as_u16()) {
        return Err(HeadFault::Status(head.status.as_u16()));
    }
    let is_chunked = check_coding(head.version, &head.headers)?;
    let length = parse_length(&head.headers)?;
    if is_chunked && length.is_some() {
        return Err(HeadFault::CodingAndLength);
    }
    let has_body = is_chunked || length.is_some_and(|l| l > 0);
    // A response to HEAD and one with 304 state the body of another response.
    if has_body && head.status == StatusCode::NO_CONTENT {
        return Err(HeadFault::NeedlessBody(head.status));
    }
    if let Some(length) = length {
        head.headers.insert(CONTENT_LENGTH, length.into());
    }
    let is_empty = method == Method::HEAD
        || matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    Ok(match length {
        _ if is_empty => BodyEnd::Length(0),
        Some(length) => BodyEnd::Length(length),
        None if is_chunked => BodyEnd::Chunk,
        None => BodyEnd::Connection,
    })
}

/// Returns whether the body comes in chunks.
fn check_coding(version: Version, headers: &HeaderMap) -> Result<bool, HeadFault> {
    let is_chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    let mut values = headers.get_all(TRANSFER_ENCODING).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(false),
        // Earlier versions have no chunks.
        (Some(value), None) if is_chunked(value) && version == Version::HTTP_11 => Ok(true),
        _ => Err(HeadFault::Coding(quote(headers, TRANSFER_ENCODING))),
    }
}

/// Returns the length of the body, if one is stated. It may be repeated.
fn parse_length(headers: &HeaderMap) -> Result<Option<u64>, HeadFault> {
    let mut length = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        for text in value.as_bytes().split(|b| *b == b',') {
            let number = parse_number(text.trim_ascii());
            if number.is_none() || length.is_some_and(|l| Some(l) != number) {
                return Err(HeadFault::Length(quote(headers, CONTENT_LENGTH)));
            }
            length = number;
        }
    }
    Ok(length)
}

/// Parses a number that consists of digits alone.
fn parse_number(text: &[u8]) -> Option<u64> {
    let digits = text.iter().all(u8::is_ascii_digit).then_some(text)?;
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// Returns the values of a field, shortened for the log.
fn quote(headers: &HeaderMap, name: HeaderName) -> String {
    let values: Vec<_> = headers.get_all(name).iter().collect();
    format!("{values:?}").chars().take(MAX_QUOTE).collect()
}
