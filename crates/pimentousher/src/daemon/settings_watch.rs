//! Notices that the settings file of a running daemon changed. Not for: using what changed.

use std::time;

use crate::{daemon, error};

/// How often the file is compared with what is in force: it may change without a signal.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Reads the settings of a daemon again, after SIGHUP and from time to time.
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
    /// Starts to watch; `read` reads the file.
    pub(crate) fn new(current: T, load: R) -> Result<Self, error::CommandError> {
        Ok(Self {
            current,
            load,
            signal: daemon::ReloadSignal::new()?,
        })
    }

    /// Waits until the settings differ, and returns them. Settings with an error are logged, and
    /// those in force are kept.
    pub(crate) async fn changed(&mut self) -> T {
        loop {
            let signalled = self.signal.wait(CHECK_INTERVAL).await;
            let settings = match (self.load)() {
                Ok(settings) => settings,
                Err(error) => {
                    tracing::error!(%error, "changed settings are not used");
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
