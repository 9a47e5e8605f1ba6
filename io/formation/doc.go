// Package formation forms the control group from a few seed addresses and keeps it whole: hosts that were added join it, hosts
// that lost their disk are admitted again under their new data folder, and hosts that are gone for good are removed.
//
// A host's id in the group is its IP address, so that a member can be reached without an address book. At the first start of
// a deployment, and only then, the seeds are the first voters; since all hosts are given the same seeds then, no second
// group can form. A host that finds itself outside the group asks the leader, through any seed or member, to be admitted.
//
// A failed disk does not end the host's part: its group is closed and opened again from the disk until that works.
//
// Lock order: Group.mu is never held while another lock is taken.
package formation
