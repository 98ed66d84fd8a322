//! The services of a process by name. Not for: targets, which belong to the route table.

use std::{any, collections, sync};

use crate::error;

/// A shared handle of a service.
pub type ServiceHandle<T> = sync::Arc<T>;

/// Holds the services of one process; filled at start, read while wiring.
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

// Services have different types, and look-up happens only while a daemon starts.
type AnyService = sync::Arc<dyn any::Any + Send + Sync>;

impl ServiceRegistry {
    /// Makes an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service under a name and returns its handle.
    ///
    /// # Errors
    ///
    /// Fails when the name is taken.
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
    /// Fails when no service has the name, or it has another type.
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
