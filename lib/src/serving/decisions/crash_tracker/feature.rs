//! What requests may have in common.

use std::fmt;
use std::str::FromStr;

use crate::ids::Fingerprint;

/// Something that requests may have in common, and that may be what crashes their replicas.
///
/// The text names it in logs and in the store.
///
/// ```
/// use banyangauge::serving::Feature;
/// let part = Feature::PromptPart(0x5c1e07a2);
/// assert_eq!(part.to_string(), "part.000000005c1e07a2");
/// assert_eq!("part.000000005c1e07a2".parse(), Ok(part));
/// assert!("part.x".parse::<Feature>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Feature {
    /// All: it is the same request, sent again.
    Request(Fingerprint),
    /// A part of the prompt that others may share, by its ID.
    PromptPart(u64),
}

impl Feature {
    /// Returns the features of a request, given the IDs of the parts of its prompt that others
    /// may share.
    ///
    /// ```
    /// use banyangauge::ids::Fingerprint;
    /// use banyangauge::serving::Feature;
    /// let features = Feature::of_request(Fingerprint(7), &[2, 1, 2]);
    /// let parts = [1, 2].map(Feature::PromptPart);
    /// assert_eq!(features, [&[Feature::Request(Fingerprint(7))], &parts[..]].concat());
    /// ```
    pub fn of_request(request: Fingerprint, parts: &[u64]) -> Vec<Self> {
        let mut features: Vec<_> = parts.iter().copied().map(Self::PromptPart).collect();
        features.push(Self::Request(request));
        features.sort();
        features.dedup();
        features
    }

    /// Returns its number, which is unique among those of its kind.
    pub fn number(self) -> u64 {
        match self {
            Self::Request(hash) => hash.0,
            Self::PromptPart(id) => id,
        }
    }

    /// Returns whether it is a part of a prompt.
    pub fn is_part(self) -> bool {
        matches!(self, Self::PromptPart(_))
    }
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self {
            Self::Request(_) => "request",
            Self::PromptPart(_) => "part",
        };
        write!(f, "{kind}.{:016x}", self.number())
    }
}

/// The text names no feature.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BadFeature(pub String);

impl fmt::Display for BadFeature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "expected `request.HEX` or `part.HEX`, found `{}`",
            self.0
        )
    }
}

impl std::error::Error for BadFeature {}

impl FromStr for Feature {
    type Err = BadFeature;

    fn from_str(text: &str) -> Result<Self, BadFeature> {
        let bad = || BadFeature(text.to_owned());
        let (kind, number) = text.split_once('.').ok_or_else(bad)?;
        let number = u64::from_str_radix(number, 16).map_err(|_| bad())?;
        match kind {
            "request" => Ok(Self::Request(Fingerprint(number))),
            "part" => Ok(Self::PromptPart(number)),
            _ => Err(bad()),
        }
    }
}
