//! Authenticates callers by bearer key.

use std::fmt::Write;

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use sha2::Digest;
use sha2::Sha256;

use super::CallerError;
use super::Code;
use crate::catalog::Catalog;
use crate::ids::TeamName;

/// Returns the team that the bearer key of a request belongs to.
///
/// # Errors
///
/// [`Code::BadKey`] if the header is missing or malformed, or no team has the key.
pub(super) fn authenticate<'a>(
    catalog: &'a Catalog,
    headers: &HeaderMap,
) -> Result<&'a TeamName, CallerError> {
    let bad = |m: &str| CallerError::new(Code::BadKey, m);
    let key = headers
        .get(AUTHORIZATION)
        .ok_or_else(|| bad("missing Authorization header"))?
        .as_bytes();
    let key = key
        .strip_prefix(b"Bearer ")
        .or_else(|| key.strip_prefix(b"bearer "))
        .ok_or_else(|| bad("malformed Authorization header: expected `Bearer <key>`"))?;
    // Only hashes are compared, so response times reveal nothing about stored keys.
    let hash: [u8; 32] = Sha256::digest(key).into();
    catalog
        .team_by_key(&hex(&hash))
        .ok_or_else(|| bad("unknown bearer key"))
}

fn hex(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(2 * bytes.len());
    for b in bytes {
        // Writing to a string cannot fail.
        write!(out, "{b:02x}").ok();
    }
    out
}
