//! Explores all interleavings of a role that is handed over, or taken over, between two instances.
//!
//! The holder may be asked to leave at any time. Its lease may end at any time, after which it
//! rejoins when it observes this. Calls to the platform are carried out at any time, their answers
//! arrive at any time or never, and watches report the assignment at any time or never. Targets
//! rely on two properties: two runs may never give orders under the role at the same time, and two
//! holders never share an epoch.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_model::{Epoch, InstanceId, Moment, Revision};
use rstest::rstest;

use super::explore::{Explored, depth, explore};
use crate::bugs::{Bug, Bugs};
use crate::{
    AssignmentRecord, AssignmentShard, Holder, Incarnation, LeaseRecord, LeaseState,
    MemoryPlatform, Object, ObjectName, PlatformCall, PlatformOp, PlatformResult, Role, RoleAction,
    RoleConfig, RoleEntry, RoleEvent, RoleTable, WantedRole,
};

const DEPTH: usize = 23;
const STATES: usize = 100_000;
const NOW: Moment = Moment::from_millis(100_000);
const NAMES: [&str; 2] = ["a", "b"];
const HOLDER: usize = 0;
const TAKER: usize = 1;

#[derive(Clone, Debug, Hash)]
struct Pending {
    caller: usize,
    call: PlatformCall,
    result: Option<PlatformResult>,
}

#[derive(Clone, Debug, Hash)]
struct World {
    now: Moment,
    platform: MemoryPlatform,
    tables: Vec<RoleTable>,
    pending: Vec<Pending>,
    notifications: Vec<(usize, AssignmentShard, u64)>,
    ending: [bool; 2],
    epochs: BTreeMap<Epoch, Holder>,
    duplicate_epoch: Option<Epoch>,
    left: bool,
    lease_over: bool,
    taker_notified: bool,
    rejoined: bool,
    lost_answers: usize,
}

fn role() -> Role {
    Role::Other("r".into())
}

fn run_of(number: usize, incarnation: u64) -> Holder {
    Holder::new(NAMES[number], Incarnation::new(incarnation))
}

fn lease(holder: Holder) -> Object {
    Object::Lease(Box::new(LeaseRecord {
        holder,
        state: LeaseState::Active,
        renewals: 1,
        duration_ms: 15_000,
        zone: "z".into(),
        region: "r".into(),
        peer_address: ([127, 0, 0, 1], 1).into(),
        operators_address: ([127, 0, 0, 1], 1).into(),
        electorate: 0,
        electorate_before: 0,
        acknowledged: None,
    }))
}

impl World {
    fn new(bugs: Bugs) -> Self {
        let mut platform = MemoryPlatform::default();
        let shard = AssignmentShard::of(&role());
        let entry = RoleEntry::first(run_of(HOLDER, 1), Revision::new(0));
        let record = AssignmentRecord {
            generation: 1,
            roles: BTreeMap::from([(role(), entry)]),
            ..AssignmentRecord::empty(shard)
        };
        platform.carry_out(&PlatformOp::Create(Object::Assignment(record)));
        let cfg = RoleConfig {
            max_order_latency: Duration::ZERO,
            list_every: Duration::from_secs(1_000_000),
            ask_every: Duration::from_secs(1_000_000),
            ..RoleConfig::default()
        };
        let tables = (0..NAMES.len()).map(|number| {
            let mut table = RoleTable::new(cfg, run_of(number, 1), "z".into(), NOW);
            table.seed(bugs);
            table
        });
        let mut world = Self {
            now: NOW,
            platform,
            tables: tables.collect(),
            pending: Vec::new(),
            notifications: Vec::new(),
            ending: [false; 2],
            epochs: BTreeMap::new(),
            duplicate_epoch: None,
            left: false,
            lease_over: false,
            taker_notified: false,
            rejoined: false,
            lost_answers: 0,
        };
        let instances = NAMES
            .iter()
            .map(|name| (InstanceId::from(*name), "z".into()));
        let instances: BTreeMap<_, _> = instances.collect();
        for number in 0..NAMES.len() {
            let lease = lease(run_of(number, 1));
            world.platform.carry_out(&PlatformOp::Create(lease));
            world.deliver(number, RoleEvent::Tick);
            world.carry_out(0);
            world.answer(0, false);
            let wanted = WantedRole {
                role: role(),
                zone: None,
                fenced: true,
            };
            world.deliver(number, RoleEvent::Wanted(Revision::new(0), vec![wanted]));
            world.deliver(number, RoleEvent::Instances(instances.clone()));
            world.deliver(number, RoleEvent::MayHold(true));
        }
        world
    }

