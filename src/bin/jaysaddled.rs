//! The jaysaddle daemon, which runs on every entry VM.

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
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Accepts callers' requests and forwards them to backend servers.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct DaemonOptions {
    #[bpaf(external(settings_source))]
    source: SettingsSource,
}

/// Settings file, which also selects the environment
#[derive(Clone, Debug, Bpaf)]
enum SettingsSource {
    Inventory {
        /// YAML settings file of a node whose VMs are listed in an inventory; see `jaysaddle settings default`
        #[bpaf(long("settings"), argument("FILE"))]
        settings: PathBuf,
    },
    Platform {
        /// YAML settings file of an entry VM on the platform, where backend servers register themselves; see docs/platform.md
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
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).wrap_err("failed to install signal handlers")?;
    let store = Arc::new(HttpStore::new(settings.platform));
    let daemon = Daemon::start(settings, Arc::new(HttpEngine), store)?;
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        log::warn!("SIGHUP is ignored: settings are read only at the start");
    }
    // The handlers stay installed, so that further signals do not end the process during the stop.
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
