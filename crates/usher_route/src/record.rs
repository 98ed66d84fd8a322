//! Conversion of routes and limits to and from messages. Not for: sets of them.

use std::time;

use prost::Message as _;
use usher_wire::message;

use crate::{error, rule};

impl rule::RouteRule {
    /// Converts the rule to a message.
    pub(crate) fn to_message(&self) -> message::RouteRecord {
        let kind = match self.kind {
            rule::RepeatKind::Once => message::RouteKind::Once,
            rule::RepeatKind::Repeatable => message::RouteKind::Repeatable,
            rule::RepeatKind::Stream => message::RouteKind::Stream,
            rule::RepeatKind::ResumableStream => message::RouteKind::ResumableStream,
        };
        let services = self.services.iter().map(|share| message::WeightedService {
            service: share.service.to_string(),
            weight: share.weight,
        });
        message::RouteRecord {
            name: self.name.clone(),
            host: self.host.clone(),
            prefix: self.prefix.clone(),
            kind: kind.into(),
            timeout_ms: milliseconds(self.timeout),
            objective_ms: milliseconds(self.objective),
            max_event_gap_ms: self.max_event_gap.map(milliseconds),
            priority: self.priority.into(),
            services: services.collect(),
            max_attempts: self.max_attempts,
            is_public: self.is_public,
        }
    }

    /// Reads a rule from a message.
    ///
    /// # Errors
    ///
    /// Fails when the kind is unknown or the priority is out of range.
    pub(crate) fn from_message(record: &message::RouteRecord) -> Result<Self, error::RecordError> {
        let kind =
            message::RouteKind::try_from(record.kind).map_err(|_| error::RecordError::Kind {
                route: record.name.clone(),
                kind: record.kind,
            })?;
        let priority = u8::try_from(record.priority).map_err(|_| error::RecordError::Priority {
            route: record.name.clone(),
            priority: record.priority,
        })?;
        let services = record.services.iter().map(|share| rule::ServiceWeight {
            service: usher_types::ServiceName::new(share.service.as_str()),
            weight: share.weight,
        });
        Ok(Self {
            name: record.name.clone(),
            host: record.host.clone(),
            prefix: record.prefix.clone(),
            kind: match kind {
                message::RouteKind::Once => rule::RepeatKind::Once,
                message::RouteKind::Repeatable => rule::RepeatKind::Repeatable,
                message::RouteKind::Stream => rule::RepeatKind::Stream,
                message::RouteKind::ResumableStream => rule::RepeatKind::ResumableStream,
            },
            timeout: time::Duration::from_millis(record.timeout_ms),
            objective: time::Duration::from_millis(record.objective_ms),
            max_event_gap: record.max_event_gap_ms.map(time::Duration::from_millis),
            priority,
            services: services.collect(),
            max_attempts: record.max_attempts,
            is_public: record.is_public,
        })
    }

    /// Returns the checksum of the rule's message without the public mark, as gateways compute it
    /// that don't know the mark.
    pub(crate) fn checksum(&self) -> u64 {
        let record = message::RouteRecord {
            is_public: false,
            ..self.to_message()
        };
        crc32fast::hash(&record.encode_to_vec()).into()
    }

    /// Returns the checksum of the complete message of a public route, 0 for any other route.
    pub(crate) fn public_checksum(&self) -> u64 {
        if !self.is_public {
            return 0;
        }
        crc32fast::hash(&self.to_message().encode_to_vec()).into()
    }
}

impl rule::CallerLimits {
    /// Converts the limits to a message.
    pub(crate) fn to_message(self) -> message::CallerLimitsRecord {
        message::CallerLimitsRecord {
            head_bytes: self.head_bytes as u64,
            body_bytes: self.body_bytes as u64,
            head_timeout_ms: milliseconds(self.head_timeout),
            idle_timeout_ms: milliseconds(self.idle_timeout),
        }
    }

    /// Reads limits from a message.
    pub(crate) fn from_message(record: &message::CallerLimitsRecord) -> Self {
        let size = |bytes| usize::try_from(bytes).unwrap_or(usize::MAX);
        Self {
            head_bytes: size(record.head_bytes),
            body_bytes: size(record.body_bytes),
            head_timeout: time::Duration::from_millis(record.head_timeout_ms),
            idle_timeout: time::Duration::from_millis(record.idle_timeout_ms),
        }
    }
}

fn milliseconds(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
