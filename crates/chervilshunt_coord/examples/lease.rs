//! Two processes control one valve: a lease decides which of them may send orders, and a holder
//! that was paused sends none after it resumes.
//!
//! Run it with `cargo run -p chervilshunt_coord --example lease`. Time is virtual.
//!
//! `first` holds the lease and is paused for longer than the lease is valid. `second` watches the
//! lease, marks it lapsed, and continues under the next epoch. Two mechanisms keep `first` from
//! interfering: it checks its lease immediately before each order, and the valve refuses an order
//! that was delayed in transit because its epoch is outdated. See `docs/design/leases.md`.

use std::ops::Range;

use chervilshunt_coord::{
    Epoch, Holder, Incarnation, LeaseAction, LeaseConfig, LeaseEvent, LeaseKeeper, LeaseObserver,
    LeaseRecord, MemoryPlatform, Moment, ObserverAction, ObserverConfig, ObserverEvent,
};

/// The second at which `first` is paused.
const PAUSED_AT: u64 = 12;
/// The second at which `first` resumes.
const WOKEN_AT: u64 = 42;
const PAUSE: Range<u64> = PAUSED_AT..WOKEN_AT;
/// The second at which the scenario ends.
const END: u64 = 60;

const FIRST_EPOCH: Epoch = Epoch::new(1);
const SECOND_EPOCH: Epoch = Epoch::new(2);

/// Accepts orders and refuses those with an epoch older than the highest one seen.
#[derive(Debug, Default)]
struct Valve {
    highest: Epoch,
    orders: Vec<(u64, &'static str)>,
}

impl Valve {
    fn take(&mut self, second: u64, from: &'static str, epoch: Epoch) -> bool {
        if epoch < self.highest {
            return false;
        }
        self.highest = epoch;
        self.orders.push((second, from));
        true
    }
}

fn main() {
    print!("{}", run());
}

/// Runs the scenario, checks that no process ordered without the lease, and returns a transcript.
pub(crate) fn run() -> String {
    let mut scenario = LeaseScenario::begin();
    for second in 0..END {
        scenario.second = second;
        if !PAUSE.contains(&second) {
            scenario.first_acts();
        }
        scenario.second_acts();
        match second {
            PAUSED_AT => scenario.log("first is paused with an order in transit"),
            WOKEN_AT => scenario.late_order_arrives(),
            _ => {}
        }
    }
    scenario.check();
    scenario.transcript
}

/// Both processes, the platform and the valve between them, and the transcript.
struct LeaseScenario {
    second: u64,
    transcript: String,
    platform: MemoryPlatform,
    valve: Valve,
    lease: LeaseKeeper,
    observer: LeaseObserver,
    first_orders: bool,
    taken_over: Option<u64>,
}

impl LeaseScenario {
    fn begin() -> Self {
        let address = ([127, 0, 0, 1], 1).into();
        let cfg = LeaseConfig::default();
        let record = LeaseRecord::joining(
            first(),
            cfg.duration,
            "zone".into(),
            "region".into(),
            address,
            address,
        );
        Self {
            second: 0,
            transcript: String::new(),
            platform: MemoryPlatform::default(),
            valve: Valve::default(),
            lease: LeaseKeeper::new(cfg, record, Moment::ZERO),
            observer: LeaseObserver::new(ObserverConfig::default()),
            first_orders: false,
            taken_over: None,
        }
    }

    fn now(&self) -> Moment {
        Moment::from_millis(self.second * 1_000)
    }

    fn log(&mut self, what: &str) {
        self.transcript += &format!("{:3} s  {what}\n", self.second);
    }

    /// Sends an order if the lease is valid at this moment, then renews the lease if that is due.
    fn first_acts(&mut self) {
        let may_order = self.lease.is_valid(self.now());
        if may_order {
            assert!(self.valve.take(self.second, "first", FIRST_EPOCH));
        }
        if self.first_orders != may_order {
            self.first_orders = may_order;
            self.log(if may_order {
                "first sends orders"
            } else {
                "first finds its lease expired and sends no order"
            });
        }
        self.drive_lease(LeaseEvent::Tick);
    }

    /// Watches the lease of `first`, and sends orders once that lease has ended.
    fn second_acts(&mut self) {
        self.drive_observer(ObserverEvent::Tick);
        if self.taken_over.is_some() {
            assert!(self.valve.take(self.second, "second", SECOND_EPOCH));
        }
    }

    fn late_order_arrives(&mut self) {
        assert!(!self.valve.take(self.second, "first", FIRST_EPOCH));
        self.log("the order sent before the pause arrives; the valve refuses its epoch");
    }

    /// Carries out the calls of the lease keeper until there are none left.
    fn drive_lease(&mut self, event: LeaseEvent) {
        for action in self.lease.handle(event, self.now()) {
            match action {
                LeaseAction::Call(call) => {
                    let result = self.platform.carry_out(&call.op).result;
                    self.drive_lease(LeaseEvent::Reply(call.id, result));
                }
                LeaseAction::Created => {
                    self.log("first holds the lease; second watches it");
                    self.drive_observer(ObserverEvent::Watch(first()));
                }
                LeaseAction::Lost => self.log("first finds the lease marked lapsed"),
                LeaseAction::Renewed(_) => {}
            }
        }
    }

    /// Carries out the calls of the observer until there are none left, and has it mark expired
    /// leases as lapsed.
    fn drive_observer(&mut self, event: ObserverEvent) {
        for action in self.observer.handle(event, self.now()) {
            match action {
                ObserverAction::Call(call) => {
                    let result = self.platform.carry_out(&call.op).result;
                    self.drive_observer(ObserverEvent::Reply(call.id, result));
                }
                ObserverAction::Expired(holder) => {
                    self.drive_observer(ObserverEvent::Mark(holder));
                }
                ObserverAction::Ended(holder, by_us) => {
                    assert!(by_us && holder == first());
                    self.taken_over = Some(self.second);
                    self.log("second has marked the lease lapsed and takes over");
                }
                ObserverAction::Renewed(_) => {}
            }
        }
    }

    fn check(&mut self) {
        let taken_over = self.taken_over.expect("second takes over");
        let of_first = self.valve.orders.iter().filter(|(_, by)| *by == "first");
        let last_of_first = of_first.clone().map(|(at, _)| *at).max();
        assert!(
            last_of_first < Some(PAUSED_AT),
            "first sent an order after its pause"
        );
        assert!(
            PAUSE.contains(&taken_over),
            "second took over at {taken_over} s"
        );
        let (first, all) = (of_first.count(), self.valve.orders.len());
        self.second = END;
        self.log(&format!(
            "orders carried out: {first} from first, {} from second",
            all - first
        ));
    }
}

/// The run of the process that holds the lease; a real program draws the incarnation at random.
fn first() -> Holder {
    Holder::new("first", Incarnation::new(1))
}
