package operators

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against a read that is answered as if it may have changed something, and against a change that seems not to have been made.
func TestTimeoutOfReadsAndChanges(t *testing.T) {
	tests := map[string]struct {
		method string
		err    error
		want   Code
	}{
		"read, no time left":   {fasthttp.MethodGet, context.DeadlineExceeded, CodeUnavailable},
		"change, no time left": {fasthttp.MethodPost, context.DeadlineExceeded, CodeOutcomeUnknown},
		"change, cancelled":    {fasthttp.MethodPost, context.Canceled, CodeOutcomeUnknown},
		"read, unknown name":   {fasthttp.MethodGet, &Unknown{Message: "no such model"}, CodeUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, requestError(tt.method, tt.err).Code) })
	}
}
