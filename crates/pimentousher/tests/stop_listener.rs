//! The stop signals of daemons: none is lost between two waits.

use std::time;

use nix::sys::signal::Signal;
use pimentousher::daemon;

/// Timeout that only ends a test that hangs.
const HANG_LIMIT: time::Duration = time::Duration::from_secs(5);

fn check_signal(signal: Signal) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let mut listener = daemon::StopListener::new().unwrap();
        nix::sys::signal::raise(signal).unwrap();
        // Lets the runtime take the signal before the next wait begins.
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        tokio::select! {
            biased;
            () = std::future::ready(()) => {}
            _ = listener.wait() => unreachable!(),
        }
        let received = tokio::time::timeout(HANG_LIMIT, listener.wait()).await;
        assert_eq!(received, Ok(signal.as_str()));
    });
}

// Guards against a stop signal that arrives while a daemon handles something else and is ignored.
usher_types::cases! { check_signal:
    termination_is_kept(Signal::SIGTERM);
    interrupt_is_kept(Signal::SIGINT);
}
