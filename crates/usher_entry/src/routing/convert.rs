//! Converts between announcements, registry records and load reports.
//!
//! Not for: state.

use std::net;

use usher_policy::TargetInfo;
use usher_types::IncarnationId;
use usher_wire::message;

use crate::announce;

pub(super) fn to_target_record(announcement: &announce::Announcement) -> message::TargetRecord {
    let text = |value: Option<String>| value.unwrap_or_default();
    message::TargetRecord {
        name: announcement.name.to_string(),
        incarnation: announcement.incarnation.get(),
        address: announcement.address.to_string(),
        kind: announcement.kind.to_string(),
        service: announcement.service.to_string(),
        shape: Some(message::EngineShape {
            model: text(announcement.model.as_ref().map(ToString::to_string)),
            version: text(announcement.version.as_ref().map(ToString::to_string)),
            adapters: announcement
                .adapters
                .iter()
                .map(ToString::to_string)
                .collect(),
            role: text(announcement.role.map(|role| role.to_string())),
        }),
        region: announcement.region.to_string(),
        domain: announcement.domain.to_string(),
        kv_pieces: announcement.kv_pieces,
        fenced: announcement.fenced,
        leaving: announcement.leaving,
    }
}

/// Returns whether a registered record is up to date with an announced one. The leaving mark stays
/// for the lifetime of an incarnation, even if the target no longer announces it.
pub(super) fn registry_matches(
    registered: &message::TargetRecord,
    announced: &message::TargetRecord,
) -> bool {
    let expected = message::TargetRecord {
        leaving: registered.leaving || announced.leaving,
        ..announced.clone()
    };
    *registered == expected
}

pub(super) fn to_load_report(announcement: &announce::Announcement) -> message::LoadReport {
    message::LoadReport {
        target: announcement.name.to_string(),
        incarnation: announcement.incarnation.get(),
        age_ms: 0,
        running: announcement.load.running,
        waiting: announcement.load.waiting,
        prefill_tokens_waiting: announcement.load.prefill_tokens_waiting,
        kv_pieces_used: announcement.load.kv_pieces_used,
    }
}

pub(super) fn to_target_info(
    record: &message::TargetRecord,
    honor_leaving: bool,
) -> Option<(TargetInfo, net::SocketAddr)> {
    let address = record.address.parse().ok()?;
    let shape = record.shape.clone().unwrap_or_default();
    let info = TargetInfo {
        name: record.name.parse().ok()?,
        incarnation: IncarnationId::new(record.incarnation),
        kind: record.kind.parse().ok()?,
        service: record.service.parse().ok()?,
        model: shape.model.parse().ok(),
        version: shape.version.parse().ok(),
        adapters: shape
            .adapters
            .into_iter()
            .map(usher_types::AdapterName::new)
            .collect(),
        role: shape.role.parse().unwrap_or_default(),
        region: record.region.parse().ok()?,
        domain: record.domain.parse().ok()?,
        pieces: usher_types::PieceCount::new(record.kv_pieces),
        leaving: record.leaving && honor_leaving,
    };
    Some((info, address))
}
