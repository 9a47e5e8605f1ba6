package routed

import (
	"github.com/valyala/fasthttp"

	"toucanway/io/backend"
	"toucanway/io/controller"
	"toucanway/io/gateway"
)

// Adapter translates between the platform's calls and those of this product; it makes no decisions.
type Adapter struct {
	// Dialect decodes configurations and the headers of requests and answers.
	Dialect gateway.Dialect
	// Engines returns a client for model engines that uses a connection pool.
	Engines func(*backend.Pool) controller.Engines
	// Control serves backend servers and operators, Directory callers that ask which gateways to use, Ready the platform's
	// readiness checks.
	Control, Directory func(*controller.Controller) fasthttp.RequestHandler
	Ready              func(ready func() bool) fasthttp.RequestHandler
}
