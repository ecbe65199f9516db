//! Which team a bearer key belongs to.

use std::fmt::Write;

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use sha2::Digest;
use sha2::Sha256;

use super::CallerError;
use super::Code;
use crate::catalog::Catalog;
use crate::ids::TeamName;

/// The team of a request.
///
/// # Errors
///
/// [`Code::BadKey`] when the header is missing, malformed or has a key that no
/// team has.
pub(super) fn authenticate<'a>(
    catalog: &'a Catalog,
    headers: &HeaderMap,
) -> Result<&'a TeamName, CallerError> {
    let bad = |m: &str| CallerError::new(Code::BadKey, m);
    let key = headers
        .get(AUTHORIZATION)
        .ok_or_else(|| bad("no Authorization header"))?
        .as_bytes();
    let key = key
        .strip_prefix(b"Bearer ")
        .or_else(|| key.strip_prefix(b"bearer "))
        .ok_or_else(|| bad("Authorization is not `Bearer <key>`"))?;
    // Only hashes are compared, so timing tells nothing of a stored key.
    let hash: [u8; 32] = Sha256::digest(key).into();
    catalog
        .team_by_key(&hex(&hash))
        .ok_or_else(|| bad("the key is not known"))
}

fn hex(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(2 * bytes.len());
    for b in bytes {
        // Writing to a string does not fail.
        write!(out, "{b:02x}").ok();
    }
    out
}
