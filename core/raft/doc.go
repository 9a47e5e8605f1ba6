// Package raft implements the Raft consensus algorithm as a pure state machine: it reads no clock, opens no socket and
// writes no file.
//
// A Node is one host's member of a group. It is not safe for concurrent use; io/voters runs it under a lock.
//
// # Leases
//
// A voter that hears from a leader, or that has just started, grants no vote and no pre-vote for ElectionMin, unless the
// leader asked for the election itself. A leader's lease therefore holds for ElectionMin, less the largest clock drift,
// from when it sent the heartbeat that a quorum answered. Both ElectionMin and fleet.MaxClockDrift must be the same on all
// hosts. Once a leader has sent MsgTimeoutNow to transfer its leadership, it holds no lease for the rest of its term.
//
// # Lost disks
//
// Each data folder has a random StorageID, and the membership records the StorageID of each voter. Answers with another
// StorageID count neither for elections nor for commits, and a voter votes only for a candidate whose membership records
// the voter's own StorageID.
//
// In a new group the StorageIDs are not known yet. A voter then sends its own to the others in MsgHello. Each of them
// accepts and remembers the first StorageID that it receives from a host. The voter is admitted once helloQuorum others
// have accepted. Any two sets of that size overlap, so a host that comes back with an empty disk is refused as long as no
// other disk was lost at the same time. With three voters, a new group thus needs all three for its first election. The
// first leader records the StorageIDs in the log.
//
// A refused host stores the log but has no vote. An operator removes it from the group, adds it as a learner and promotes
// it once it has caught up; the promotion records the new StorageID.
//
// # Membership
//
// One voter is added or removed at a time. A change takes effect as soon as it is in the log. The next one may begin once
// the previous one and an entry of the leader's own term are committed.
package raft
