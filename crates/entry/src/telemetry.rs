//! Metrics of an entry node.

use eyre::WrapErr;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Renders the process's metrics.
pub struct MetricsText {
    handle: PrometheusHandle,
}

impl MetricsText {
    /// Installs the recorder of the process.
    ///
    /// # Errors
    ///
    /// Fails when a recorder is installed already.
    pub fn install() -> eyre::Result<Self> {
        let handle = PrometheusBuilder::new()
            .install_recorder()
            .wrap_err("a metrics recorder is installed already")?;
        Ok(Self { handle })
    }

    /// The metrics as text.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
