//! The content of a request, as far as it may be the reason why a backend server ends that runs it.

use std::collections::HashSet;
use std::fmt;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::content::ContentKey;
use sha2::Digest;
use sha2::Sha256;

/// Length of the digest that names a whole request, in bytes.
const NAME_BYTES: usize = 16;
/// Maximum length of a part's name in logs, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// What a [`ContentKey`] stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentKind {
    /// A prompt part that other requests may share.
    Part,
    /// The whole request. Callers that repeat a request send the same content.
    Whole,
    /// Path, client account and body of the request, without what its callers may state differently when they repeat it.
    Path,
    /// The model, or the service of a request without one.
    Class,
}

impl ContentKind {
    fn label(self) -> &'static str {
        match self {
            ContentKind::Part => "part",
            ContentKind::Whole => "request",
            ContentKind::Path => "path",
            ContentKind::Class => "class",
        }
    }
}

/// Computes the key of a piece of content. Keys are stored, so they do not depend on the version of the program.
pub fn content_key(kind: ContentKind, name: &str) -> ContentKey {
    let digest = Sha256::new()
        .chain_update(kind.label())
        .chain_update([0])
        .chain_update(name)
        .finalize();
    let mut bytes = [0; size_of::<u64>()];
    bytes.copy_from_slice(&digest[..size_of::<u64>()]);
    ContentKey(u64::from_be_bytes(bytes))
}

/// Name of a whole request: a digest of the fields that all its repetitions share, in order. It is stored, and a caller must not be
/// able to make a request that has the name of another one.
pub fn request_name(fields: &[Option<&[u8]>]) -> CompactString {
    let mut digest = Sha256::new();
    for field in fields {
        // The length keeps neighbouring fields apart; an absent field differs from an empty one.
        let length = field.map_or(0, |bytes| bytes.len() as u64 + 1);
        digest.update(length.to_be_bytes());
        digest.update(field.unwrap_or_default());
    }
    let digest = digest.finalize();
    let mut name = CompactString::default();
    for byte in &digest[..NAME_BYTES] {
        name.push_str(&format_compact!("{byte:02x}"));
    }
    name
}

/// A path as it is compared: escapes of characters that need none are decoded, and the others have upper-case digits.
pub fn normalized_path(path: &str) -> CompactString {
    let mut normalized = CompactString::default();
    let mut rest = path;
    while let Some((before, after)) = rest.split_once('%') {
        normalized.push_str(before);
        rest = after;
        let digits = after.get(..2);
        let Some(byte) = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) else {
            normalized.push('%');
            continue;
        };
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            normalized.push(char::from(byte));
        } else {
            normalized.push_str(&format_compact!("%{byte:02X}"));
        }
        rest = &after[2..];
    }
    normalized.push_str(rest);
    normalized
}

/// A piece of content that may end backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContentItem {
    /// Key of the piece, the same at all nodes.
    pub key: ContentKey,
    /// What the key stands for.
    pub kind: ContentKind,
    /// Name under which it is logged.
    pub name: CompactString,
}

impl ContentItem {
    /// Creates an item from the name of the piece.
    pub fn new(kind: ContentKind, name: &str) -> Self {
        let end = name.floor_char_boundary(MAX_NAME_BYTES);
        Self {
            key: content_key(kind, name),
            kind,
            name: name[..end].into(),
        }
    }
}

impl fmt::Display for ContentItem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.kind.label(), self.name)
    }
}

/// Content of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestContent {
    /// Pieces that may end a backend server: the shared parts of the prompt, and the request as a whole.
    pub items: Vec<ContentItem>,
    /// Key of the model, or of the service of a request without one. It has 32 bits, to keep heartbeats small.
    pub class: ContentKey,
    /// Request id, for logs.
    pub request: CompactString,
    /// Identifies the caller's attempt: a hash of the request id.
    pub attempt: u32,
}

impl RequestContent {
    /// Describes a request. `parts` are the names of the parts of its prompt that others may share, `whole` identifies its
    /// whole content, `class` names the model or service, and `id` is the request id. Any part may be the one that ends backend
    /// servers, so all of them are considered; the limit on the head of a request bounds their number.
    pub fn new(parts: &[&str], whole: &str, class: &str, id: &str) -> Self {
        let mut items: Vec<ContentItem> = Vec::with_capacity(parts.len() + 2);
        let mut keys = HashSet::with_capacity(parts.len());
        for name in parts {
            let item = ContentItem::new(ContentKind::Part, name);
            if keys.insert(item.key) {
                items.push(item);
            }
        }
        items.push(ContentItem::new(ContentKind::Whole, whole));
        Self {
            items,
            class: ContentKey(u64::from(short_number(content_key(
                ContentKind::Class,
                class,
            )))),
            request: id.into(),
            attempt: short_number(content_key(ContentKind::Whole, id)),
        }
    }

    /// Adds the name of the path, client account and body.
    pub fn with_path(mut self, name: &str) -> Self {
        self.items.push(ContentItem::new(ContentKind::Path, name));
        self
    }

    /// Number that all requests with the same content share.
    pub fn whole_number(&self) -> u32 {
        let whole = self
            .items
            .iter()
            .find(|item| item.kind == ContentKind::Whole);
        whole.map_or(self.attempt, |item| short_number(item.key))
    }
}

/// Number of a piece in the evidence against others.
pub(crate) fn short_number(key: ContentKey) -> u32 {
    (key.0 >> 32) as u32
}
