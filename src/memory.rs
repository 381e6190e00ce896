//! Account of the memory that a node holds for messages of clients, nodes and endpoints.

mod memory_account;
mod memory_claim;
mod memory_ledger;

pub use memory_account::MemoryAccount;
pub use memory_claim::MemoryClaim;
pub use memory_ledger::{ClaimId, MemoryLedger};
