//! Admission control at the node beside the backend server: slots, queue and refusals.
