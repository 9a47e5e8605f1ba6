package controller

import (
	"context"

	"go.uber.org/zap"

	"toucanway/core/catalog"
	"toucanway/core/fleet"
	"toucanway/io/controlapi"
)

// Replace replaces the configuration in force. It returns nil without effect if the same or a higher version is in force. Errors
// are ErrInvalid and ErrUnavailable; after the latter the configuration may still come into force.
func (c *Controller) Replace(ctx context.Context, data []byte) error {
	cfg, err := c.cfg.Parser.Configuration(data)
	if err == nil {
		err = cfg.Check()
	}
	if err != nil {
		c.cfg.Log.Info(logInvalid, zap.Error(err))
		return ErrInvalid.Wrap(err, "the configuration is not valid; nothing was changed")
	}
	if s := c.state(); s.Has(cfg.Version) {
		c.cfg.Log.Info(logCurrent, zap.Uint64("version", uint64(cfg.Version)), zap.Uint64("in-force", uint64(s.Version)))
		return nil
	}
	packed, err := controlapi.Compress(data)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &controlapi.ReplaceRequest{Version: cfg.Version, Data: packed}
	if _, err := controlapi.CallLocalFirst(ctx, c.cfg.Client, c.cfg.Self, c.handleReplace, controlapi.ProcedureReplace, callTimeout, req); err != nil {
		return ErrUnavailable.Wrap(err, "the configuration may or may not have been applied; send it again")
	}
	return nil
}

func (c *Controller) handleReplace(ctx context.Context, from fleet.HostID, req *controlapi.ReplaceRequest) (*controlapi.ReplaceResponse, error) {
	if !c.cfg.Group.Leading() {
		return &controlapi.ReplaceResponse{Reply: c.notLeader()}, nil
	}
	if err := c.propose(ctx, catalog.Command{Replace: &catalog.Replace{Version: req.Version, Data: req.Data}}); err != nil {
		return nil, err
	}
	c.cfg.Log.Info(logReplaced, zap.Uint64("version", uint64(req.Version)), zap.String("through", string(from)),
		zap.Uint64("in-force", uint64(c.state().Version)))
	c.mu.Lock()
	c.notifyChanged()
	c.mu.Unlock()
	return &controlapi.ReplaceResponse{}, nil
}

// Read returns the newest configuration as it was sent. The error is ErrUnavailable if the leader can't confirm the newest
// version or there is no configuration.
func (c *Controller) Read(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	local := c.state()
	req := &controlapi.ReadRequest{KnownVersion: local.Version, Known: local.HasConfiguration()}
	res, err := controlapi.CallLocalFirst(ctx, c.cfg.Client, c.cfg.Self, c.handleRead, controlapi.ProcedureRead, callTimeout, req)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "the newest configuration cannot be read now; try again")
	}
	packed := res.Data
	if len(packed) == 0 && res.Version == local.Version {
		packed = local.Data
	}
	if len(packed) == 0 {
		return nil, ErrUnavailable.New("no configuration is in force yet; submit one")
	}
	return controlapi.Decompress(packed)
}

func (c *Controller) handleRead(ctx context.Context, _ fleet.HostID, req *controlapi.ReadRequest) (*controlapi.ReadResponse, error) {
	if !c.cfg.Group.Leading() || c.cfg.Group.Barrier(ctx) != nil {
		return &controlapi.ReadResponse{Reply: c.notLeader()}, nil
	}
	s := c.state()
	res := &controlapi.ReadResponse{Version: s.Version}
	if s.Version != req.KnownVersion || !req.Known {
		res.Data = s.Data
	}
	return res, nil
}
