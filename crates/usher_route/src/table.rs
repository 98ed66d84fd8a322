//! Finds the route of a call. Not for: choosing its target.

use std::{collections, sync};

use crate::{rule, sheet};

/// A validated set of routes with an index by host.
#[derive(Clone, Debug)]
pub struct RouteTable {
    sheet: sheet::RouteSheet,
    /// Routes of each host, those with the longest prefix first.
    hosts: collections::HashMap<String, Vec<sync::Arc<rule::RouteRule>>>,
}

impl RouteTable {
    /// Makes the index of a validated set.
    pub fn new(sheet: sheet::RouteSheet) -> Self {
        let mut hosts = collections::HashMap::<_, Vec<_>>::new();
        for route in &sheet.routes {
            let routes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            routes.push(sync::Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { sheet, hosts }
    }

    /// Returns the set.
    pub fn sheet(&self) -> &sheet::RouteSheet {
        &self.sheet
    }

    /// Returns the version of the set.
    pub fn version(&self) -> usher_types::ConfigVersion {
        self.sheet.version
    }

    /// Returns the route of a host, which may include a port, with the longest matching prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&sync::Arc<rule::RouteRule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            let numeric = port.bytes().all(|digit| digit.is_ascii_digit());
            if numeric {
                name
            } else {
                host
            }
        });
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}
