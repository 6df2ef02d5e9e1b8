//! Client of the platform's object store and VM list.
//!
//! The interface is the trait [`PlatformStore`]; [`HttpStore`] implements it over HTTP. The client
//! never retries, because only the code that made the call can decide what an outcome means.

pub mod http;

pub use http::HttpStore;

use jaysaddle_types::evidence::ListedVm;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::store::StoredObject;
use jaysaddle_types::units::TimeSpan;

/// Changes returned by one watch call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchBatch {
    /// Revision up to which the batch is complete; the next watch starts after it.
    pub revision: StoreRevision,
    /// Objects written after the revision that the watch started from.
    pub objects: Vec<StoredObject>,
}

/// Operations on the platform's object store and VM list.
pub trait PlatformStore: Send + Sync {
    /// Executes one store request without retries.
    fn call(&self, request: &StoreRequest) -> StoreOutcome;

    /// Waits up to `wait` for objects of `kind` written after revision `after`. Revision 0
    /// returns all objects.
    ///
    /// # Errors
    ///
    /// Fails when the store is unavailable or the connection breaks.
    fn watch(
        &self,
        kind: ObjectKind,
        after: StoreRevision,
        wait: TimeSpan,
    ) -> eyre::Result<WatchBatch>;

    /// Reads the list of live and leaving VMs.
    ///
    /// # Errors
    ///
    /// Fails when the platform is unavailable or the connection breaks.
    fn list_vms(&self) -> eyre::Result<Vec<ListedVm>>;
}
