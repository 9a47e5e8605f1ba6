package operators

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/io/metrics"
)

// emptySystem has no document and accepts no submissions. Methods that the fuzz target does not call are not implemented.
type emptySystem struct {
	System
	reg *metrics.Registry
}

func (e emptySystem) Metrics() *metrics.Registry { return e.reg }

func (emptySystem) Document(context.Context) (control.Document, error) {
	return control.Document{}, nil
}
func (emptySystem) History(context.Context) ([]control.Document, error) { return nil, nil }
func (emptySystem) Submit(context.Context, *control.SubmitDocument) (Submission, error) {
	return Submission{}, errors.New("closed")
}

// Guards against panics, and against error statuses without an error code, for any request body.
func FuzzBodies(f *testing.F) {
	s := NewServer(ServerSettings{
		System:        emptySystem{reg: metrics.New(metrics.Options{})},
		FirstOperator: config.Operator{ID: "ana", Credentials: []config.Credential{config.HashToken("", "t")}},
	})
	paths := [...]string{PathDocument, PathDiff, PathDrain}
	f.Add(uint8(0), `{"base":0,"text":"owners: {}\n"}`)
	f.Add(uint8(0), `{"base":0,"digest":"x","hunks":[{"start":0,"end":0,"lines":["a\n"]}]}`)
	f.Add(uint8(1), `{"text":"models: [\n"}`)
	f.Add(uint8(2), `{"host":"h"}`)
	f.Fuzz(func(t *testing.T, path uint8, body string) {
		var req fasthttp.Request
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI(paths[int(path)%len(paths)])
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer t")
		req.SetBodyString(body)
		var r fasthttp.RequestCtx
		r.Init(&req, nil, nil)
		s.handle(t.Context(), &r)
		if r.Response.StatusCode() >= fasthttp.StatusBadRequest {
			var e *Error
			require.ErrorAs(t, decodeAnswer(r.Response.StatusCode(), r.Response.Body(), nil), &e)
			require.Contains(t, httpStatus, e.Code)
		}
	})
}
