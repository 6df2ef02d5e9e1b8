//! Reloads changed settings while the node runs.

use std::fs;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::ToCompactString;
use compact_str::format_compact;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::node::EntryNode;
use crate::node::own_retries;
use crate::node::pooled_retries;
use crate::settings::EntrySettings;
use crate::settings_file::parse_settings;

/// Interval at which the file is checked for changes made without a SIGHUP.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Result of comparing new settings with those in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsChange {
    /// Fields that take effect now, as `name=value`.
    pub applied: Vec<CompactString>,
    /// Names of changed fields that take effect only after a restart.
    pub needs_restart: Vec<&'static str>,
}

fn or_dash(value: Option<impl ToCompactString>) -> CompactString {
    value.map_or("-".into(), |value| value.to_compact_string())
}

/// Compares new settings with those in force.
pub fn compare_settings(old: &EntrySettings, new: &EntrySettings) -> SettingsChange {
    let mut change = SettingsChange::default();
    if old.log_level != new.log_level {
        change
            .applied
            .push(format_compact!("log_level={}", new.log_level));
    }
    if old.bounds != new.bounds {
        change.applied.push(format_compact!(
            "bounds.stop_grace={} bounds.drain={} bounds.repeat_ratio={} bounds.repeat_slack={} bounds.directory_lifetime_secs={} bounds.evacuation={} bounds.cold_ratio={} bounds.cold_slack={}",
            new.bounds.stop_grace,
            new.bounds.drain,
            new.bounds.repeat_ratio,
            new.bounds.repeat_slack,
            new.bounds.directory_lifetime_secs,
            or_dash(new.bounds.evacuation),
            or_dash(new.bounds.cold_ratio),
            new.bounds.cold_slack
        ));
    }
    let restart_fields = [
        ("node", old.node != new.node),
        ("failure_domain", old.failure_domain != new.failure_domain),
        ("address", old.address != new.address),
        ("listen", old.listen != new.listen),
        ("peer_ports", old.peer_ports != new.peer_ports),
        ("store", old.store != new.store),
        ("memory", old.memory != new.memory),
        ("processor", old.processor != new.processor),
        ("admission", old.admission != new.admission),
    ];
    change.needs_restart.extend(
        restart_fields
            .iter()
            .filter(|(_, differs)| *differs)
            .map(|(name, _)| name),
    );
    change
}

/// Watches the settings file and applies changes. `hangup` triggers an immediate check. Never returns.
pub async fn watch_settings(node: Rc<EntryNode>, path: PathBuf, hangup: Rc<Notify>) {
    let mut in_force = node.settings.clone();
    // The file may have changed since the settings in force were read.
    let mut last_text = None;
    loop {
        let is_requested = timeout(CHECK_INTERVAL, hangup.notified()).await.is_ok();
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => {
                if is_requested {
                    log::warn!(
                        "event=settings_unreadable file={} error=\"{error}\"",
                        path.display()
                    );
                }
                continue;
            }
        };
        let is_known = last_text.as_ref() == Some(&text);
        if is_known && !is_requested {
            continue;
        }
        let result = parse_settings(&path.display().to_string(), &text);
        last_text = Some(text);
        match result {
            Ok(parsed) => {
                parsed.report();
                let new = parsed.settings;
                if new != in_force {
                    apply_settings(&node, &in_force, &new);
                    in_force = new;
                } else if is_requested {
                    log::info!("event=settings_unchanged file={}", path.display());
                }
            }
            Err(error) => {
                log::error!("event=settings_refused effect=none error=\"{error}\"");
            }
        }
    }
}

fn apply_settings(node: &EntryNode, old: &EntrySettings, new: &EntrySettings) {
    let change = compare_settings(old, new);
    node.bounds.set(new.bounds);
    if old.bounds != new.bounds {
        let own = own_retries(&new.bounds);
        let mut gateway = node.gateway.borrow_mut();
        gateway.set_retry_limits(own.permille, own.burst);
        gateway.set_pool_limits(pooled_retries(&new.bounds));
        gateway.set_cold_bound(new.bounds.cold_bound());
    }
    log::info!(
        "event=settings_changed applied=\"{}\" needs_restart=\"{}\"",
        change.applied.join(" "),
        change.needs_restart.join(" ")
    );
    if let Ok(level) = new.log_level.parse() {
        log::set_max_level(level);
    }
}