    fn deliver(&mut self, number: usize, event: RoleEvent) {
        for action in self.tables[number].handle(event, self.now) {
            match action {
                RoleAction::Call(call) => self.pending.push(Pending {
                    caller: number,
                    call,
                    result: None,
                }),
                RoleAction::NotifyAssignment(to, shard, generation) => {
                    let to = NAMES.iter().position(|name| *name == to.as_str());
                    let to = to.expect("assignments name instances");
                    self.notifications.push((to, shard, generation));
                }
                RoleAction::Gained { epoch, .. } => {
                    self.ending[number] = false;
                    let incarnation = 1 + u64::from(number == HOLDER && self.rejoined);
                    let holder = run_of(number, incarnation);
                    let first = self.epochs.entry(epoch).or_insert_with(|| holder.clone());
                    if *first != holder {
                        self.duplicate_epoch = Some(epoch);
                    }
                }
                RoleAction::Ending { .. } => self.ending[number] = true,
                RoleAction::Lost(_) => self.ending[number] = false,
                RoleAction::HolderChanged { .. } => {}
            }
        }
    }

    fn carry_out(&mut self, number: usize) {
        let result = self
            .platform
            .carry_out(&self.pending[number].call.op)
            .result;
        self.pending[number].result = Some(result);
    }

    fn answer(&mut self, number: usize, lost: bool) {
        let Pending {
            caller,
            call,
            result,
        } = self.pending.remove(number);
        let result = result.filter(|_| !lost).unwrap_or(PlatformResult::Unknown);
        self.lost_answers += usize::from(lost);
        self.deliver(caller, RoleEvent::Reply(call.id, result));
    }

    fn deliver_watch(&mut self, number: usize) {
        let name = ObjectName::Assignment(AssignmentShard::of(&role()));
        if let Some(stored) = self.platform.get(&name)
            && let Object::Assignment(record) = stored.object
        {
            self.deliver(number, RoleEvent::Seen(record, stored.version));
        }
    }

    /// Marks the holder's lease lapsed. From now on the holder gives no orders under it.
    fn lapse(&mut self) {
        self.lease_over = true;
        let name = ObjectName::Lease(run_of(HOLDER, 1));
        self.platform.carry_out(&PlatformOp::Delete(name, None));
    }

    fn rejoin(&mut self) {
        self.rejoined = true;
        let holder = run_of(HOLDER, 2);
        let lease = lease(holder.clone());
        self.platform.carry_out(&PlatformOp::Create(lease));
        self.deliver(HOLDER, RoleEvent::Rejoin(holder));
        self.deliver(HOLDER, RoleEvent::MayHold(true));
    }

    fn steps(&self) -> Vec<Self> {
        let mut next = Vec::new();
        let mut step = |change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            next.push(world);
        };
        if !self.left {
            step(&|world| {
                world.left = true;
                world.deliver(HOLDER, RoleEvent::Leave);
            });
        }
        if !self.lease_over {
            step(&Self::lapse);
        } else if !self.taker_notified {
            step(&|world| {
                world.taker_notified = true;
                world.deliver(TAKER, RoleEvent::Ended(run_of(HOLDER, 1), true));
            });
        }
        if self.lease_over && !self.rejoined {
            step(&Self::rejoin);
        }
        for number in 0..NAMES.len() {
            step(&|world| world.deliver_watch(number));
            if self.ending[number] {
                step(&|world| {
                    world.ending[number] = false;
                    world.deliver(number, RoleEvent::Released(role()));
                });
            }
        }
        for (number, pending) in self.pending.iter().enumerate() {
            if pending.result.is_none() {
                step(&|world| world.carry_out(number));
            } else {
                step(&|world| world.answer(number, false));
                if self.lost_answers == 0 {
                    step(&|world| world.answer(number, true));
                }
            }
        }
        for number in 0..self.notifications.len() {
            step(&|world| {
                let (to, shard, generation) = world.notifications.remove(number);
                world.deliver(to, RoleEvent::AssignmentReported(shard, generation));
            });
        }
        next
    }

    fn check(&self) -> Result<(), String> {
        if let Some(epoch) = self.duplicate_epoch {
            return Err(format!("two hold the role under epoch {epoch}"));
        }
        let orders = |number: usize| self.tables[number].may_order(&role(), self.now).is_some();
        let holder_orders = orders(HOLDER) && (!self.lease_over || self.rejoined);
        if holder_orders && orders(TAKER) {
            return Err("both may give orders under the role".to_owned());
        }
        Ok(())
    }
}

fn explored(bugs: Bugs) -> Explored {
    explore(World::new(bugs), depth(DEPTH), World::steps, World::check)
}

#[test]
fn a_role_has_one_holder_at_a_time() {
    let visited = explored(Bugs::NONE).unwrap_or_else(|violation| panic!("{violation}"));
    assert!(visited > STATES, "only {visited} states were visited");
    println!("{visited} states within {} steps", depth(DEPTH));
}

#[rstest]
#[case::epoch_not_raised(Bug::EpochNotRaised)]
#[case::orders_after_release(Bug::OrdersAfterRelease)]
fn a_seeded_bug_is_caught(#[case] bug: Bug) {
    let result = explored(Bugs::seeded(bug));
    assert!(result.is_err(), "not caught: {result:?}");
}
