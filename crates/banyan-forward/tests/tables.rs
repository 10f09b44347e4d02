//! Expiry of pending orders in [`ForwardTables`].

use banyan_core::ids::LayerRange;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::fleet::TargetPhase;
use banyan_core::pipeline::fleet::TargetReport;
use banyan_core::pipeline::report_stamp::ReportStamp;
use banyan_core::units::Moment;
use banyan_forward::decisions::tables::ForwardTables;
use banyan_forward::decisions::tables::PendingOrder;

#[test]
fn an_order_of_a_lost_leader_excludes_its_engine_from_chains_only_until_it_expires() {
    let held = LayerRange { first: 0, end: 20 };
    let report = TargetReport {
        service: "engines".parse().expect("a name"),
        address: "10.0.0.1:1".parse().expect("an address"),
        zone: "a".parse().expect("a name"),
        phase: TargetPhase::Ready,
        slots: 1,
        kind: None,
        held: vec![held],
        stamp: ReportStamp::default(),
    };
    let id: TargetId = "e1".parse().expect("a name");
    let mut tables = ForwardTables::default();
    tables.fleet.apply(FleetChange::Reported(id.clone(), report), Moment(0));
    let expires_at = Moment(3_000_000);
    let order = PendingOrder {
        range: Some(LayerRange { first: 40, end: 60 }),
        next_check_at: expires_at,
        expires_at,
        taken_at: None,
    };
    tables.pending_orders.insert(id.clone(), order);
    tables.sync_orders();
    assert!(tables.fleet.rows[&id].kept_layers().is_empty());
    tables.expire_orders(Moment(2_999_999));
    assert!(tables.fleet.rows[&id].kept_layers().is_empty());
    tables.expire_orders(expires_at);
    assert_eq!(tables.fleet.rows[&id].kept_layers(), vec![held]);
}
