package crashes

import (
	"slices"
	"time"
)

// Mirror is a copy of the leader's listings, from which another host tells entry hosts; the zero value knows nothing. It is not safe for
// concurrent use.
type Mirror struct {
	state State
	// at is the time at which the state was received; its ages and times left are those at that time.
	at time.Time
}

// Known returns the state that the mirror has.
func (m *Mirror) Known() Revision { return m.state.Revision }

// Apply replaces the copy; nil changes nothing.
func (m *Mirror) Apply(now time.Time, s *State) {
	if s != nil {
		m.state, m.at = *s, now
	}
}

// Listings returns the state if it is newer than the known revision of an entry host, else nil.
func (m *Mirror) Listings(now time.Time, known Revision) *State {
	if m.state.Revision.Term == 0 || known.Term == m.state.Revision.Term && known.N >= m.state.Revision.N || known.Term > m.state.Revision.Term {
		return nil
	}
	s, since := m.state, now.Sub(m.at)
	s.Suspects, s.Listed = slices.Clone(s.Suspects), slices.Clone(s.Listed)
	for i := range s.Suspects {
		s.Suspects[i].Age += since
	}
	for i := range s.Listed {
		s.Listed[i].Left -= since
	}
	return &s
}
