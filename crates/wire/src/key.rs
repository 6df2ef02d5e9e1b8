//! The key shared by the daemons of one cluster.

use std::fmt;

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

/// Size of the tag of each frame, in bytes: half of the output of HMAC-SHA256, the shortest length
/// that RFC 2104 recommends.
pub const TAG_BYTES: usize = 16;

/// The key that authenticates frames between daemons.
///
/// Its `Debug` output omits the key, so that it does not reach logs.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterKey(Vec<u8>);

impl ClusterKey {
    /// Creates a key of any length; HMAC hashes keys that are longer than its block size.
    pub fn new(key: impl Into<Vec<u8>>) -> Self {
        Self(key.into())
    }

    /// Computes the tag over a frame's version and payload.
    pub(crate) fn tag(&self, version: u8, payload: &[u8]) -> [u8; TAG_BYTES] {
        let full_tag = self.mac(version, payload).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full_tag[..TAG_BYTES]);
        tag
    }

    /// Whether `tag` is the tag of version and payload; compares in constant time.
    pub(crate) fn verify(&self, version: u8, payload: &[u8], tag: &[u8]) -> bool {
        let mac = self.mac(version, payload);
        mac.verify_truncated_left(tag).is_ok()
    }

    fn mac(&self, version: u8, payload: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0)
            .expect("HMAC accepts keys of any length (RFC 2104)");
        mac.update(&[version]);
        mac.update(payload);
        mac
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(hidden)")
    }
}
