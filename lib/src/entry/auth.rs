//! Which team a bearer key belongs to.

use std::collections::BTreeMap;

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use sha2::Digest;
use sha2::Sha256;

use super::CallerError;
use super::Code;
use crate::catalog::Catalog;
use crate::ids::TeamName;

/// Teams by the SHA-256 of their keys; built at each change of the catalog.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    teams: BTreeMap<[u8; 32], TeamName>,
}

impl KeyIndex {
    /// The keys of all teams; a hash that is not 64 hex digits fits no key.
    pub fn new(catalog: &Catalog) -> Self {
        let teams = catalog
            .teams
            .iter()
            .flat_map(|(name, team)| team.keys.iter().map(move |k| (k, name)))
            .filter_map(|(key, name)| Some((from_hex(key)?, name.clone())))
            .collect();
        Self { teams }
    }

    /// The team of a request.
    ///
    /// # Errors
    ///
    /// [`Code::BadKey`] when the header is missing, malformed or has a key
    /// that no team has.
    pub fn team(&self, headers: &HeaderMap) -> Result<&TeamName, CallerError> {
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
        self.teams
            .get(&hash)
            .ok_or_else(|| bad("the key is not known"))
    }
}

fn from_hex(s: &str) -> Option<[u8; 32]> {
    if s.len() != 64 || !s.is_ascii() {
        return None;
    }
    let mut out = [0; 32];
    for (i, byte) in out.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&s[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(out)
}
