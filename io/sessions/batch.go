package sessions

import (
	"context"
	"time"

	"toucanway/core/fleet"
	"toucanway/io/hosts"
)

// Renew answers a batch of polls that hosts sent to a relay. Each lease is granted as by Follow. The relay forwards it only
// together with the log up to the applied index in the answer, which is read before this host's leader lease is checked.
func (s *Service) Renew(_ context.Context, _ fleet.HostID, req *hosts.RenewRequest) (*hosts.RenewResponse, error) {
	if !s.refreshLeadership(time.Now()) {
		return s.notLeaderOfBatch(), nil
	}
	res := &hosts.RenewResponse{Applied: s.cfg.Group.Status().Applied, Grants: make([]hosts.Grant, 0, len(req.Renewals))}
	for _, r := range req.Renewals {
		poll := &hosts.FollowRequest{Host: r.Host, Incarnation: r.Incarnation, Applied: r.Applied, Announced: r.Announced}
		s.recordPoll(poll)
		granted := &hosts.FollowResponse{Newest: true}
		s.grantLease(poll, granted)
		if granted.Status == hosts.StatusNotLeader {
			return s.notLeaderOfBatch(), nil
		}
		res.Grants = append(res.Grants, hosts.Grant{Status: granted.Status, Lease: granted.Lease})
	}
	return res, nil
}

func (s *Service) notLeaderOfBatch() *hosts.RenewResponse {
	return &hosts.RenewResponse{Status: hosts.StatusNotLeader, Leader: s.cfg.Group.Status().Leader}
}
