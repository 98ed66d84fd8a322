//! Looks up and lists the models that callers can request.
//!
//! Not for: calling them.

use std::collections;

use axum::{extract, Json};

use crate::{core, types};

/// The service, model and adapter that a requested model name refers to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ModelLocation {
    pub(crate) service: usher_types::ServiceName,
    pub(crate) model: usher_types::ModelName,
    pub(crate) adapter: Option<usher_types::AdapterName>,
}

impl<P> core::EntryCore<P>
where
    P: types::EntryTypes,
{
    /// Finds the service of a model or adapter, first in the sheet, then among the registered
    /// targets.
    pub(crate) fn find_model(&self, name: &str) -> Option<ModelLocation> {
        let config = self.config.current();
        for row in config.sheet.rows() {
            let Some(model) = &row.model else {
                continue;
            };
            let adapter = row.adapters.iter().find(|adapter| adapter.as_str() == name);
            if model.as_str() == name || adapter.is_some() {
                return Some(ModelLocation {
                    service: row.service.clone(),
                    model: model.clone(),
                    adapter: adapter.cloned(),
                });
            }
        }
        self.find_announced_model(name)
    }

    fn find_announced_model(&self, name: &str) -> Option<ModelLocation> {
        let routing = self.routing();
        let location = routing.records().find_map(|record| {
            let shape = record.shape.as_ref()?;
            if shape.model.is_empty() {
                return None;
            }
            let adapter = shape.adapters.iter().find(|adapter| *adapter == name);
            (shape.model == name || adapter.is_some()).then(|| ModelLocation {
                service: usher_types::ServiceName::new(record.service.clone()),
                model: usher_types::ModelName::new(shape.model.clone()),
                adapter: adapter.cloned().map(usher_types::AdapterName::new),
            })
        });
        location
    }

    /// Returns the names of all models and adapters.
    fn model_names(&self) -> collections::BTreeSet<String> {
        let mut names = collections::BTreeSet::new();
        for row in self.config.current().sheet.rows() {
            if let Some(model) = &row.model {
                names.insert(model.to_string());
                names.extend(row.adapters.iter().map(ToString::to_string));
            }
        }
        for record in self.routing().records() {
            if let Some(shape) = &record.shape {
                names.insert(shape.model.clone());
                names.extend(shape.adapters.iter().cloned());
            }
        }
        names.remove("");
        names
    }
}

/// Answers `GET /v1/models`.
pub(crate) async fn list<P>(extract::State(core): core::CoreState<P>) -> Json<serde_json::Value>
where
    P: types::EntryTypes,
{
    let models: Vec<_> = core
        .model_names()
        .into_iter()
        .map(|name| {
            serde_json::json!({
                "id": name, "object": "model", "created": 0, "owned_by": "pimentousher",
            })
        })
        .collect();
    Json(serde_json::json!({ "object": "list", "data": models }))
}
