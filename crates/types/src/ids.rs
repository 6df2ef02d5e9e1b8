//! Identifiers as newtypes, so that one kind cannot stand in for another.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// Error for text that is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdError {
    /// The kind of identifier that was expected.
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

/// Longest accepted identifier, in bytes; identifiers appear in log lines and object names.
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
            /// Builds the identifier from text that is known to be valid, such as a constant.
            ///
            /// Use [`FromStr`] for text from outside the program.
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
            /// The number that follows this one.
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

text_id!(/// A daemon's entry VM, as named in its settings.
    NodeId, "node id");
text_id!(/// A backend server VM of the inventory.
    VmId, "VM id");
text_id!(/// A set of VMs with a fast interconnect; a group never spans two.
    FabricDomainId, "fabric domain id");
text_id!(/// A set of VMs that can fail together.
    FailureDomainId, "failure domain id");
text_id!(/// A region, made of failure domains.
    RegionId, "region id");
text_id!(/// A client account.
    AccountId, "account id");
text_id!(/// A model that callers name in requests.
    ModelId, "model id");
text_id!(/// A version of a model's weights.
    ModelVersion, "model version");
text_id!(/// A group of VMs that together hold one replica; unique in the fleet.
    GroupId, "group id");
text_id!(/// A plain service beside the model engines.
    ServiceId, "service id");
text_id!(/// A request, unique in the fleet.
    RequestId, "request id");
text_id!(/// A caller's idempotency key; scoped by its account.
    IdempotencyKey, "idempotency key");
text_id!(/// A configuration document: `rules` or `inventory-<failure domain>`.
    DocumentName, "document name");
text_id!(/// Marks one write to the store, so that its writer can recognise it when reading back.
    WriteId, "write id");

number_id!(/// Distinguishes restarts of one node; later restarts have higher numbers.
    Incarnation);
number_id!(/// Fencing token of a group; raised with every change of its members or model.
    Generation);
number_id!(/// Fencing token of a control lease; raised with every change of holder.
    LeaseEpoch);
number_id!(/// Version of one object in the platform's store; 0 means that it does not exist.
    ObjectVersion);
number_id!(/// Position in the store's history; rises with every write to any object.
    StoreRevision);
number_id!(/// Matches an answer of the store to its call.
    CallId);
