//! Detects changes of a running daemon's settings file. Not for: applying the changes.

use std::time;

use crate::{daemon, error};

/// Interval between checks of the settings file, which may change without a SIGHUP.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Reloads the settings of a daemon after SIGHUP and at a fixed interval.
#[derive(Debug)]
pub(crate) struct SettingsWatch<T, R> {
    current: T,
    load: R,
    signal: daemon::ReloadSignal,
}

impl<T, R> SettingsWatch<T, R>
where
    T: Clone + PartialEq,
    R: Fn() -> Result<T, error::CommandError>,
{
    /// Starts watching for changes from `current`; `load` reads the settings file.
    pub(crate) fn new(current: T, load: R) -> Result<Self, error::CommandError> {
        Ok(Self {
            current,
            load,
            signal: daemon::ReloadSignal::new()?,
        })
    }

    /// Waits until the settings differ from the current ones, and returns the new ones. Errors in
    /// the settings file are logged, and the current settings are kept.
    pub(crate) async fn changed(&mut self) -> T {
        loop {
            let signalled = self.signal.wait(CHECK_INTERVAL).await;
            let settings = match (self.load)() {
                Ok(settings) => settings,
                Err(error) => {
                    tracing::error!(%error, "failed to reload the settings; keeping the current ones");
                    continue;
                }
            };
            let changed = settings != self.current;
            if signalled || changed {
                tracing::info!(signalled, changed, "settings read again");
            }
            if changed {
                self.current = settings.clone();
                return settings;
            }
        }
    }
}
