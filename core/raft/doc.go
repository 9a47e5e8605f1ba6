// Package raft is a replicated log as a pure state machine: it reads no clock, opens no socket and writes no file.
//
// # Leases
//
// A voter that hears from a leader, or that has just started, grants no vote and no pre-vote for ElectionMin, unless the
// leader asked for the election itself. A leader's lease therefore holds for ElectionMin, less the clocks' rate error,
// from when it sent the heartbeat that a quorum answered. Both ElectionMin and the rate error must be the same on all
// hosts. Once a leader has ordered a transfer it holds no lease for the rest of its term.
//
// # Lost disks
//
// Each data folder has a random StorageID, and the membership names the folder of each voter. Answers from another folder
// count neither for elections nor for commits, and a voter votes only for a candidate whose membership names its folder.
//
// In a new group the folders are not known yet. A voter then introduces its folder to the others, each of which accepts
// and remembers the first folder that it hears of for a host. It is admitted once helloNeeded of them have accepted, of
// which any two sets overlap: a host that comes back with an empty disk is refused as long as no other disk was lost at
// the same time. With three voters, a new group thus needs all three for its first election. The first leader records the
// folders in the log.
//
// A refused host stores the log but has no vote. An operator removes it from the group, adds it as a learner and promotes
// it once it has caught up; the promotion names the new folder.
//
// # Membership
//
// One voter is added or removed at a time. A change is in force once it is in the log, and the next one may begin once it,
// and an entry of the leader's own term, is committed.
package raft
