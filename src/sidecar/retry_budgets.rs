use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use crate::clock::ClockTime;
use crate::id::ServiceName;
use crate::sidecar::inbound_service::InboundService;
use crate::sidecar::node_state::NodeState;
use crate::sidecar::{RetryAllowance, ServiceRetryBudget};

/// Retry budgets of all services.
pub(crate) struct RetryBudgets {
    pub(crate) state: Rc<NodeState>,
    pub(crate) inbound: Rc<InboundService>,
    pub(crate) budgets: RefCell<HashMap<ServiceName, ServiceRetryBudget>>,
}

impl RetryBudgets {
    /// Records a request received from a client.
    pub(crate) fn record_request(&self, service: &ServiceName, now: ClockTime) {
        self.budget(service, |budget| budget.record_request(now));
    }

    /// Takes one retry from the budget of a service, with its limits scaled by `share`; returns
    /// false if the budget is exhausted.
    pub(crate) fn try_take(&self, service: &ServiceName, share: f64) -> bool {
        let now = self.state.clock.now();
        let bounds = self.state.bounds();
        let nodes = self.state.directory.borrow().len().max(1) as f64;
        let allowance = RetryAllowance {
            ratio: bounds.retry_ratio * share,
            slack: bounds.retry_slack * share / nodes,
            nested_share: self.inbound.retry_share.get(),
        };
        self.budget(service, |budget| budget.try_take(now, allowance))
    }

    fn budget<Use, Value>(&self, service: &ServiceName, action: Use) -> Value
    where
        Use: FnOnce(&mut ServiceRetryBudget) -> Value,
    {
        let mut budgets = self.budgets.borrow_mut();
        let window = self.state.bounds().retry_window;
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| ServiceRetryBudget::new(window));
        action(budget)
    }
}
