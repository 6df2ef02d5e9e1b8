//! Identifiers as newtypes, so that the compiler rejects one kind where another is expected.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// Error for text that is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdError {
    /// Kind of identifier that was expected.
    pub kind: &'static str,
    /// The rejected text.
    pub text: CompactString,
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not a valid {}: 1 to {MAX_ID_BYTES} characters out of a-z A-Z 0-9 . _ - / : @",
            self.text, self.kind
        )
    }
}

impl std::error::Error for IdError {}

/// Maximum length of an identifier, in bytes. Identifiers appear in log lines and object names.
pub const MAX_ID_BYTES: usize = 128;

fn is_id_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | '/' | ':' | '@')
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(transparent)]
        pub struct $name(CompactString);

        impl $name {
            /// Creates the identifier from text that is known to be valid, such as a constant.
            ///
            /// The text is not checked; use [`FromStr`] for text from outside the program.
            pub fn new(text: impl Into<CompactString>) -> Self {
                Self(text.into())
            }

            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                let valid = !text.is_empty()
                    && text.len() <= MAX_ID_BYTES
                    && text.chars().all(is_id_char);
                if valid {
                    Ok(Self(text.into()))
                } else {
                    Err(IdError { kind: $kind, text: text.into() })
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = CompactString::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the successor of this number.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

text_id!(/// A node: a daemon on its entry VM, as named in its settings.
    NodeId, "node id");
text_id!(/// A backend server VM of the inventory.
    VmId, "VM id");
text_id!(/// A set of VMs with a fast interconnect; a group never spans two of them.
    FabricDomainId, "fabric domain id");
text_id!(/// A set of VMs that can fail at the same time for a common cause.
    FailureDomainId, "failure domain id");
text_id!(/// A region, which consists of failure domains.
    RegionId, "region id");
text_id!(/// A client account, as named in the rules.
    AccountId, "account id");
text_id!(/// A model that callers name in requests.
    ModelId, "model id");
text_id!(/// A version of a model's weights.
    ModelVersion, "model version");
text_id!(/// A group of VMs that together hold one replica; unique in the fleet.
    GroupId, "group id");
text_id!(/// A plain service, which runs beside the model engines.
    ServiceId, "service id");
text_id!(/// A request, unique in the fleet.
    RequestId, "request id");
text_id!(/// A caller's idempotency key; unique only within its account.
    IdempotencyKey, "idempotency key");
text_id!(/// A configuration document, such as `rules` or `inventory-<failure domain>`.
    DocumentName, "document name");
text_id!(/// Identifies one write to the store, so that its writer can recognize it when reading.
    WriteId, "write id");

number_id!(/// Distinguishes the runs of one node; later runs have higher numbers.
    Incarnation);
number_id!(/// Fencing token of a group; raised when its members, model or version change.
    Generation);
number_id!(/// Fencing token of a control lease; raised with every change of holder.
    LeaseEpoch);
number_id!(/// Version of an object in the platform's store; 0 means that no such object exists.
    ObjectVersion);
number_id!(/// Position in the store's history; raised by every write to any object.
    StoreRevision);
number_id!(/// History of the store to which its revisions belong; raised when the store comes back from an older copy.
    StoreEra);
number_id!(/// Matches a response of the store to its call.
    CallId);
