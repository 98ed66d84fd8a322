//! A set of routes and its validation. Not for: the look-up.

use std::collections;

use crate::{error, rule, team_rule};

usher_types::value_type! {
    /// All routes, services and teams of one version.
    pub struct RouteSheet {
        /// Version that the author chose; the highest one is active.
        pub version: usher_types::ConfigVersion,
        /// The routes.
        pub routes: Vec<rule::RouteRule>,
        /// The services by name.
        pub services: collections::BTreeMap<usher_types::ServiceName, rule::ServiceRule>,
        /// Limits on the requests of callers.
        pub limits: rule::CallerLimits,
        /// The teams; none when calls need no key.
        pub teams: Option<Vec<team_rule::TeamRule>>,
    }
}

impl RouteSheet {
    /// Validates the set, including rules between routes.
    ///
    /// # Errors
    ///
    /// Returns the first error; the set must not be activated then.
    pub fn validate(&self) -> Result<(), error::RouteError> {
        let mut matches = collections::BTreeMap::new();
        for route in &self.routes {
            self.validate_route(route)?;
            let key = (route.host.as_str(), route.prefix.as_str());
            if let Some(first) = matches.insert(key, route.name.as_str()) {
                return Err(error::RouteError::DuplicateMatch {
                    first: first.to_owned(),
                    second: route.name.clone(),
                    host: route.host.clone(),
                    prefix: route.prefix.clone(),
                });
            }
        }
        self.validate_keys()
    }

    fn validate_keys(&self) -> Result<(), error::RouteError> {
        let mut teams = collections::HashMap::new();
        for team in self.teams.iter().flatten() {
            for key in &team.keys {
                let first = *teams.entry(key).or_insert(&team.name);
                if *first != team.name {
                    return Err(error::RouteError::SharedKey {
                        first: first.clone(),
                        second: team.name.clone(),
                    });
                }
            }
        }
        Ok(())
    }

    fn validate_route(&self, route: &rule::RouteRule) -> Result<(), error::RouteError> {
        let name = || route.name.clone();
        let unknown = |share: &&rule::ServiceWeight| !self.services.contains_key(&share.service);
        if let Some(share) = route.services.iter().find(unknown) {
            return Err(error::RouteError::UnknownService {
                route: name(),
                service: share.service.clone(),
            });
        }
        if route.services.iter().all(|share| share.weight == 0) {
            return Err(error::RouteError::ZeroWeight { route: name() });
        }
        if route.timeout.is_zero() {
            return Err(error::RouteError::ZeroTimeout { route: name() });
        }
        if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
            return Err(error::RouteError::InvalidPrefix {
                route: name(),
                prefix: route.prefix.clone(),
            });
        }
        Ok(())
    }
}
