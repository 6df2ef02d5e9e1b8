//! The daemon of an entry VM.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;
use eyre::WrapErr;
use eyre::bail;
use jaysaddle_daemon::Daemon;
use jaysaddle_daemon::logging;
use jaysaddle_engine::HttpEngine;
use jaysaddle_entry::run_entry;
use jaysaddle_platform::HttpStore;
use jaysaddle_settings::NodeSettings;
use jaysaddle_settings::check::check_settings;
use jaysaddle_settings::yaml::read_yaml;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Options of the daemon.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct DaemonOptions {
    #[bpaf(external(settings_source))]
    source: SettingsSource,
}

/// Where the settings are, and for which surroundings.
#[derive(Clone, Debug, Bpaf)]
enum SettingsSource {
    /// With an inventory kept by operators.
    Inventory {
        /// Settings file, YAML; see `jaysaddle settings default`.
        #[bpaf(long("settings"), argument("FILE"))]
        settings: PathBuf,
    },
    /// On a platform where backend servers register themselves.
    Platform {
        /// Settings file of an entry VM, YAML; see docs/platform.md.
        #[bpaf(long("entry-settings"), argument("FILE"))]
        entry_settings: PathBuf,
    },
}

fn run(options: &DaemonOptions) -> eyre::Result<()> {
    match &options.source {
        SettingsSource::Inventory { settings } => run_with_inventory(settings),
        SettingsSource::Platform { entry_settings } => run_entry(entry_settings.clone()),
    }
}

fn run_with_inventory(path: &Path) -> eyre::Result<()> {
    let settings: NodeSettings = read_yaml(path)?;
    let problems = check_settings(&settings);
    if !problems.is_empty() {
        let list: Vec<_> = problems.iter().map(ToString::to_string).collect();
        bail!("{}: {}", path.display(), list.join("; "));
    }
    logging::init(&settings.log, &settings.node)?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("signals cannot be received")?;
    let store = Arc::new(HttpStore::new(settings.platform));
    let daemon = Daemon::start(settings, Arc::new(HttpEngine), store)?;
    signals.forever().next();
    daemon.stop();
    Ok(())
}

fn main() -> ExitCode {
    let options = daemon_options().run();
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jaysaddled: {error:#}");
            ExitCode::FAILURE
        }
    }
}
