package control

import (
	"toucanway/core/fleet"
)

// PoisonCrashes is the number of crashes from which on a request can be marked as poison and is then refused everywhere.
const PoisonCrashes = 2

// recordCrash counts one crash for each request that ran on the backend server. A request with an earlier crash on record is
// marked as poison if it ran alone on the server or is the only such request of this crash.
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
