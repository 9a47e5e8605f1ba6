package routed

import (
	"github.com/valyala/fasthttp"

	"toucanway/io/backend"
	"toucanway/io/controller"
	"toucanway/io/gateway"
)

// Adapter translates between the platform's calls and the product's; it decides nothing.
type Adapter struct {
	// Dialect reads configurations and the headers of requests and answers.
	Dialect gateway.Dialect
	// Engines speaks to model engines through a pool of connections.
	Engines func(*backend.Pool) controller.Engines
	// Control answers backend servers and operators, Directory callers that ask which gateways to use, Ready the platform.
	Control, Directory func(*controller.Controller) fasthttp.RequestHandler
	Ready              func(ready func() bool) fasthttp.RequestHandler
}
