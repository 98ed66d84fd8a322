//! The registry of the services of a process. Not for: targets, which the target table holds.

use std::{any, collections, sync};

use crate::error;

/// A shared handle of a service.
pub type ServiceHandle<T> = sync::Arc<T>;

/// Holds the services of one process by name.
///
/// It is filled at startup and read only while the daemon is wired.
///
/// ```
/// use usher_kernel::ServiceRegistry;
/// let registry = ServiceRegistry::new();
/// registry.register("limit", 7_u32).unwrap();
/// assert_eq!(*registry.find::<u32>("limit").unwrap(), 7);
/// ```
#[derive(Clone, Default)]
pub struct ServiceRegistry {
    services: sync::Arc<sync::RwLock<collections::BTreeMap<&'static str, AnyService>>>,
}

// Services have different types. The cost of the downcast doesn't matter, because lookups happen
// only at startup.
type AnyService = sync::Arc<dyn any::Any + Send + Sync>;

impl ServiceRegistry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service under a name and returns its handle.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is already registered.
    pub fn register<T>(
        &self,
        name: &'static str,
        service: T,
    ) -> Result<ServiceHandle<T>, error::KernelError>
    where
        T: Send + Sync + 'static,
    {
        let handle = sync::Arc::new(service);
        let mut services = self
            .services
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if services.contains_key(name) {
            return Err(error::KernelError::Duplicate(name));
        }
        services.insert(name, handle.clone());
        Ok(handle)
    }

    /// Finds a service by its name.
    ///
    /// # Errors
    ///
    /// Returns an error if no service has the name, or if the service has a different type.
    pub fn find<T>(&self, name: &'static str) -> Result<ServiceHandle<T>, error::KernelError>
    where
        T: Send + Sync + 'static,
    {
        let services = self
            .services
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let service = services
            .get(name)
            .ok_or(error::KernelError::Missing(name))?;
        sync::Arc::clone(service)
            .downcast()
            .map_err(|_| error::KernelError::WrongType(name))
    }
}
