package control

import (
	"toucanway/core/fleet"
)

// PoisonCrashes is the number of crashes after which a request is refused everywhere.
const PoisonCrashes = 2

// recordCrash counts one crash for each request that ran on the backend server. A second crash marks a request as poison if
// it was the only request on the server, or the only one of that crash with an earlier crash on record.
func (s *State) recordCrash(index fleet.Index, c *RecordCrash) Result {
	crashed := BackendIncarnation{Backend: c.Backend, Incarnation: c.Incarnation}
	var repeated []fleet.Fingerprint
	for _, f := range c.Fingerprints {
		m := s.d.Marks[f]
		if m.Crashes > 0 && m.LastCrash == crashed {
			continue
		}
		m.Fingerprint = f
		m.Crashes++
		m.Index = index
		m.LastCrash = crashed
		s.d.Marks[f] = m
		if m.Crashes >= PoisonCrashes {
			repeated = append(repeated, f)
		}
	}
	if c.Alone || len(repeated) == 1 {
		for _, f := range repeated {
			m := s.d.Marks[f]
			m.Poison = true
			s.d.Marks[f] = m
		}
	}
	for _, m := range s.Marks() {
		if len(s.d.Marks) <= MaxMarks {
			break
		}
		delete(s.d.Marks, m.Fingerprint)
	}
	return Result{}
}

func (s *State) clearSuspects(c *ClearSuspects) Result {
	for _, f := range c.Fingerprints {
		delete(s.d.Marks, f)
	}
	return Result{}
}
