//! Reads the body of a request or a response into memory, up to a limit for the body and one for all bodies at a time.

use std::error::Error;
use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use http_body::Body;
use http_body_util::BodyExt;
use jaysaddle_types::units::ByteCount;

use crate::byte_budget::BudgetExceeded;
use crate::byte_budget::ByteBudget;
use crate::byte_budget::HeldBytes;
use crate::response_bounds::BoundKind;
use crate::response_bounds::report_bound;

/// Smallest buffer of a body, in bytes.
const MIN_BUFFER_BYTES: usize = 1 << 10;

/// Limits of the body of a response.
#[derive(Clone, Copy, Debug)]
pub struct BodyBounds<'a> {
    /// Limit of this body.
    pub limit: ByteCount,
    /// Limit of all bodies at a time.
    pub budget: &'a Arc<ByteBudget>,
    /// Name of the server that sends the body, for logs.
    pub sender: &'a str,
}

/// Reason why a body was not read to its end.
#[derive(Debug)]
pub enum BodyError {
    /// The connection failed or the body is malformed.
    Broken(CompactString),
    /// The body exceeds its limit.
    TooLong(ByteCount),
    /// All bodies together take too much memory.
    NoMemory(BudgetExceeded),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::Broken(cause) => f.write_str(cause),
            BodyError::TooLong(limit) => write!(f, "the body exceeds {limit}"),
            BodyError::NoMemory(error) => write!(f, "{error}"),
        }
    }
}

impl Error for BodyError {}

/// Body in memory that gives its bytes back to the budget on drop.
struct HeldBody {
    data: Vec<u8>,
    _held: HeldBytes,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Buffer of a body while it arrives.
struct BodyBuffer {
    data: Vec<u8>,
    held: HeldBytes,
    limit: usize,
    /// Length of the body if it is stated, else its limit.
    expected: usize,
}

impl BodyBuffer {
    fn new(stated: Option<u64>, limit: ByteCount, budget: &Arc<ByteBudget>) -> Self {
        let limit = usize::try_from(limit.0).unwrap_or(usize::MAX);
        let stated = stated.and_then(|length| usize::try_from(length).ok());
        Self {
            data: Vec::new(),
            held: budget.holder(),
            limit,
            expected: stated.map_or(limit, |length| length.min(limit)),
        }
    }

    /// Takes the room for a body of the stated length at once. Memory that no data has reached yet is not used.
    fn reserve(&mut self, stated: Option<u64>) -> Result<(), BodyError> {
        if stated.is_some() {
            self.held
                .resize(self.expected)
                .map_err(BodyError::NoMemory)?;
            self.data.reserve_exact(self.expected);
        }
        Ok(())
    }

    fn into_bytes(mut self) -> Bytes {
        self.shrink();
        let Self { data, held, .. } = self;
        Bytes::from_owner(HeldBody { data, _held: held })
    }

    /// Appends data.
    fn push(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let length = self.data.len() + data.len();
        if length > self.limit {
            return Err(BodyError::TooLong(ByteCount(self.limit as u64)));
        }
        let capacity = self.data.capacity();
        if length > capacity {
            let doubled = (capacity * 2).max(MIN_BUFFER_BYTES).min(self.expected);
            let mut wanted = length.max(doubled);
            if self.held.resize(wanted).is_err() {
                // Without room for growth, the body may still fit.
                wanted = length;
                self.held.resize(wanted).map_err(BodyError::NoMemory)?;
            }
            self.data.reserve_exact(wanted - self.data.len());
        }
        self.data.extend_from_slice(data);
        Ok(())
    }

    /// Gives back what the body does not need.
    fn shrink(&mut self) {
        self.data.shrink_to_fit();
        // Taking fewer bytes cannot fail.
        let _ = self.held.resize(self.data.len());
    }
}

/// Reads a body to its end. The bytes count against the budget until the last reference to them is dropped.
///
/// # Errors
///
/// Fails when the connection fails or a bound is reached, which drops the body and thereby closes its connection.
pub async fn read_bounded<B>(mut body: B, bounds: BodyBounds<'_>) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Error,
{
    let mut buffer = BodyBuffer::new(body.size_hint().exact(), bounds.limit, bounds.budget);
    let result = fill(&mut buffer, &mut body).await;
    let kind = match &result {
        Err(BodyError::TooLong(_)) => Some(BoundKind::Body),
        Err(BodyError::NoMemory(_)) => Some(BoundKind::Memory),
        Ok(()) | Err(BodyError::Broken(_)) => None,
    };
    if let Some(kind) = kind {
        report_bound(bounds.sender, kind, buffer.data.len());
    }
    result?;
    Ok(buffer.into_bytes())
}

/// Reads the body of a request to its end. A body whose stated length has no room is not read, so that it is refused at once. The bytes
/// count against the budget until the last reference to them is dropped.
///
/// # Errors
///
/// Fails when the connection fails or a bound is reached.
pub async fn read_reserved<B>(
    mut body: B,
    limit: ByteCount,
    budget: &Arc<ByteBudget>,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Error,
{
    let stated = body.size_hint().exact();
    let mut buffer = BodyBuffer::new(stated, limit, budget);
    if stated.is_none_or(|length| length <= limit.0) {
        buffer.reserve(stated)?;
    }
    fill(&mut buffer, &mut body).await?;
    Ok(buffer.into_bytes())
}

async fn fill<B>(buffer: &mut BodyBuffer, body: &mut B) -> Result<(), BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Error,
{
    if body.size_hint().lower() > buffer.limit as u64 {
        return Err(BodyError::TooLong(ByteCount(buffer.limit as u64)));
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Broken(error_text(&error)))?;
        if let Ok(data) = frame.into_data() {
            buffer.push(&data)?;
        }
    }
    Ok(())
}

/// Text of an error with its sources.
fn error_text(error: &dyn Error) -> CompactString {
    let mut text = CompactString::from(error.to_string());
    let mut source = error.source();
    while let Some(error) = source {
        text.push_str(": ");
        text.push_str(&error.to_string());
        source = error.source();
    }
    text
}
