//! Client of the platform's object store and VM list.
//!
//! The border is the trait [`PlatformStore`]; [`HttpStore`] speaks HTTP to the platform. The client
//! never retries: what an outcome means is for the part that made the call to decide.

pub mod http;

pub use http::HttpStore;

use jaysaddle_types::evidence::ListedVm;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::store::StoredObject;
use jaysaddle_types::units::TimeSpan;

/// Changes delivered by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchBatch {
    /// Position up to which the batch is complete; the next watch starts here.
    pub revision: StoreRevision,
    /// Objects written after the position that the watch started from.
    pub objects: Vec<StoredObject>,
}

/// The platform as jaysaddle uses it.
pub trait PlatformStore: Send + Sync {
    /// Makes one call; never retries.
    fn call(&self, request: &StoreRequest) -> StoreOutcome;

    /// Waits up to `wait` for objects of `kind` written after `after`; 0 gives all objects.
    ///
    /// # Errors
    ///
    /// Fails when the store is down or the connection breaks.
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
    /// Fails when the platform is down or the connection breaks.
    fn list_vms(&self) -> eyre::Result<Vec<ListedVm>>;
}
