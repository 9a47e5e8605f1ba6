package jobs

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Group runs jobs between Start and Stop. The zero value is stopped. It is safe for concurrent use.
type Group struct {
	mu    sync.Mutex
	group *errgroup.Group
	ctx   context.Context
}

// Start lets the group accept jobs; their context ends with the given one.
func (g *Group) Start(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.group, g.ctx = errgroup.WithContext(ctx)
}

// Run starts a job and reports whether the group accepted it.
func (g *Group) Run(f func(ctx context.Context)) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.group == nil {
		return false
	}
	ctx := g.ctx
	g.group.Go(func() error {
		f(ctx)
		return nil
	})
	return true
}

// Stop makes the group accept no further jobs and waits for those that are running.
func (g *Group) Stop() error {
	g.mu.Lock()
	group := g.group
	g.group = nil
	g.mu.Unlock()
	if group == nil {
		return nil
	}
	return group.Wait()
}
