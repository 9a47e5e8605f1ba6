// Package formation forms the control group from a few seed addresses and maintains its membership: new hosts join it, hosts
// that have lost their disk are readmitted with their new data folder, and hosts that stay silent are removed.
//
// A host's id in the group is its IP address, so that members need no address book. At the first start of a deployment, and only
// then, the seeds are the first voters; all hosts get the same seeds then, so that no second group can form. A host that is not a
// member asks the leader, through any seed or member, to be admitted.
//
// After a disk failure the group on this host is closed, and opened again from the disk until that succeeds.
//
// Lock order: Group.mu is never held while another lock is taken.
package formation
