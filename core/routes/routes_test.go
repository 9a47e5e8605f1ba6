package routes

import (
	"math"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

func route(name, prefix string) Route {
	return Route{
		Name: name, Host: "shop.example", Prefix: prefix, Timeout: time.Second,
		Services: []WeightedService{{Service: "s", Weight: 1}},
	}
}

func configuration(rs ...Route) *Configuration {
	return &Configuration{Version: 1, Routes: rs, Services: []Service{{Name: "s"}, {Name: "t"}}}
}

// Guards against a contradictory configuration that is applied.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		change  func(*Configuration)
		invalid bool
	}{
		"valid":            {func(*Configuration) {}, false},
		"unknown service":  {func(c *Configuration) { c.Routes[0].Services[0].Service = "x" }, true},
		"no timeout":       {func(c *Configuration) { c.Routes[0].Timeout = 0 }, true},
		"same place":       {func(c *Configuration) { c.Routes[1].Prefix = "/a/" }, true},
		"same place, case": {func(c *Configuration) { c.Routes[1].Prefix, c.Routes[1].Host = "/a/", "SHOP.example" }, true},
		"weights of 0":     {func(c *Configuration) { c.Routes[0].Services = []WeightedService{{"s", 0}, {"t", 0}} }, true},
		"one weight of 0":  {func(c *Configuration) { c.Routes[0].Services = []WeightedService{{"s", 0}, {"t", 1}} }, false},
		"negative weight":  {func(c *Configuration) { c.Routes[0].Services = []WeightedService{{"s", -1}, {"t", 2}} }, true},
		"no services":      {func(c *Configuration) { c.Routes[0].Services = nil }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := configuration(route("a", "/a/"), route("b", "/b/"))
			tt.change(c)
			if err := c.Check(); tt.invalid {
				require.True(t, errorx.IsOfType(err, ErrInvalid), "%v", err)
			} else {
				require.NoError(t, err)
			}
		})
	}
}

// Guards against a request that gets the route of a shorter prefix, or of a prefix that ends within a path segment.
func TestMatch(t *testing.T) {
	table := NewTable(configuration(route("root", "/"), route("a", "/a/"), route("ab", "/a/b/")))
	tests := map[string]struct{ host, path, want string }{
		"longest":          {"shop.example", "/a/b/c", "ab"},
		"exact prefix":     {"shop.example", "/a/b/", "ab"},
		"shorter":          {"shop.example", "/a/c/d", "a"},
		"within a segment": {"shop.example", "/ab", "root"},
		"no slash at end":  {"shop.example", "/a", "root"},
		"port and case":    {"Shop.Example:8080", "/a/x", "a"},
		"unknown host":     {"other.example", "/a/x", ""},
		"no leading slash": {"shop.example", "a", ""},
		"empty":            {"shop.example", "", ""},
		"slashes in a row": {"shop.example", "//a/", "root"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := table.Match(tt.host, tt.path); r != nil {
				got = r.Name
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// Guards against requests for a service of weight 0, and against shares that differ from the weights, also where their sum is infinite.
func TestPick(t *testing.T) {
	for name, unit := range map[string]float64{"usual": 1, "largest": math.MaxFloat64 / 90, "small": 1e-300} {
		t.Run(name, func(t *testing.T) {
			r := Route{Services: []WeightedService{{"none", 0}, {"most", 90 * unit}, {"few", 10 * unit}}}
			counts := map[fleet.ServiceID]int{}
			for i := range 1000 {
				counts[r.PickService(float64(i)/1000)]++
			}
			require.Equal(t, map[fleet.ServiceID]int{"most": 900, "few": 100}, counts)
		})
	}
}

// Guards against a second attempt for a request that may run only once.
func TestIdempotent(t *testing.T) {
	tests := map[string]struct {
		route Route
		want  bool
	}{
		"safe":             {Route{Kind: Safe}, true},
		"unsafe":           {Route{Kind: Unsafe}, false},
		"unsafe resumable": {Route{Kind: Unsafe, Resumable: true}, false},
		"stream":           {Route{Kind: Streaming}, false},
		"resumable stream": {Route{Kind: Streaming, Resumable: true}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, tt.route.Idempotent()) })
	}
}
