//! Choice of the requests that are turned away when there is too little room.

mod parent_table;
mod shed_plan;
mod starvation_guard;
mod turn_away_cost;

pub use parent_table::{ParentId, ParentTable};
pub use shed_plan::{QueuedWork, plan_shedding};
pub use starvation_guard::StarvationGuard;
pub use turn_away_cost::TurnAwayCost;
