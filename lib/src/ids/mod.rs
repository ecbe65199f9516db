//! Newtypes for the names and numbers of the domain.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Why a name or version was rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IdError {
    /// The name is empty or longer than [`MAX_NAME_BYTES`] bytes.
    Length(usize),
    /// The name contains a character outside `a-z A-Z 0-9 . _ -`.
    Character(char),
    /// The version is not an integer from 1 to `u32::MAX`.
    Version(String),
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Length(n) => write!(f, "name is {n} bytes long, expected 1 to {MAX_NAME_BYTES}"),
            Self::Character(c) => write!(f, "name contains {c:?}, expected a-z A-Z 0-9 . _ -"),
            Self::Version(v) => write!(f, "version is {v:?}, expected an integer of at least 1"),
        }
    }
}

impl std::error::Error for IdError {}

/// Maximum length of a name; names are sent in HTTP headers and used in the
/// names of platform objects.
pub const MAX_NAME_BYTES: usize = 128;

fn check_name(s: &str) -> Result<(), IdError> {
    if s.is_empty() || s.len() > MAX_NAME_BYTES {
        return Err(IdError::Length(s.len()));
    }
    match s
        .chars()
        .find(|c| !(c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-')))
    {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates a name.
            ///
            /// # Errors
            ///
            /// When the name is empty, too long, or contains a character that
            /// is not allowed in headers and object names.
            pub fn new(s: &str) -> Result<Self, IdError> {
                check_name(s)?;
                Ok(Self(Arc::from(s)))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;
            fn from_str(s: &str) -> Result<Self, IdError> {
                Self::new(s)
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;
            fn try_from(s: String) -> Result<Self, IdError> {
                Self::new(&s)
            }
        }

        impl From<$name> for String {
            fn from(n: $name) -> Self {
                n.0.to_string()
            }
        }
    };
}

name_type!(
    /// A team that owns adapters and is billed for their use.
    TeamName
);
name_type!(
    /// A customer, whose callers have API keys and may share a rate limit.
    OrganisationName
);
name_type!(
    /// A LoRA adapter, without a version.
    AdapterName
);
name_type!(
    /// The replicas of one base model or plain service in one region.
    PoolName
);
name_type!(
    /// One upstream process of a pool.
    ReplicaName
);
name_type!(
    /// A base model.
    ModelName
);
name_type!(
    /// A service that a route sends requests to, with or without an inference engine.
    ServiceName
);
name_type!(
    /// A build of the software that the replicas of a service run.
    BuildName
);
name_type!(
    /// A VM that runs the system or an upstream.
    VmName
);
name_type!(
    /// An availability zone.
    ZoneName
);

impl BuildName {
    /// Returns the name of a build that replicas state as any text. A text that is no valid
    /// name is hashed, so that builds with different texts keep different names.
    ///
    /// ```
    /// use banyangauge::ids::BuildName;
    /// assert_eq!(BuildName::of("v1.1").as_str(), "v1.1");
    /// assert_ne!(BuildName::of("v1+a"), BuildName::of("v1+b"));
    /// ```
    pub fn of(text: &str) -> Self {
        match check_name(text) {
            Ok(()) => Self(Arc::from(text)),
            Err(_) => Self(Arc::from(format!("hash-{:016x}", xxh3_64(text.as_bytes())))),
        }
    }
}

/// One version of an adapter, as requests name it and adapter slots hold it.
///
/// ```
/// use banyangauge::ids::AdapterVersion;
/// let a: AdapterVersion = "rosters@3".parse().unwrap();
/// assert_eq!((a.adapter.as_str(), a.version), ("rosters", 3));
/// assert_eq!(a.to_string(), "rosters@3");
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct AdapterVersion {
    /// The adapter.
    pub adapter: AdapterName,
    /// Its version, from 1.
    pub version: u32,
}

impl fmt::Display for AdapterVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}

impl FromStr for AdapterVersion {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let (name, version) = s.split_once('@').unwrap_or((s, ""));
        let version = version
            .parse()
            .ok()
            .filter(|v| *v > 0)
            .ok_or_else(|| IdError::Version(version.to_owned()))?;
        Ok(Self {
            adapter: name.parse()?,
            version,
        })
    }
}

impl TryFrom<String> for AdapterVersion {
    type Error = IdError;
    fn try_from(s: String) -> Result<Self, IdError> {
        s.parse()
    }
}

impl From<AdapterVersion> for String {
    fn from(a: AdapterVersion) -> Self {
        a.to_string()
    }
}

/// A fencing token: an owner's orders carry it, and an engine that checks tokens
/// rejects orders with a lower one than the highest it has seen.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct FencingToken(pub u64);

/// A revision of the catalog; it only increases.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// Identifies one run of a process; a restarted engine, whose adapter slots are
/// empty, has a new incarnation.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// A hash of a whole request, used to recognise requests that crash upstreams.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Fingerprint(pub u64);
