//! Whose request it is, and whether it may run.
//!
//! Load: keys that are taken away while some VMs are cut off from the store,
//! and floods of keys that nobody holds. Harm prevented: a request that runs on
//! a key which its holder has given up. Nothing is kept of a key that is not
//! known, and no call is made for it.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::pool::Span;
use crate::serving::path::types::KeyDigest;
use crate::serving::path::types::Organisation;

/// The part of the time that a revoked key may still be used in which a VM goes
/// by what it knows; the rest is for clocks that do not run alike.
const HELD_PART: f64 = 0.96;

/// The organisations of a configuration, by their keys.
#[derive(Debug)]
pub struct ApiKeys {
    by_key: BTreeMap<KeyDigest, Rc<Organisation>>,
}

impl ApiKeys {
    /// Indexes the organisations of a configuration.
    pub fn new(organisations: &[Organisation]) -> Self {
        let mut by_key = BTreeMap::new();
        for organisation in organisations {
            let shared = Rc::new(organisation.clone());
            for key in &organisation.keys {
                by_key.insert(*key, shared.clone());
            }
        }
        Self { by_key }
    }

    /// Who holds a key.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Rc<Organisation>> {
        self.by_key.get(key)
    }
}

/// How old what a VM knows of the keys is.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigAge {
    /// Since the configuration was surely the newest.
    pub confirmed: Option<Span>,
    /// Since it was the newest as far as is known.
    pub estimated: Option<Span>,
}

/// Within how long changes of the keys must be heeded.
#[derive(Clone, Copy, Debug)]
pub struct KeyBounds {
    /// For a key that was taken away, by every VM; `None` where only those that
    /// reach the store must heed it.
    pub revoke: Option<Span>,
    /// For a new key.
    pub apply: Span,
}

/// Why a request may not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// Nobody holds its key.
    UnknownKey,
    /// The configuration may be too old to tell.
    StaleConfig,
}

impl Denial {
    /// A word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownKey => "unknown_key",
            Self::StaleConfig => "configuration_old",
        }
    }
}

impl KeyBounds {
    /// Whether this VM may still go by the keys that it knows.
    ///
    /// ```
    /// use banyangauge::pool::Span;
    /// use banyangauge::serving::access::{KeyBounds, ConfigAge};
    /// let revoke = Some(Span::from_millis(5_000));
    /// let bounds = KeyBounds { revoke, apply: Span::from_millis(3_000) };
    /// let aged = |ms| ConfigAge { proven: Some(Span::from_millis(ms)), ..ConfigAge::default() };
    /// assert!(bounds.may_use_keys(&aged(4_000)));
    /// assert!(!bounds.may_use_keys(&aged(5_000)));
    /// assert!(!bounds.may_use_keys(&ConfigAge::default()));
    /// ```
    pub fn may_use_keys(&self, freshness: &ConfigAge) -> bool {
        let held = |revoke: Span| Span((revoke.0 as f64 * HELD_PART) as u64);
        self.revoke
            .is_none_or(|revoke| freshness.confirmed.is_some_and(|age| age < held(revoke)))
    }

    /// Whose request this is; `Ok(None)` where nobody's name goes with it.
    ///
    /// # Errors
    ///
    /// When it may not run.
    pub fn admit(
        &self,
        keys: Option<&ApiKeys>,
        public: bool,
        key: Option<&KeyDigest>,
        freshness: &ConfigAge,
    ) -> Result<Option<Rc<Organisation>>, Denial> {
        let Some(keys) = keys else {
            return Ok(None);
        };
        let holder = key.and_then(|key| keys.holder(key)).cloned();
        let holds = self.may_use_keys(freshness);
        if public {
            return Ok(holder.filter(|_| holds));
        }
        if !holds {
            return Err(Denial::StaleConfig);
        }
        let recent = freshness.estimated.is_some_and(|age| age <= self.apply);
        match holder {
            Some(holder) => Ok(Some(holder)),
            // It may be a new one that this VM has not heard of.
            None if !recent => Err(Denial::StaleConfig),
            None => Err(Denial::UnknownKey),
        }
    }
}
