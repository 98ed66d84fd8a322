//! Tests of service lookup by name and type, and of the order of shutdown phases.

use usher_kernel::{KernelError, ServiceRegistry, StopSource};

/// Guards against a service that silently replaces another one with the same name.
#[test]
fn second_service_of_a_name_is_refused() {
    let registry = ServiceRegistry::new();
    registry.register("limits", 1_u8).unwrap();
    let error = registry.register("limits", 2_u8).unwrap_err();
    assert_eq!(error, KernelError::Duplicate("limits"));
    assert_eq!(*registry.find::<u8>("limits").unwrap(), 1);
}

/// Guards against a lookup with a different type that returns a wrong handle.
#[test]
fn missing_service_and_wrong_type_are_distinguished() {
    let registry = ServiceRegistry::new();
    registry.register("limits", 1_u8).unwrap();
    assert_eq!(
        registry.find::<u16>("limits").unwrap_err(),
        KernelError::WrongType("limits")
    );
    assert_eq!(
        registry.find::<u8>("routes").unwrap_err(),
        KernelError::Missing("routes")
    );
}

/// Guards against a second SIGTERM that returns a stopping daemon to the draining phase.
#[tokio::test]
async fn stop_never_goes_back() {
    let (source, signal) = StopSource::new();
    assert!(!signal.is_draining());
    source.stop();
    source.drain();
    signal.draining().await;
    signal.stopped().await;
    assert!(signal.is_draining());
}
