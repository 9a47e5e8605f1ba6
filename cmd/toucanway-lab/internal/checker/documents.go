package checker

import (
	"time"

	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/core/fleet"
)

// acceptedDocument is an accepted document with the time of its acceptance.
type acceptedDocument struct {
	history.DocumentAccepted
	at time.Duration
}

// hostState is the state of a host: the document version that it applies, and whether it accepts new requests.
type hostState struct {
	version fleet.DocumentVersion
	active  bool
}

// checkDocuments checks I9: DocumentLimit after its acceptance, a document or a later one is in force on every host that accepts
// new requests; no host goes back to an earlier version; no version is accepted with two contents.
func (c *checker) checkDocuments() {
	var docs []acceptedDocument
	digests := map[fleet.DocumentVersion]string{}
	hosts := map[fleet.HostID]hostState{}
	// due counts the documents accepted more than DocumentLimit ago.
	due := 0
	checkDue := func(now time.Duration) {
		for due < len(docs) && docs[due].at+DocumentLimit < now {
			for host, s := range hosts {
				if s.active && s.version < docs[due].Version {
					c.report(I9, docs[due].at+DocumentLimit, "host %s applies version %d although %d was accepted at %v",
						host, s.version, docs[due].Version, docs[due].at)
				}
			}
			due++
		}
	}
	for _, r := range c.records {
		checkDue(r.At)
		switch e := r.Event.(type) {
		case history.DocumentAccepted:
			if d, ok := digests[e.Version]; ok && d != e.Digest {
				c.report(I9, r.At, "version %d is accepted as %s and as %s", e.Version, d, e.Digest)
			}
			digests[e.Version] = e.Digest
			docs = append(docs, acceptedDocument{e, r.At})
		case history.DocumentInForce:
			if s := hosts[e.Host]; e.Version < s.version {
				c.report(I9, r.At, "host %s goes back from version %d to %d", e.Host, s.version, e.Version)
			}
			for _, d := range docs[:due] {
				if e.Version < d.Version {
					c.report(I9, r.At, "host %s puts version %d in force although %d was accepted at %v", e.Host, e.Version, d.Version, d.at)
				}
			}
			hosts[e.Host] = hostState{version: e.Version, active: true}
		case history.HostSuspended:
			c.deactivate(hosts, e.Host)
		case history.HostStopped:
			c.deactivate(hosts, e.Host)
		case history.ShutdownEnded:
			c.deactivate(hosts, e.Host)
		}
	}
}

func (*checker) deactivate(hosts map[fleet.HostID]hostState, host fleet.HostID) {
	s := hosts[host]
	s.active = false
	hosts[host] = s
}
