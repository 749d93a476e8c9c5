//! Conversion of member records to and from the wire format.

use std::{collections::BTreeSet, sync::Arc};

use tallybridge_wire::{ShortText, WirePlacement, WireUpdate};

use crate::{
    member::{MemberRecord, Placement},
    merge::Reporter,
};

pub(crate) fn to_update(
    record: &MemberRecord,
    reporter: Reporter,
    with_placement: bool,
) -> WireUpdate {
    let placement = with_placement.then(|| to_wire_placement(&record.placement));
    WireUpdate::new(
        record.node,
        record.incarnation.0,
        record.health as u8,
        record.leaving,
        reporter.0,
        placement,
    )
}

fn to_wire_placement(placement: &Placement) -> WirePlacement {
    WirePlacement {
        service: ShortText::new(placement.service.as_str()),
        region: ShortText::new(placement.region.as_str()),
        zone: ShortText::new(placement.zone.as_str()),
        rack: ShortText::new(&placement.rack),
    }
}

/// Converts a placement from the wire; returns `None` if a name is not UTF-8.
pub(crate) fn to_placement(wire: &WirePlacement) -> Option<Placement> {
    Some(Placement {
        service: wire.service.as_str()?.into(),
        region: wire.region.as_str()?.into(),
        zone: wire.zone.as_str()?.into(),
        rack: wire.rack.as_str()?.into(),
    })
}

/// Interned placements. Many members have the same placement, so each row holds only a pointer.
#[derive(Debug, Default)]
pub(crate) struct PlacementPool {
    placements: BTreeSet<Arc<Placement>>,
}

impl PlacementPool {
    /// Returns the shared copy of a placement.
    pub(crate) fn intern(&mut self, placement: Placement) -> Arc<Placement> {
        if let Some(known) = self.placements.get(&placement) {
            return Arc::clone(known);
        }
        let shared = Arc::new(placement);
        self.placements.insert(Arc::clone(&shared));
        shared
    }
}
