//! Agreement on one expert map within a lock-step group.
