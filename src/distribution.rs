//! Which version a node holds, who reads the configuration service and what is sent to whom.
