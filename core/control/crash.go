package control

import (
	"toucanway/core/fleet"
)

// PoisonCrashes is the number of crashes from which on a request can be marked as poison and is then refused everywhere.
const PoisonCrashes = 2

// recordCrash counts one crash for each request that ran on the backend server. A request with an earlier crash on record is
// marked as poison if it ran alone on the server or is the only such request of this crash.
func (s *State) recordCrash(index fleet.Index, c *RecordCrash) Result {
	crashed := fleet.BackendIncarnation{Backend: c.Backend, Incarnation: c.Incarnation}
	var repeated []fleet.Fingerprint
	for _, f := range c.Fingerprints {
		r := s.d.CrashRecords[f]
		if r.Crashes > 0 && r.LastCrash == crashed {
			continue
		}
		r.Fingerprint = f
		r.Crashes++
		r.Index = index
		r.LastCrash = crashed
		s.d.CrashRecords[f] = r
		if r.Crashes >= PoisonCrashes {
			repeated = append(repeated, f)
		}
	}
	if c.Alone || len(repeated) == 1 {
		for _, f := range repeated {
			r := s.d.CrashRecords[f]
			r.Poison = true
			s.d.CrashRecords[f] = r
		}
	}
	for _, r := range s.CrashRecords() {
		if len(s.d.CrashRecords) <= MaxCrashRecords {
			break
		}
		delete(s.d.CrashRecords, r.Fingerprint)
	}
	return Result{}
}

func (s *State) deleteCrashRecords(c *DeleteCrashRecords) Result {
	for _, f := range c.Fingerprints {
		delete(s.d.CrashRecords, f)
	}
	return Result{}
}
