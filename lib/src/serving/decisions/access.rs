//! Authentication of callers by API key, and the maximum age of the key list.
//!
//! Keys may be revoked while some VMs are partitioned from the store, and
//! unknown keys may arrive in floods. A request must not run on a key that was
//! revoked longer ago than the configured bound. An unknown key allocates no
//! state and causes no remote call.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::pool::Span;
use crate::serving::path::types::KeyDigest;
use crate::serving::path::types::Organisation;

/// Fraction of the revocation bound during which a VM trusts its key list; the
/// rest allows for clock drift between VMs.
const TRUSTED_FRACTION: f64 = 0.96;

/// Maps API keys to the organisations of a configuration.
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

    /// Returns the organisation that holds a key.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Rc<Organisation>> {
        self.by_key.get(key)
    }
}

/// Age of the configuration from which a VM knows the keys.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigAge {
    /// Time since the configuration was confirmed to be the newest.
    pub confirmed: Option<Span>,
    /// Time since it was last the newest one as far as this VM can tell.
    pub estimated: Option<Span>,
}

/// Time limits within which key changes must take effect.
#[derive(Clone, Copy, Debug)]
pub struct KeyBounds {
    /// Bound for the rejection of a revoked key on every VM; `None` if only VMs that
    /// can reach the store have to reject it.
    pub revoke: Option<Span>,
    /// Bound for the acceptance of a new key.
    pub apply: Span,
}

/// Reason why the API-key check rejects a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// No organisation holds its key.
    UnknownKey,
    /// The configuration may be too old to decide.
    StaleConfig,
}

impl Denial {
    /// Name used in logs, metrics and error replies. Operators and metrics read these
    /// texts, so they stay the same when a variant is renamed.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownKey => "unknown_key",
            Self::StaleConfig => "configuration_old",
        }
    }
}

impl KeyBounds {
    /// Returns whether this VM may still rely on its key list.
    ///
    /// ```
    /// use banyangauge::pool::Span;
    /// use banyangauge::serving::access::{KeyBounds, ConfigAge};
    /// let revoke = Some(Span::from_millis(5_000));
    /// let bounds = KeyBounds { revoke, apply: Span::from_millis(3_000) };
    /// let aged = |ms| ConfigAge { confirmed: Some(Span::from_millis(ms)), ..ConfigAge::default() };
    /// assert!(bounds.may_use_keys(&aged(4_000)));
    /// assert!(!bounds.may_use_keys(&aged(5_000)));
    /// assert!(!bounds.may_use_keys(&ConfigAge::default()));
    /// ```
    pub fn may_use_keys(&self, config_age: &ConfigAge) -> bool {
        let trusted = |revoke: Span| Span((revoke.0 as f64 * TRUSTED_FRACTION) as u64);
        self.revoke.is_none_or(|revoke| {
            config_age
                .confirmed
                .is_some_and(|age| age < trusted(revoke))
        })
    }

    /// Returns the organisation that a request belongs to, or `Ok(None)` if it
    /// runs without one: keys are not in use, or the route is public.
    ///
    /// # Errors
    ///
    /// Returns a [`Denial`] if the request may not run.
    pub fn admit(
        &self,
        keys: Option<&ApiKeys>,
        public: bool,
        key: Option<&KeyDigest>,
        config_age: &ConfigAge,
    ) -> Result<Option<Rc<Organisation>>, Denial> {
        let Some(keys) = keys else {
            return Ok(None);
        };
        let holder = key.and_then(|key| keys.holder(key)).cloned();
        let keys_usable = self.may_use_keys(config_age);
        if public {
            return Ok(holder.filter(|_| keys_usable));
        }
        if !keys_usable {
            return Err(Denial::StaleConfig);
        }
        let recent = config_age.estimated.is_some_and(|age| age <= self.apply);
        match holder {
            Some(holder) => Ok(Some(holder)),
            // It may be a new key that has not reached this VM yet.
            None if !recent => Err(Denial::StaleConfig),
            None => Err(Denial::UnknownKey),
        }
    }
}
