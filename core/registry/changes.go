package registry

import (
	"cmp"
	"slices"

	"toucanway/core/fleet"
)

// changeLog holds the latest changes in the order of their revisions, for followers that are only slightly behind.
type changeLog []change

type change struct {
	revision uint64
	id       fleet.BackendID
}

// maxChanges bounds the changes that are kept. A follower that is further behind is answered from a pass over all instances.
const maxChanges = 4096

func (l *changeLog) add(revision uint64, id fleet.BackendID) {
	if len(*l) >= maxChanges {
		*l = append((*l)[:0], (*l)[maxChanges/2:]...)
	}
	*l = append(*l, change{revision, id})
}

// after returns the ids that changed after a revision, each once for every change, and false if some of the changes are not kept.
func (l changeLog) after(revision uint64) ([]change, bool) {
	if len(l) == 0 || l[0].revision > revision+1 {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(l, revision+1, func(c change, r uint64) int { return cmp.Compare(c.revision, r) })
	return l[i:], true
}

// record is an entry that holds an instance.
type record interface{ record() *Instance }

// changedAfter returns the instances that changed after a revision, tombstones included, in the order of their changes.
func changedAfter[R record](l changeLog, records map[fleet.BackendID]R, revision uint64) []Instance {
	var out []Instance
	if changes, ok := l.after(revision); ok {
		for _, c := range changes {
			// An instance's record belongs to its last change; earlier changes are skipped.
			if r, known := records[c.id]; known && r.record().Revision == c.revision {
				out = append(out, *r.record())
			}
		}
		return out
	}
	for _, r := range records {
		if in := r.record(); in.Revision > revision {
			out = append(out, *in)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}
